"""One role process under measure, and what it spends in a stretch of time."""

from __future__ import annotations

import asyncio
import pathlib
from dataclasses import dataclass
from types import TracebackType

import psutil

from tests.fleet import (
    CONTROL_RPC,
    ENTRY_RPC,
    SIDECAR_RPC,
    Fleet,
    UpstreamSpec,
    wait_for_port,
)

MB = 1e6
PORTS = {"entry": ENTRY_RPC, "control": CONTROL_RPC, "sidecar": SIDECAR_RPC}


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time in seconds a second, and resident memory in megabytes."""

    cpu: float
    rss_mb: float


class Subject:
    """A lone process of one role; use it as a context.

    A sidecar stands before ``upstream_host``, where the trial serves a stand-in.
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
            # Settings must name a control replica; this one never answers.
            self.fleet.controls = ["control-away"]
            self.fleet.add_upstream(UpstreamSpec("1", "engines"))
            del self.fleet.processes["upstream-1"]
            # Nor is it there to be initialised.
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
        """Watch the process for a while."""
        return await watch(self.fleet.processes[self.name].pid, seconds)


async def watch(pid: int, seconds: float) -> Usage:
    """Return what a process spends during the next ``seconds``."""
    process = psutil.Process(pid)
    loop = asyncio.get_running_loop()
    before, began = process.cpu_times(), loop.time()
    await asyncio.sleep(seconds)
    after, ended = process.cpu_times(), loop.time()
    spent = after.user + after.system - before.user - before.system
    return Usage(spent / (ended - began), process.memory_info().rss / MB)
