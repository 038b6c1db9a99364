"""Starts the project's own programs on loopback addresses, as the deploy file says.

Each machine has a loopback address of its own, so that all machines use the same ports.
Settings are rendered from the templates of the deploy file, with the fields that
DEPLOY.md shows for a small deployment.  Only processes that a fleet started are ended.
"""

from __future__ import annotations

import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FRONT, READY, CONTROL, OWN = 8782, 8789, 8783, 7340
CONTRACTS = "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants"
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 62,
    "leaseMs": 3000,
    "thawMs": 300,
    "versionMs": 8000,
}

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def free_network() -> str:
    """Return the first three bytes of a loopback network whose ports are free."""
    while True:
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, READY, CONTROL, OWN):
                with socket.socket() as sock:
                    sock.bind((f"{net}.11", port))
        except OSError:
            continue
        return net


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template by the rules of DEPLOY.md that this project's ones use."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        kind, name, text = match.groups()
        value = find(name)
        if kind == "^":
            return "" if value else render(text, fields)
        if isinstance(value, list):
            last = len(value) - 1
            return "".join(
                text.replace("{{.}}", str(item)).replace(
                    "{{,}}", "," if number < last else ""
                )
                for number, item in enumerate(value)
            )
        return render(text, fields) if value else ""

    def value_of(match: re.Match[str]) -> str:
        value = find(match.group(1))
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    return _VALUE.sub(value_of, _SECTION.sub(section, template))


class Process:
    """One program of a machine."""

    def __init__(self, name: str, argv: list[str], env: dict[str, str], log: pathlib.Path):
        self.name = name
        self._argv, self._env, self._log = argv, env, log
        self._popen: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with open(self._log, "ab") as log:
            self._popen = subprocess.Popen(
                self._argv, cwd=ROOT, env=self._env, stdout=log, stderr=log
            )

    @property
    def running(self) -> bool:
        return self._popen is not None and self._popen.poll() is None

    def signal(self, number: int) -> None:
        if self.running:
            assert self._popen is not None
            self._popen.send_signal(number)

    def kill(self) -> None:
        if self.running:
            assert self._popen is not None
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
            self._popen.wait()

    def log(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class Fleet:
    """Machines that take consumers; the first ``disks`` of them also serve control."""

    def __init__(self, folder: pathlib.Path, machines: int = 4, disks: int = 3) -> None:
        self.folder = folder
        self.net = free_network()
        self.ips = [f"{self.net}.{11 + number}" for number in range(machines)]
        self.disks = disks
        self.processes: dict[str, Process] = {}
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for number in range(machines):
            if number < disks:
                self._add("control", number, bootstrap=True)
            self._add("gateway", number, bootstrap=True)

    def _add(self, role: str, number: int, *, bootstrap: bool) -> None:
        name = f"{role}-{number + 1}"
        template = (ROOT / self._deploy["roles"][role]["template"]).read_text()
        settings = self.folder / f"{name}.toml"
        settings.write_text(render(template, self._fields(number, bootstrap)))
        run = render(self._deploy["roles"][role]["run"], {"contracts": CONTRACTS})
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["GOOSEBERRYDALE_CONFIG"] = str(settings)
        log = self.folder / f"{name}.log"
        self.processes[name] = Process(name, run.split(), env, log)

    def _fields(self, number: int, bootstrap: bool) -> dict[str, Any]:
        ip = self.ips[number]
        fields: dict[str, Any] = {
            "node": f"edge-{number + 1}",
            "ip": ip,
            "zone": f"zone-{number + 1}",
            "region": "region-1",
            "listen": {
                "front": f"{ip}:{FRONT}",
                "ready": f"{ip}:{READY}",
                "control": f"{ip}:{CONTROL}",
            },
            "portRange": [OWN, OWN + 15],
            "seeds": self.controls,
            "bootstrap": bootstrap,
            "limits": {"linkMbps": 1000.0, "maxFds": 4100, "memoryMb": 150},
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        if number < self.disks:
            disk = self.folder / f"disk-{number + 1}"
            disk.mkdir(exist_ok=True)
            fields["dataDir"] = str(disk)
        return fields

    @property
    def controls(self) -> list[str]:
        return [f"{ip}:{CONTROL}" for ip in self.ips[: self.disks]]

    @property
    def fronts(self) -> list[str]:
        return [f"{ip}:{FRONT}" for ip in self.ips]

    def start(self) -> None:
        for process in self.processes.values():
            process.start()

    def close(self) -> None:
        for process in self.processes.values():
            process.kill()


def wait_until(condition: Any, seconds: float, what: str) -> None:
    """Poll ``condition`` until it holds; raise TimeoutError after ``seconds``."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(what)
        time.sleep(0.05)
