"""Print how the costs of the mesh grow with records, sessions and connect attempts.

For each cost it prints the points and the straight line through them (fixed cost and
slope).  Both ends of the sessions run in this process, so the processor time is that
of both ends together.  Run it on an idle machine: PYTHONPATH=. python
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
CONNECT_WINDOW_S = 5.0
RESTARTS = 5
DOWN_S = 2.0
TOKEN = "slope"
MICRO = 1e6


def records(count: int, seq: int, rng: random.Random) -> list[UpstreamRecord]:
    """Return records of about the size of those that sidecars announce."""
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
    """Format the straight line through the points as fixed cost and slope."""
    slope, intercept = statistics.linear_regression(sizes, costs)
    return f"fixed {intercept:.2f}, slope {slope:.3f}"


def report(title: str, sizes: tuple[int, ...], costs: list[float]) -> None:
    """Print the points and the straight line through them."""
    points = ", ".join(f"{size}: {cost:.1f}" for size, cost in zip(sizes, costs))
    print(f"{title}\n  {points}\n  {line(sizes, costs)}", flush=True)


def timed(work: Callable[[], object]) -> float:
    """Return the processor time of ``work`` in microseconds."""
    before = time.process_time()
    work()
    return (time.process_time() - before) * MICRO


class ServerAndClients:
    """A mesh server and clients that each keep a session to it."""

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
        """Open all sessions and wait until they are connected."""
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
        """Close all sessions and both ends."""
        for client in self.clients:
            await client.close()
        self.mesh_server.close()
        for node in [self.server, *self.nodes]:
            await node.close()
        await self.rpc.close()


async def renewal_cost(count: int) -> float:
    """Return the processor time of ``count`` renewals over one session in µs."""
    mesh = ServerAndClients(1)
    await mesh.start()
    loop = asyncio.get_running_loop()
    base = records(count, 1, mesh.rng)
    source, target = mesh.nodes[0].directory, mesh.server.directory
    costs = []
    for seq in range(1, ROUNDS + 2):
        before = time.process_time()
        for record in base:
            source.offer(replace(record, seq=seq), loop.time())
        while target.version < count * seq:
            await asyncio.sleep(0.01)
        costs.append((time.process_time() - before) * MICRO)
    await mesh.close()
    return statistics.median(costs[1:])


async def idle_cost(count: int) -> float:
    """Return the processor time of ``count`` idle sessions in µs/s."""
    mesh = ServerAndClients(count)
    await mesh.start()
    await asyncio.sleep(1)
    before = time.process_time()
    await asyncio.sleep(IDLE_S)
    cost = (time.process_time() - before) * MICRO / IDLE_S
    await mesh.close()
    return cost


async def connect_cost(count: int) -> float:
    """Return the processor time of ``count`` clients of a closed port in µs/s."""
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
        await asyncio.sleep(CONNECT_WINDOW_S)
        cost = (time.process_time() - before) * MICRO / CONNECT_WINDOW_S
        for client in clients:
            await client.close()
        await node.close()
    return cost


async def reconnect_ms(count: int) -> float:
    """Return the longest time from a restart to the last open session in ms."""
    mesh = ServerAndClients(count)
    await mesh.start()
    address = f"127.0.0.1:{mesh.rpc.port}"
    loop = asyncio.get_running_loop()
    longest = 0.0
    for _ in range(RESTARTS):
        mesh.mesh_server.close()
        await mesh.rpc.close()
        await asyncio.sleep(DOWN_S)
        mesh.mesh_server = MeshServer(mesh.server)
        mesh.rpc = RpcServer(address, TOKEN)
        mesh.mesh_server.register(mesh.rpc)
        started = loop.time()
        await mesh.rpc.start()
        while len(mesh.server.peers()) < count:
            await asyncio.sleep(0.005)
        longest = max(longest, loop.time() - started)
    await mesh.close()
    return longest * 1000


def offer_cost(count: int) -> float:
    """Return the processor time of adding ``count`` renewals to a directory in µs."""
    directory = Directory()
    base = records(count, 1, random.Random(1))
    costs = []
    for seq in range(1, ROUNDS + 2):
        renewed = [replace(record, seq=seq) for record in base]
        costs.append(
            timed(lambda: [directory.offer(record, 0.0) for record in renewed])
        )
    return statistics.median(costs[1:])


def ready_cost(count: int) -> float:
    """Return the processor time of 10,000 reads of the ready upstreams in µs."""
    directory = Directory()
    for record in records(count, 1, random.Random(1)):
        directory.offer(record, 0.0)
    return timed(lambda: [directory.ready("completions", 1.0) for _ in range(10_000)])


def memory_cost(count: int) -> float:
    """Return the memory of a directory with ``count`` records in bytes."""
    tracemalloc.start()
    directory = Directory()
    for record in records(count, 1, random.Random(1)):
        directory.offer(record, 0.0)
    directory.ready("completions", 1.0)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return size


def record_bytes(count: int) -> float:
    """Return the size of a message with ``count`` records in bytes."""
    batch = tuple(records(count, 1000, random.Random(1)))
    return len(encode(Announce(batch, sent_at=12345.678, echo_at=23456.789)))


def config_bytes(count: int) -> float:
    """Return the size of a configuration of ``count`` workspaces in bytes."""
    keys = ("a" * 64, "b" * 64)
    workspaces = {
        f"workspace-{n}": Workspace(f"workspace-{n}", keys) for n in range(count)
    }
    return len(encode(ConfigOffer(Config(revision=1, workspaces=workspaces))))


async def main() -> None:
    """Measure all costs and print their lines."""
    logger.remove()
    heartbeat = encode(RevisionAck("engine-0001", 1600, 12345.678, 23456.789))
    print(f"heartbeat: {len(heartbeat)} bytes")
    report("announcement, bytes by records", SIZES, [record_bytes(n) for n in SIZES])
    report(
        "configuration, bytes by workspaces",
        WORKSPACES,
        [*map(config_bytes, WORKSPACES)],
    )
    report("directory, bytes of memory by records", SIZES, [*map(memory_cost, SIZES)])
    report("renewals added, µs by records", SIZES, [*map(offer_cost, SIZES)])
    report("10,000 reads of ready, µs by records", SIZES, [*map(ready_cost, SIZES)])
    costs = [await renewal_cost(n) for n in SIZES]
    report("renewals over a session, both ends, µs by records", SIZES, costs)
    costs = [await idle_cost(n) for n in SESSIONS]
    report("idle sessions, both ends, µs a second by sessions", SESSIONS, costs)
    costs = [await connect_cost(n) for n in SESSIONS]
    report("connect attempts to a closed port, µs a second by clients", SESSIONS, costs)
    times = [await reconnect_ms(n) for n in SESSIONS]
    report(
        "longest time from a restart to the last session, ms by sessions",
        SESSIONS,
        times,
    )


if __name__ == "__main__":
    asyncio.run(main())
