"""Machines that run the platform's roles as real processes, with upstreams beside them.

Each machine has a loopback address of its own, which its processes share.  The first
ones have a disk and run a control replica beside their gateway.  Upstreams run in the
test's own process.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import pathlib
import shutil
import socket
import ssl
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import httpx2

from tests.fleet import ROOT, Process

HTTP_PORT, READY_PORT, CONTROL_PORT, RPC_PORT = 8782, 8789, 8783, 7340
HOST = "shop.example"
POOL = "desk"
HEARTBEAT_S = 0.4
DRAIN_S = 2.0
"""A departure is in force everywhere this long after its acknowledgement."""

TOUCH_S = 3.0
"""Processes are in touch this long after the last fault."""

START_BOUND_S = 30.0
CALL_TIMEOUT_S = 20.0
OK = 200

NO_TLS = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
"""Shared by all clients: each without it would load the machine's certificates, which
takes far longer than a call."""

_hosts = itertools.count(os.getpid() % 199)


def _free_net() -> str:
    """Return the first three bytes of a loopback network that no other test uses."""
    while True:
        number = next(_hosts)
        net = f"127.{100 + number % 100}.{1 + number // 100 % 200}"
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((f"{net}.1", RPC_PORT))
            return net


def route(name: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    defaults = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "safe",
        "timeoutMs": 6_000,
        "sloMs": 400,
        "service": POOL,
        "attempts": 2,
        "public": True,
    }
    return {**defaults, **fields}


ROUTES = (
    route("safe"),
    route("unsafe", kind="unsafe", attempts=1),
    route("streams", kind="streaming", resumable=True, timeoutMs=15_000),
)


def config(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind to one pool."""
    defaults = {
        "version": version,
        "routes": list(ROUTES),
        "services": [{"name": POOL, "maxConns": 300}],
    }
    return {**defaults, **fields}


class Machines:
    """``count`` machines, of which the first ``disks`` have a disk and a replica.

    ``settings`` are further lines of the gateways' configuration files.
    """

    def __init__(
        self, folder: pathlib.Path, count: int = 4, disks: int = 3, settings: str = ""
    ) -> None:
        self.folder = folder
        self._settings = settings
        self.net = _free_net()
        self.count, self.disks = count, disks
        self.processes: dict[str, Process] = {}
        for number in range(count):
            if number < disks:
                self._add("control", number, bootstrap=True)
            self._add("gateway", number)

    def ip(self, number: int) -> str:
        """Return the address of a machine."""
        return f"{self.net}.{1 + number}"

    @property
    def controls(self) -> list[str]:
        """Addresses of the control replicas."""
        return [f"{self.ip(n)}:{CONTROL_PORT}" for n in range(self.disks)]

    @property
    def fronts(self) -> list[str]:
        """Addresses at which the gateways serve callers."""
        return [f"{self.ip(n)}:{HTTP_PORT}" for n in range(self.count)]

    def start(self, *numbers: int) -> None:
        """Start the processes of some machines, by default of all."""
        for number in numbers or range(self.count):
            for process in self.of(number):
                process.start()

    def kill(self, *numbers: int) -> None:
        """Kill all processes of some machines, by default of all, at once."""
        processes = [p for n in numbers or range(self.count) for p in self.of(n)]
        for process in processes:
            process.signal(9)
        for process in processes:
            process.wait()

    def wipe(self, number: int) -> None:
        """Replace the disk of a machine that is down by an empty one."""
        shutil.rmtree(self._disk(number))
        self._add("control", number)

    def of(self, number: int) -> list[Process]:
        """Return the processes of a machine."""
        names = (f"control-{number + 1}", f"gateway-{number + 1}")
        return [self.processes[name] for name in names if name in self.processes]

    def close(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.running:
                process.thaw()
                process.kill()

    def output(self) -> str:
        """Return the last lines of all processes, to explain a failure."""
        return "\n".join(
            f"{name}: {process.output()[-500:]}"
            for name, process in self.processes.items()
        )

    def _disk(self, number: int) -> pathlib.Path:
        return self.folder / f"disk-{number + 1}"

    def _add(self, role: str, number: int, *, bootstrap: bool = False) -> None:
        name, ip = f"{role}-{number + 1}", self.ip(number)
        seeds = ", ".join(f'"{address}"' for address in self.controls)
        lines = [
            f'[node]\nname = "machine-{number + 1}"\nzone = "zone-{number + 1}"',
            f'[log]\nfile = "{self.folder / name}.jsonl"',
            f"[fleet]\ntrust_network = true\ncontrols = [{seeds}]",
            f"control_rpc_port = {RPC_PORT}\n[{role}]",
        ]
        disk = f'data_dir = "{self._disk(number) / role}"'
        if role == "control":
            lines += [
                disk,
                f'rpc = "{ip}:{RPC_PORT}"\nhttp = "{ip}:{CONTROL_PORT}"',
                f"open_group = true\nbootstrap = {str(bootstrap).lower()}",
                f"tolerated_losses = 1\nbeat_s = {HEARTBEAT_S}\nsnapshot_entries = 64",
            ]
        else:
            lines += [
                f'http = "{ip}:{HTTP_PORT}"\nready = "{ip}:{READY_PORT}"',
                f'gossip = "{ip}:{RPC_PORT}"\ngrace_s = 8',
                disk if number < self.disks else "",
                self._settings,
            ]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines))
        argv = [sys.executable, str(ROOT / "platform" / "run.py"), role]
        log, own_log = (self.folder / f"{name}.{end}" for end in ("log", "jsonl"))
        env = {"GOOSEBERRYDALE_CONFIG": str(path)}
        self.processes[name] = Process(name, argv, log, env, own_log)


@dataclass
class MachineUpstream:
    """An upstream that announces itself, and records when requests reach it.

    Streams have ``events`` events, ``gap_s`` apart, which name the ``software`` that
    wrote them.  ``reached`` has the loop's time of each request by its id, ``salts``
    the cache salt that it came with.  Only one with a ``model`` gets prompts.
    """

    name: str
    ip: str
    controls: list[str]
    software: str = "v1"
    events: int = 10
    gap_s: float = 0.05
    run_s: float = 0.02
    pool: str = POOL
    model: str = ""
    status: str = "200 OK"
    state: str = "ready"
    reached: dict[str, float] = field(default_factory=dict)
    salts: dict[str, str] = field(default_factory=dict)
    address: str = ""

    def __post_init__(self) -> None:
        self._seq = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> MachineUpstream:
        """Serve on a free port and announce itself until ``close``."""
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"
        self._beats = asyncio.create_task(self._announce())
        return self

    def silence(self) -> None:
        """Announce nothing any more; serve on."""
        if self._beats is not None:
            self._beats.cancel()

    async def close(self) -> None:
        """End as a killed process does."""
        self.silence()
        if self._server is not None:
            self._server.close()
        self.break_off()

    def break_off(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def beat(self, control: str) -> int:
        """Send one heartbeat; return the status of its answer, 0 if there is none."""
        self._seq += 1
        heartbeat = {
            "service": self.pool,
            "address": self.address,
            "zone": "zone-1",
            "seq": self._seq,
            "version": self.software,
            "slots": 48,
            "state": self.state,
            "coldLeftMs": 0,
        }
        if self.model:
            models = [{"name": self.model, "version": 1, "adapters": []}]
            heartbeat |= {"stage": "colocated", "models": models}
        return await post(control, f"/v1/Instances.Heartbeat/{self.name}", heartbeat)

    async def deregister(self, control: str) -> int:
        """Say that it has left; return the status of the answer."""
        return await post(control, f"/v1/Instances.Deregister/{self.name}", {})

    async def _announce(self) -> None:
        while True:
            for control in self.controls:
                if await self.beat(control) == OK:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").strip().split("\r\n")
                pairs = (line.partition(":") for line in lines)
                fields = {name.lower(): value.strip() for name, _, value in pairs}
                await reader.readexactly(int(fields.get("content-length", "0")))
                request_id = fields.get("x-request-id", "")
                self.reached[request_id] = asyncio.get_running_loop().time()
                self.salts[request_id] = fields.get("x-cache-salt", "")
                if "/streams/" in first:
                    await self._stream(request_id, fields, writer)
                else:
                    await asyncio.sleep(self.run_s)
                    body = self.software.encode()
                    writer.write(self._head(request_id, f"content-length: {len(body)}"))
                    writer.write(body)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(
        self, request_id: str, fields: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        first = int(fields.get("last-event-id", "0")) + 1
        writer.write(
            self._head(
                request_id,
                "content-type: text/event-stream",
                "transfer-encoding: chunked",
            )
        )
        for number in range(first, self.events + 1):
            data = f"id: {number}\ndata: {self.software}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")

    def _head(self, request_id: str, *lines: str) -> bytes:
        every = (
            f"HTTP/1.1 {self.status}",
            f"x-request-id: {request_id}",
            f"x-instance-id: {self.name}",
            "x-response-stamp: 1",
            *lines,
        )
        return "\r\n".join((*every, "", "")).encode()


async def post(control: str, path: str, body: dict[str, Any]) -> int:
    """Send a call to a control replica; return the status, 0 without an answer."""
    try:
        async with httpx2.AsyncClient(
            trust_env=False, verify=NO_TLS, timeout=1.0
        ) as client:
            return (await client.post(f"http://{control}{path}", json=body)).status_code
    except httpx2.HTTPError:
        return 0


async def put_config(machines: Machines, document: dict[str, Any]) -> None:
    """Declare a configuration; return once it is acknowledged."""
    async with asyncio.timeout(START_BOUND_S):
        for control in itertools.cycle(machines.controls):
            if await post(control, "/v1/Config.Put", document) == OK:
                return
            await asyncio.sleep(0.1)


@dataclass
class Received:
    """What a caller received; ``whole`` is False if the answer was cut off.

    ``status`` is 0 if there was no answer at all.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def events(self) -> list[str]:
        """The data of the events, in order."""
        lines = self.body.decode().split("\n")
        return [ln.removeprefix("data: ") for ln in lines if ln.startswith("data: ")]


async def call(
    front: str, path: str, request_id: str, *, into: Received | None = None, **more: str
) -> Received:
    """Send one request on a connection of its own; ``into`` is filled as it arrives.

    ``more`` are further headers, with underscores for dashes.
    """
    got = Received() if into is None else into
    headers = {"host": HOST, "x-request-id": request_id, "x-deadline-ms": "15000"}
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    try:
        async with (
            httpx2.AsyncClient(
                trust_env=False, verify=NO_TLS, timeout=CALL_TIMEOUT_S
            ) as client,
            client.stream(
                "POST", f"http://{front}{path}", headers=headers, content=b"{}"
            ) as answer,
        ):
            got.status, got.headers = answer.status_code, dict(answer.headers)
            async for data in answer.aiter_raw():
                got.body += data
            got.whole = True
    except httpx2.HTTPError:
        pass
    return got


async def until_served(machines: Machines, *numbers: int) -> None:
    """Wait until the gateways of some machines, by default of all, serve calls."""
    for number in numbers or range(machines.count):
        try:
            async with asyncio.timeout(START_BOUND_S):
                front = machines.fronts[number]
                while (await call(front, "/safe/1", "probe")).status != OK:
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(machines.output()) from None


@asynccontextmanager
async def running_machines(
    folder: pathlib.Path,
    *upstreams: str,
    document: dict[str, Any] | None = None,
    model: str = "",
    settings: str = "",
) -> AsyncIterator[tuple[Machines, list[MachineUpstream]]]:
    """Run machines and upstreams with these software versions; wait until all serve."""
    machines = Machines(folder, settings=settings)
    machines.start()
    served = [
        await MachineUpstream(
            f"u{n + 1}", machines.ip(100 + n), machines.controls, software, model=model
        ).start()
        for n, software in enumerate(upstreams)
    ]
    try:
        await put_config(machines, document or config())
        await until_served(machines)
        yield machines, served
    finally:
        for upstream in served:
            await upstream.close()
        machines.close()
