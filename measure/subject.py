"""The process whose CPU time and memory are measured."""

from __future__ import annotations

import asyncio
import pathlib
from dataclasses import dataclass
from types import TracebackType

import psutil

from tests.fleet import (
    CONTROL_RPC_PORT,
    ENTRY_RPC_PORT,
    SIDECAR_RPC_PORT,
    Fleet,
    UpstreamSpec,
    wait_for_port,
)

MB = 1e6
PORTS = {
    "entry": ENTRY_RPC_PORT,
    "control": CONTROL_RPC_PORT,
    "sidecar": SIDECAR_RPC_PORT,
}


@dataclass(frozen=True, slots=True)
class Usage:
    """CPU time in seconds per second, and resident memory in megabytes."""

    cpu: float
    rss_mb: float


class Subject:
    """A single process of one role; use it as a context manager.

    For a sidecar, the trial serves a fake engine at ``upstream_host``.
    """

    def __init__(self, role: str, folder: pathlib.Path) -> None:
        self.fleet = Fleet(folder, ("zone-1",))
        self.name = f"{role}-1"
        self.host, port = self.fleet.host(self.name), PORTS[role]
        if role == "entry":
            self.fleet.add_entries(1)
        elif role == "control":
            self.fleet.add_controls(1)
        else:
            # Settings must name a control replica; this one does not exist.
            self.fleet.controls = ["control-away"]
            self.fleet.add_upstream(UpstreamSpec("1", "engines"))
            del self.fleet.processes["upstream-1"]
            # ``__enter__`` must not try to initialise it.
            self.fleet.controls = []
        self.upstream_host = self.fleet.host("upstream-1")
        self.port = port
        self.address = f"{self.host}:{port}"

    def __enter__(self) -> Subject:
        if self.name in self.fleet.controls:
            self.fleet.init_control()
        for process in self.fleet.processes.values():
            process.start()
        wait_for_port(self.host, self.port)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.fleet.close()

    async def usage(self, seconds: float) -> Usage:
        """Return what the process uses during the next ``seconds``."""
        return await measure_usage(self.fleet.processes[self.name].pid, seconds)


async def measure_usage(pid: int, seconds: float) -> Usage:
    """Return the CPU time and memory of a process over the next ``seconds``."""
    process = psutil.Process(pid)
    loop = asyncio.get_running_loop()
    before, started_at = process.cpu_times(), loop.time()
    await asyncio.sleep(seconds)
    after, ended_at = process.cpu_times(), loop.time()
    spent = after.user + after.system - before.user - before.system
    return Usage(spent / (ended_at - started_at), process.memory_info().rss / MB)
