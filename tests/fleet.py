"""Builds fleets of real processes for tests of the whole product.

Each process gets its own loopback address, as instances have their own addresses in
production.  So fixed ports never collide, and a restarted process has the same address.
A fleet stops only processes that it started itself.
"""

from __future__ import annotations

import functools
import hashlib
import os
import pathlib
import signal
import socket
import ssl
import subprocess
import sys
import time
import uuid
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

import httpx2

from gooseberrydale.version.declarations import Profile, Workspace
from tests.certificates import write_certificates

ROOT = pathlib.Path(__file__).resolve().parent.parent
FLEET_TOKEN = "fleet-token-of-the-tests"
OPERATOR_TOKEN = "operator-token-of-the-tests"
START_BOUND_S = 60.0
STOP_BOUND_S = 60.0
POLL_S = 0.02

ENTRY_HTTP_PORT, ENTRY_RPC_PORT = 8080, 8081
SIDECAR_RPC_PORT = 8090
CONTROL_RPC_PORT, CONTROL_HTTP_PORT = 8070, 8071
UPSTREAM_HTTP_PORT = 9000
MAX_HOSTS = 40
METRICS_HTTP_PORT = 9100
CLOSED_PORT = 1
TAIL_LINES = 5


class Process:
    """An operating-system process of a fleet, with a log file for its output.

    ``env`` has environment variables that it gets besides those of this process;
    ``own_log`` is the file to which it logs by its settings, if not to its output.
    """

    def __init__(
        self,
        name: str,
        argv: list[str],
        log: pathlib.Path,
        env: Mapping[str, str] | None = None,
        own_log: pathlib.Path | None = None,
    ) -> None:
        self.name = name
        self._own_log = own_log
        self._env = {**(env or {}), "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        self._argv = argv
        self._log = log
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._popen is not None, f"{self.name} was never started"
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited; a suspended one counts as running."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, negative for a signal; None if the process has not exited."""
        return None if self._popen is None else self._popen.poll()

    def start(self) -> None:
        """Start the process; append its output to its log file."""
        env = {**os.environ, **self._env}
        with open(self._log, "ab") as log:
            self._popen = subprocess.Popen(
                self._argv, stdout=log, stderr=log, cwd=ROOT, env=env
            )

    def signal(self, number: int) -> None:
        """Send a signal to this process, not to its process group."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process with SIGKILL, as a crash would, and wait for its exit."""
        if self.running:
            self.signal(signal.SIGKILL)
            self.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process with SIGCONT."""
        self.signal(signal.SIGCONT)

    def reload(self) -> None:
        """Send SIGHUP, which makes the process reload its settings."""
        self.signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Send SIGTERM, which asks for a graceful shutdown."""
        self.signal(signal.SIGTERM)

    def wait(self, bound_s: float = STOP_BOUND_S) -> int:
        """Wait until the process has exited and return its exit code."""
        assert self._popen is not None
        return self._popen.wait(bound_s)

    def output(self) -> str:
        """Return everything that the process has logged and written to its output."""
        paths = filter(None, (self._own_log, self._log))
        return "".join(p.read_text(errors="replace") for p in paths if p.exists())


@dataclass
class UpstreamSpec:
    """Describes an upstream to start, and the settings of its sidecar."""

    name: str
    pool: str
    zone: str = "zone-1"
    kind: str = "completion"
    model: str = "model-a"
    flags: tuple[str, ...] = ()
    settings: dict[str, object] = field(default_factory=dict)
    metrics: bool = False


class Fleet:
    """Entries, control replicas, and upstreams with their sidecars.

    Processes whose names are in ``cut_off`` when they are added can't reach control:
    their settings name a port on which nothing listens.
    """

    def __init__(
        self, folder: pathlib.Path, zones: tuple[str, ...], *, tls: bool = False
    ) -> None:
        self.folder = folder
        self.zones = zones
        self._net = _free_net()
        self._hosts: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        self.controls: list[str] = []
        self.entries: list[str] = []
        self.upstreams: dict[str, UpstreamSpec] = {}
        self.rpc_override: dict[str, str] = {}
        self.cut_off: set[str] = set()
        self._write_secrets()
        self.tls: dict[str, str] = {}
        if tls:
            hosts = [f"{self._net}.{number}" for number in range(1, MAX_HOSTS)]
            self.tls = write_certificates(folder, hosts)

    @functools.cached_property
    def verify(self) -> ssl.SSLContext:
        """The ``verify`` argument of HTTP clients: trusts the CA file if TLS is used.

        Each client without it would load the certificates again, which takes far
        longer than a call.
        """
        return ssl.create_default_context(cafile=self.tls.get("ca_file"))

    @property
    def _scheme(self) -> str:
        return "https" if self.tls else "http"

    # Addresses.

    def host(self, name: str) -> str:
        """Return the loopback address of ``name``; assign one at the first call."""
        if name not in self._hosts:
            self._hosts[name] = f"{self._net}.{len(self._hosts) + 1}"
        return self._hosts[name]

    def entry_url(self, name: str) -> str:
        """Return the base URL of an entry's HTTP interface."""
        return f"{self._scheme}://{self.host(name)}:{ENTRY_HTTP_PORT}"

    def operator_url(self, name: str) -> str:
        """Return the base URL of a control replica's operator interface."""
        return f"{self._scheme}://{self.host(name)}:{CONTROL_HTTP_PORT}"

    def upstream_url(self, name: str) -> str:
        """Return the base URL of the upstream itself, without its sidecar."""
        return f"http://{self.host('upstream-' + name)}:{UPSTREAM_HTTP_PORT}"

    # Building.

    def add_controls(self, count: int, **settings: object) -> None:
        """Add ``count`` control replicas, spread over the zones."""
        self.controls = [f"control-{i + 1}" for i in range(count)]
        replicas = {n: f"{self.host(n)}:{CONTROL_RPC_PORT}" for n in self.controls}
        for i, name in enumerate(self.controls):
            table = {
                "data_dir": str(self.folder / name),
                "rpc": f"{self.host(name)}:{CONTROL_RPC_PORT}",
                "http": f"{self.host(name)}:{CONTROL_HTTP_PORT}",
                "operators_file": str(self.folder / "operators.toml"),
                "replicas": replicas,
                **settings,
            }
            self._write_cfg(name, self.zones[i % len(self.zones)], "control", table)
            self._add_role(name, "control")

    def add_entries(self, count: int, **settings: object) -> None:
        """Add ``count`` entries, spread over the zones."""
        self.entries = [f"entry-{i + 1}" for i in range(count)]
        for i, name in enumerate(self.entries):
            table = {
                "http": f"{self.host(name)}:{ENTRY_HTTP_PORT}",
                "rpc": f"{self.host(name)}:{ENTRY_RPC_PORT}",
                **settings,
            }
            self._write_cfg(name, self.zones[i % len(self.zones)], "entry", table)
            self._add_role(name, "entry")

    def add_upstream(self, spec: UpstreamSpec) -> None:
        """Add an upstream and its sidecar."""
        self.upstreams[spec.name] = spec
        host = self.host("upstream-" + spec.name)
        app = "engine" if spec.kind == "completion" else "service"
        self._add_process(
            "upstream-" + spec.name,
            [sys.executable, "-m", "gooseberrydale.example", app]
            + ["--host", host, "--port", str(UPSTREAM_HTTP_PORT), *spec.flags],
        )
        sidecar = "sidecar-" + spec.name
        table = {
            "upstream": self.upstream_url(spec.name),
            "pool": spec.pool,
            "kind": spec.kind,
            "model": spec.model if spec.kind == "completion" else "",
            "rpc": f"{self.host(sidecar)}:{SIDECAR_RPC_PORT}",
            **spec.settings,
        }
        self._write_cfg(sidecar, spec.zone, "sidecar", table, node=spec.name)
        if spec.metrics:
            listener: dict[str, object] = {
                "http": f"{self.host(sidecar)}:{METRICS_HTTP_PORT}"
            }
            with open(self.cfg_path(sidecar), "a") as cfg:
                cfg.write(_toml("metrics", listener))
        self._add_role(sidecar, "sidecar")

    def add_example(self, name: str, app: str, host: str, port: int) -> None:
        """Add one of the example apps as a separate process."""
        argv = [sys.executable, "-m", "gooseberrydale.example", app]
        self._add_process(name, [*argv, "--host", host, "--port", str(port)])

    def start(self) -> None:
        """Initialise control, then start all processes."""
        self.init_control()
        for process in self.processes.values():
            process.start()

    def init_control(self) -> None:
        """Initialise the first control replica; the others join it when they start."""
        for name in self.controls[:1]:
            self.cli("control", "init", "--cfg", str(self.cfg_path(name)))

    def close(self) -> None:
        """Kill every process that is still running."""
        for process in self.processes.values():
            if process.running:
                process.thaw()
                process.kill()

    # Running commands.

    def cli(self, *args: str) -> str:
        """Run the product's command and return its output; raise if it fails."""
        done = self.try_cli(*args)
        if done.returncode != 0:
            raise AssertionError(f"{args} exited with {done.returncode}: {done.stderr}")
        return done.stdout

    def try_cli(self, *args: str) -> subprocess.CompletedProcess[str]:
        """Run the product's command, which may fail."""
        return subprocess.run(
            [sys.executable, "-m", "gooseberrydale", *args],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            capture_output=True,
            text=True,
            timeout=START_BOUND_S,
        )

    def operator_args(self) -> tuple[str, ...]:
        """Return the flags with which operators' commands reach this fleet."""
        urls = ",".join(self.operator_url(name) for name in self.controls)
        token_file = str(self.folder / "operator-token")
        return ("--control", urls, "--token-file", token_file)

    # Operating.

    def operate(self, method: str, path: str, body: Any = None) -> Any:
        """Call the operators' interface; try the replicas until one accepts."""
        end = time.monotonic() + START_BOUND_S
        answer: Any = None
        while time.monotonic() < end:
            for name in self.controls:
                answer = self.operate_at(name, method, path, body)
                if answer is not None and answer.status_code < 400:
                    return answer.json()
                if answer is not None and answer.status_code not in (421, 503):
                    raise AssertionError(f"{method} {path} failed: {answer.text}")
            time.sleep(POLL_S)
        raise AssertionError(
            f"{path}: no replica accepted the call: {answer and answer.text}"
        )

    def operate_at(
        self, name: str, method: str, path: str, body: Any = None
    ) -> httpx2.Response | None:
        """Call one replica's operators' interface; None if it can't be reached."""
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        url = self.operator_url(name) + path
        try:
            return httpx2.request(
                method,
                url,
                json=body,
                headers=headers,
                timeout=5.0,
                trust_env=False,
                verify=self.verify,
            )
        except httpx2.HTTPError:
            return None

    def revision(self) -> int:
        """Return the revision in force, as the leader reports it."""
        return int(self.operate("GET", "/v1/config?from=leader")["revision"])

    def change(self, *edits: dict[str, Any]) -> int:
        """Commit edits as one change; return the new revision."""
        body = {"change_id": uuid.uuid4().hex, "base": self.revision(), "edits": edits}
        return int(self.operate("POST", "/v1/changes", body)["revision"])

    def declare(
        self, profiles: Sequence[Profile] = (), workspaces: Sequence[Workspace] = ()
    ) -> int:
        """Apply profiles and workspaces as one change."""
        edits: list[dict[str, Any]] = []
        for profile in profiles:
            edits.append({"kind": "apply_profile", "profile": asdict(profile)})
        for workspace in workspaces:
            edits.append({"kind": "apply_workspace", "workspace": asdict(workspace)})
        return self.change(*edits)

    def wait_ready(self, upstreams: int) -> None:
        """Wait until entries are ready, upstreams announced, and control is healthy."""
        for name in self.entries:
            url = self.entry_url(name) + "/readyz"
            ready = functools.partial(_answers, url, self.verify)
            wait_until(ready, f"{name} is not ready")
        wait_until(self.control_healthy, "not every control replica is repaired")
        wait_until(
            lambda: len(self.operate("GET", "/v1/upstreams")["upstreams"]) >= upstreams,
            f"fewer than {upstreams} upstreams have announced themselves",
        )

    def control_healthy(self) -> bool:
        """Whether the leader reports the repair of every replica as done."""
        control = self.operate("GET", "/v1/status?from=leader")["control"]
        states = {repair["state"] for repair in control["repairs"]}
        return states == {"done"}

    def sidecar_gauge(self, upstream: str, name: str) -> float:
        """Return the value of a gauge; the sidecar must have a metrics listener."""
        url = f"http://{self.host('sidecar-' + upstream)}:{METRICS_HTTP_PORT}/metrics"
        text = httpx2.get(url, timeout=10.0, trust_env=False, verify=self.verify).text
        lines = [line for line in text.splitlines() if line[:1] not in ("", "#")]
        samples = [line for line in lines if name in line.split("{")[0]]
        assert samples, f"{name} is not among the metrics {lines}"
        return float(samples[0].rpartition(" ")[2])

    def entry_ready(self, name: str) -> bool:
        """Whether an entry's ``/readyz``, which load balancers call, reports ready."""
        return _answers(self.entry_url(name) + "/readyz", self.verify)

    def answers_health(self, upstream: str) -> bool:
        """Whether the upstream's own ``/health`` answers."""
        return _answers(self.upstream_url(upstream) + "/health", self.verify)

    def runs(self, upstream: str) -> list[dict[str, Any]]:
        """Return the requests that the upstream has recorded as run."""
        url = self.upstream_url(upstream) + "/record"
        answer = httpx2.get(
            url, timeout=10.0, trust_env=False, verify=self.verify
        ).json()
        return list(answer["runs"] if "runs" in answer else answer["requests"])

    # Settings and processes.

    def _write_secrets(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "fleet-token").write_text(FLEET_TOKEN)
        (self.folder / "operator-token").write_text(OPERATOR_TOKEN)
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        (self.folder / "operators.toml").write_text(f'tester = "{digest}"\n')

    def cfg_path(self, name: str) -> pathlib.Path:
        return self.folder / f"{name}.toml"

    def _write_cfg(
        self,
        name: str,
        zone: str,
        role: str,
        table: dict[str, object],
        node: str = "",
    ) -> None:
        port = CLOSED_PORT if name in self.cut_off else CONTROL_RPC_PORT
        fleet: dict[str, object] = {
            "token_file": str(self.folder / "fleet-token"),
            "controls": [self._rpc(n, port) for n in self.controls],
            "entries": [self._rpc(n, ENTRY_RPC_PORT) for n in self.entries],
        }
        if self.tls:
            fleet["tls"] = self.tls
            table = table if role == "sidecar" else {**table, "tls": self.tls}
        self.cfg_path(name).write_text(
            _toml("node", {"name": node or name, "zone": zone})
            + _toml("fleet", fleet)
            + _toml(role, table)
        )

    def _rpc(self, name: str, port: int) -> str:
        return self.rpc_override.get(name, f"{self.host(name)}:{port}")

    def _add_role(self, name: str, role: str) -> None:
        argv = [sys.executable, "-m", "gooseberrydale", role]
        self._add_process(name, [*argv, "--cfg", str(self.cfg_path(name))])

    def _add_process(self, name: str, argv: list[str]) -> None:
        self.processes[name] = Process(name, argv, self.folder / f"{name}.log")


def wait_for_port(host: str, port: int, bound_s: float = START_BOUND_S) -> None:
    """Wait until the port accepts connections."""
    end = time.monotonic() + bound_s
    while True:
        try:
            socket.create_connection((host, port), timeout=1.0).close()
            return
        except OSError:
            if time.monotonic() > end:
                raise
            time.sleep(POLL_S)


def wait_until(
    condition: Callable[[], Any], fault: str, bound_s: float = START_BOUND_S
) -> None:
    """Wait until ``condition`` holds; raise with ``fault`` after ``bound_s``."""
    end = time.monotonic() + bound_s
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"{fault} after {bound_s:g} s")
        time.sleep(POLL_S)


def describe_ends(processes: Mapping[str, Process]) -> str:
    """Return each process's exit code and the end of what it has logged."""
    lines = []
    for name, process in processes.items():
        state = "running" if process.running else f"exited with {process.exit_code}"
        lines += [f"{name}: {state}", *process.output().splitlines()[-TAIL_LINES:]]
    return "\n".join(lines)


def key_digest(key: str) -> str:
    """Return the digest of an API key as a workspace declares it."""
    return hashlib.sha256(key.encode()).hexdigest()


def _answers(url: str, verify: ssl.SSLContext) -> bool:
    try:
        answer = httpx2.get(url, timeout=2.0, trust_env=False, verify=verify)
        return answer.status_code == 200
    except httpx2.HTTPError:
        return False


def _free_net() -> str:
    """Return the first three numbers of a loopback network that no fleet uses."""
    for attempt in range(250):
        net = f"127.{1 + os.getpid() % 250}.{(time.time_ns() // 1000 + attempt) % 250}"
        try:
            with socket.socket() as probe:
                probe.bind((f"{net}.254", CONTROL_RPC_PORT))
            return net
        except OSError:
            continue
    raise RuntimeError(
        "no free loopback network; stop processes left over from earlier tests"
    )


def _toml(table: str, values: dict[str, object]) -> str:
    lines = [f"[{table}]"]
    for key, value in values.items():
        if not isinstance(value, dict):
            lines.append(f"{key} = {_toml_value(value)}")
    text = "\n".join(lines) + "\n"
    for key, value in values.items():
        if isinstance(value, dict):
            text += _toml(f"{table}.{key}", value)
    return text


def _toml_value(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, (list, tuple)):
        return "[" + ", ".join(_toml_value(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else str(value)
