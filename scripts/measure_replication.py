"""Measure proposals a second with three replicas in one process, and real files.

The argument is the time in seconds for each concurrency (default 5).  Prints one line
for the idle replicas and one for each concurrency.
"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import tempfile
import time
from pathlib import Path

from gooseberrydale.connection.rpc import RpcServer
from gooseberrydale.process.cfg import ControlCfg
from gooseberrydale.process.control.first_start import init_folder
from gooseberrydale.process.control.replica import Replica

NAMES = ("c1", "c2", "c3")
CONCURRENCIES = (1, 16, 128)
COMMAND = b"x" * 100
TOKEN = "fleet"


class NullMachine:
    """A state machine that does nothing, so that only replication is measured."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Ignore the command."""
        return b""

    def snapshot(self) -> bytes:
        """Return an empty snapshot."""
        return b""

    def restore(self, data: bytes) -> None:
        """Ignore the snapshot."""


async def _start(folder: Path) -> list[tuple[Replica, RpcServer]]:
    init_folder(folder / "c1", "c1")
    addresses = {name: _free_address() for name in NAMES}
    started = []
    for name in NAMES:
        server = RpcServer(addresses[name], TOKEN)
        cfg = ControlCfg(folder / name, replicas=addresses)
        rng = random.Random(name)
        replica = Replica(cfg, TOKEN, NullMachine(), server, name=name, rng=rng)
        await server.start()
        await replica.start()
        started.append((replica, server))
    return started


def _free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def _wait_for_healthy_leader(replicas: list[Replica]) -> Replica:
    while True:
        for replica in replicas:
            repairs = replica.status.repairs
            if repairs and all(repair.state == "done" for repair in repairs):
                return replica
        await asyncio.sleep(0.1)


async def _propose_until(
    leader: Replica, deadline: float, times: list[float], failed: list[str]
) -> None:
    while (started := time.perf_counter()) < deadline:
        answer = await leader.propose(COMMAND)
        if answer.is_ok():
            times.append(time.perf_counter() - started)
        else:
            failed.append(answer.unwrap_err().code)


async def _measure(leader: Replica, concurrency: int, seconds: float) -> None:
    times: list[float] = []
    failed: list[str] = []
    cpu_before = time.process_time()
    deadline = time.perf_counter() + seconds
    async with asyncio.TaskGroup() as group:
        for _ in range(concurrency):
            group.create_task(_propose_until(leader, deadline, times, failed))
    cpu_s = time.process_time() - cpu_before
    times.sort()
    print(
        f"concurrency {concurrency}: {len(times) / seconds:.0f}/s,"
        f" median {times[len(times) // 2] * 1e3:.1f} ms,"
        f" 99% {times[len(times) * 99 // 100] * 1e3:.1f} ms,"
        f" CPU of all three {cpu_s / len(times) * 1e6:.0f} us each,"
        f" failed {len(failed)}"
    )


async def _main(seconds: float) -> None:
    with tempfile.TemporaryDirectory() as name:
        started = await _start(Path(name))
        leader = await _wait_for_healthy_leader([replica for replica, _ in started])
        cpu_before = time.process_time()
        await asyncio.sleep(seconds)
        cpu_s = time.process_time() - cpu_before
        print(f"idle: CPU of all three {cpu_s / seconds * 1e3:.1f} ms a second")
        for concurrency in CONCURRENCIES:
            await _measure(leader, concurrency, seconds)
        for replica, server in started:
            await replica.close()
            await server.close()


if __name__ == "__main__":
    asyncio.run(_main(float(sys.argv[1]) if len(sys.argv) > 1 else 5.0))
