"""Print what the mesh costs for each record, heartbeat and try to connect.

Both ends of the sessions run in this process, so the processor time printed is
that of both ends together.  Run it on an idle machine: PYTHONPATH=. python
scripts/slope_mesh.py
"""

from __future__ import annotations

import asyncio
import random
import socket
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from gooseberrydale.connection.codec import encode
from gooseberrydale.connection.mesh import (
    Announce,
    ConfigOffer,
    RevisionAck,
    UpstreamRecord,
)
from gooseberrydale.connection.mesh_client import MeshClient
from gooseberrydale.connection.mesh_node import Identity, MeshNode
from gooseberrydale.connection.mesh_server import MeshServer
from gooseberrydale.connection.rpc import RpcServer
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import Config, Workspace
from gooseberrydale.version.directory import Directory, new_incarnation

SIZES = (50, 100, 200, 400, 740)
SESSIONS = (4, 8, 16, 32)
WORKSPACES = (8, 450, 900, 1800)
ROUNDS = 20
IDLE_S = 6.0
TRY_S = 5.0
RESTARTS = 5
DOWN_S = 2.0
TOKEN = "slope"
MICRO = 1e6


def records(count: int, seq: int, rng: random.Random) -> list[UpstreamRecord]:
    """Records of about the size that sidecars announce."""
    return [
        UpstreamRecord(
            name=f"engine-{n:04d}",
            incarnation=new_incarnation(1_800_000_000 * 10**9 + n, rng),
            seq=seq,
            address=f"10.20.{n // 250}.{n % 250}:8090",
            zone="region-1-a",
            region="region-1",
            pool="completions",
            kind="completion",
            model="model-1",
            weights_version="2026-11-30.1",
            upstream_incarnation=f"{rng.getrandbits(64):016x}",
            lease_s=6.0,
        )
        for n in range(count)
    ]


def line(sizes: tuple[int, ...], costs: list[float]) -> str:
    """The straight line through the points, as fixed part and slope."""
    slope, fixed = statistics.linear_regression(sizes, costs)
    return f"fixed {fixed:.2f}, slope {slope:.3f}"


def report(title: str, sizes: tuple[int, ...], costs: list[float]) -> None:
    """Print the points and the line."""
    points = ", ".join(f"{size}: {cost:.1f}" for size, cost in zip(sizes, costs))
    print(f"{title}\n  {points}\n  {line(sizes, costs)}", flush=True)


def timed(work: Callable[[], object]) -> float:
    """Processor time of ``work`` in microseconds."""
    before = time.process_time()
    work()
    return (time.process_time() - before) * MICRO


class Pair:
    """A serving node and clients that keep sessions to it."""

    def __init__(self, clients: int, role: str = "entry") -> None:
        self.rng = random.Random(1)
        self.server = self._node("entry", "server")
        self.nodes = [self._node(role, f"client-{n}") for n in range(clients)]
        self.clients: list[MeshClient] = []
        self.mesh_server = MeshServer(self.server)
        self.rpc = RpcServer("127.0.0.1:0", TOKEN)

    def _node(self, role: str, name: str) -> MeshNode:
        identity = Identity(role, name, f"{name}-1", "z1")
        return MeshNode(identity, Directory(), ConfigStore())

    async def start(self) -> None:
        """Open all sessions and wait for them."""
        self.mesh_server.register(self.rpc)
        await self.rpc.start()
        for node in [self.server, *self.nodes]:
            await node.start()
        for node in self.nodes:
            address = f"127.0.0.1:{self.rpc.port}"
            client = MeshClient(address, TOKEN, None, node, self.rng)
            self.clients.append(client)
            await client.start()
        while not all(client.connected for client in self.clients):
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """End all sessions."""
        for client in self.clients:
            await client.close()
        self.mesh_server.close()
        for node in [self.server, *self.nodes]:
            await node.close()
        await self.rpc.close()


async def renewal_cost(count: int) -> float:
    """Processor time of one round of ``count`` renewals over one session, µs."""
    pair = Pair(1)
    await pair.start()
    loop = asyncio.get_running_loop()
    base = records(count, 1, pair.rng)
    source, target = pair.nodes[0].directory, pair.server.directory
    costs = []
    for seq in range(1, ROUNDS + 2):
        before = time.process_time()
        for one in base:
            source.offer(replace(one, seq=seq), loop.time())
        while target.version < count * seq:
            await asyncio.sleep(0.01)
        costs.append((time.process_time() - before) * MICRO)
    await pair.close()
    return statistics.median(costs[1:])


async def idle_cost(count: int) -> float:
    """Processor time of ``count`` idle sessions in a second, µs."""
    pair = Pair(count)
    await pair.start()
    await asyncio.sleep(1)
    before = time.process_time()
    await asyncio.sleep(IDLE_S)
    cost = (time.process_time() - before) * MICRO / IDLE_S
    await pair.close()
    return cost


async def try_cost(count: int) -> float:
    """Processor time that ``count`` clients of a dead address spend a second, µs."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        node = MeshNode(Identity("entry", "c", "c-1", "z1"), Directory(), ConfigStore())
        await node.start()
        rng = random.Random(1)
        clients = [MeshClient(address, TOKEN, None, node, rng) for _ in range(count)]
        for client in clients:
            await client.start()
        await asyncio.sleep(1)
        before = time.process_time()
        await asyncio.sleep(TRY_S)
        cost = (time.process_time() - before) * MICRO / TRY_S
        for client in clients:
            await client.close()
        await node.close()
    return cost


async def recovery(count: int) -> float:
    """Longest of some times from a server's start to its last session, in ms."""
    pair = Pair(count)
    await pair.start()
    address = f"127.0.0.1:{pair.rpc.port}"
    loop = asyncio.get_running_loop()
    longest = 0.0
    for _ in range(RESTARTS):
        pair.mesh_server.close()
        await pair.rpc.close()
        await asyncio.sleep(DOWN_S)
        pair.mesh_server = MeshServer(pair.server)
        pair.rpc = RpcServer(address, TOKEN)
        pair.mesh_server.register(pair.rpc)
        started = loop.time()
        await pair.rpc.start()
        while len(pair.server.peers()) < count:
            await asyncio.sleep(0.005)
        longest = max(longest, loop.time() - started)
    await pair.close()
    return longest * 1000


def offer_cost(count: int) -> float:
    """Processor time of taking ``count`` renewals into a directory, µs."""
    directory = Directory()
    base = records(count, 1, random.Random(1))
    costs = []
    for seq in range(1, ROUNDS + 2):
        renewed = [replace(one, seq=seq) for one in base]
        costs.append(timed(lambda: [directory.offer(one, 0.0) for one in renewed]))
    return statistics.median(costs[1:])


def ready_cost(count: int) -> float:
    """Processor time of 10,000 reads of the ready upstreams, µs."""
    directory = Directory()
    for one in records(count, 1, random.Random(1)):
        directory.offer(one, 0.0)
    return timed(lambda: [directory.ready("completions", 1.0) for _ in range(10_000)])


def memory_cost(count: int) -> float:
    """Memory of a directory with ``count`` records, in bytes."""
    tracemalloc.start()
    directory = Directory()
    for one in records(count, 1, random.Random(1)):
        directory.offer(one, 0.0)
    directory.ready("completions", 1.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def record_bytes(count: int) -> float:
    """Bytes of one message with ``count`` records."""
    batch = tuple(records(count, 1000, random.Random(1)))
    return len(encode(Announce(batch, sent_at=12345.678, echo_at=23456.789)))


def config_bytes(count: int) -> float:
    """Bytes of a configuration of ``count`` workspaces with two keys each."""
    keys = ("a" * 64, "b" * 64)
    spaces = {f"workspace-{n}": Workspace(f"workspace-{n}", keys) for n in range(count)}
    return len(encode(ConfigOffer(Config(revision=1, workspaces=spaces))))


async def main() -> None:
    """Measure and print all slopes."""
    logger.remove()
    beat = encode(RevisionAck("engine-0001", 1600, 12345.678, 23456.789))
    print(f"heartbeat: {len(beat)} bytes")
    report("announcement, bytes by records", SIZES, [record_bytes(n) for n in SIZES])
    report(
        "configuration, bytes by workspaces",
        WORKSPACES,
        [*map(config_bytes, WORKSPACES)],
    )
    report("directory, bytes of memory by records", SIZES, [*map(memory_cost, SIZES)])
    report("renewals taken in, µs by records", SIZES, [*map(offer_cost, SIZES)])
    report("10,000 reads of ready, µs by records", SIZES, [*map(ready_cost, SIZES)])
    costs = [await renewal_cost(n) for n in SIZES]
    report("renewals over a session, both ends, µs by records", SIZES, costs)
    costs = [await idle_cost(n) for n in SESSIONS]
    report("idle sessions, both ends, µs a second by sessions", SESSIONS, costs)
    costs = [await try_cost(n) for n in SESSIONS]
    report("tries on a dead address, µs a second by clients", SESSIONS, costs)
    times = [await recovery(n) for n in SESSIONS]
    report("longest time to the last session after a start, ms", SESSIONS, times)


if __name__ == "__main__":
    asyncio.run(main())
