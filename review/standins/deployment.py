"""A small deployment on loopback: machines that run the project's own programs.

Each machine has a loopback address of its own and runs the roles of the deploy file as
separate processes, with settings that are rendered from the deploy file's templates.
"""

from __future__ import annotations

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTRACTS = "base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants"
PORTS = {"front": 18782, "ready": 18789, "control": 18783}
PEER_PORT = 17340

# The bounds of the small deployments' sheets, see SYSTEM.md.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 62,
    "recoverS": 12,
    "leaseMs": 3000,
    "thawMs": 300,
    "versionMs": 8000,
    "versionAllMs": 11000,
}
HEARTBEAT_S = 1.2

_SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as DEPLOY.md describes it."""

    def look_up(path: str) -> Any:
        value: Any = fields
        for name in path.split("."):
            if isinstance(value, list):
                value = value[int(name)] if int(name) < len(value) else None
            else:
                value = value.get(name) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        kind, path, inner = match.groups()
        value = look_up(path)
        if kind == "^":
            return "" if value else inner
        if isinstance(value, list):
            last = len(value) - 1
            return "".join(
                inner.replace("{{.}}", str(item)).replace("{{,}}", "," * (i < last))
                for i, item in enumerate(value)
            )
        return inner if value else ""

    def text(match: re.Match[str]) -> str:
        value = look_up(match.group(1))
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    return _VALUE.sub(text, _SECTION.sub(section, template))


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)


class Machine:
    """One machine: its address, and its processes by role."""

    def __init__(
        self, deployment: Deployment, name: str, ip: str, zone: str, *, disk: bool
    ) -> None:
        self.name, self.ip, self.zone, self.disk = name, ip, zone, disk
        self._deployment = deployment
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.front = f"{ip}:{PORTS['front']}"
        self.ready = f"{ip}:{PORTS['ready']}"
        self.control = f"{ip}:{PORTS['control']}"

    def start(self, *, bootstrap: bool, seeds: list[str], roles: list[str]) -> None:
        for role in roles:
            self.start_role(role, bootstrap=bootstrap, seeds=seeds)

    def start_role(self, role: str, *, bootstrap: bool, seeds: list[str]) -> None:
        """Start one role with the settings that are in effect now."""
        folder = self._deployment.folder
        spec = self._deployment.roles[role]
        data = folder / self.name / role
        if self.disk:
            data.mkdir(parents=True, exist_ok=True)
        fields = {
            "node": self.name,
            "zone": self.zone,
            "region": "region-1",
            "ip": self.ip,
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "portRange": [PEER_PORT, PEER_PORT + 15],
            "seeds": seeds,
            "bootstrap": bootstrap,
            "dataDir": str(data) if self.disk else "",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "limits": {"linkMbps": 1000.0, "maxFds": 4100, "memoryMb": 150},
            "bounds": self._deployment.bounds,
            "contracts": CONTRACTS,
        }
        template = (ROOT / spec["template"]).read_text(encoding="utf-8")
        settings = folder / f"{self.name}-{role}.conf"
        settings.write_text(render(template, fields), encoding="utf-8")
        argv = render(spec["run"], fields).split(" ")
        env = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["GOOSEBERRYDALE_CONFIG"] = str(settings)
        with open(folder / f"{self.name}-{role}.log", "ab") as log:
            self.processes[role] = subprocess.Popen(
                argv, stdout=log, stderr=log, cwd=ROOT, env=env
            )

    def kill(self, *roles: str) -> None:
        """Kill processes with SIGKILL, all of them if no role is named."""
        for role in roles or tuple(self.processes):
            process = self.processes.pop(role, None)
            if process is not None and process.poll() is None:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()


class Deployment:
    """All machines of a case; ``close`` ends every process that was started."""

    def __init__(self, **bounds: float) -> None:
        """``bounds`` differ from those of the smallest sheet."""
        self.bounds = {**BOUNDS, **bounds}
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        system = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        self.roles: dict[str, Any] = system["roles"]
        self._net = _free_net()
        self._count = 0
        self.machines: dict[str, Machine] = {}

    def address(self) -> str:
        """Return a loopback address that nothing else here uses."""
        self._count += 1
        return f"{self._net}.{self._count}"

    def add(self, name: str, zone: str, *, disk: bool) -> Machine:
        machine = Machine(self, name, self.address(), zone, disk=disk)
        self.machines[name] = machine
        return machine

    def close(self) -> None:
        for machine in self.machines.values():
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def tail(self, name: str, role: str, lines: int = 5) -> str:
        """Return the last lines of a process's log."""
        path = self.folder / f"{name}-{role}.log"
        text = path.read_text(errors="replace") if path.exists() else ""
        return "\n".join(text.splitlines()[-lines:])


def _free_net() -> str:
    """Return the first three numbers of loopback addresses on which nothing listens."""
    rng = random.SystemRandom()
    while True:
        net = f"127.{rng.randrange(32, 224)}.{rng.randrange(1, 255)}"
        try:
            for port in (*PORTS.values(), PEER_PORT):
                with socket.socket() as sock:
                    sock.bind((f"{net}.1", port))
        except OSError:
            continue
        return net


def wait_until(condition: Callable[[], bool], what: str, limit_s: float) -> None:
    """Wait for a condition; raises TimeoutError, which ends the case with exit code 2."""
    until = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(what)
        time.sleep(0.1)


def dump(value: Any) -> bytes:
    return json.dumps(value).encode()
