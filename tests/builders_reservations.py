"""Gateways that reserve sends to a few upstreams over an in-memory network.

Runs on a paused clock.  Each gateway knows its own work and what the others reported
some time ago; what really runs is recorded for the checks.
"""

from __future__ import annotations

import asyncio
import bisect
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gooseberrydale.connection.codec import decode
from gooseberrydale.process.gateway.reservation_client import ReservationClient
from gooseberrydale.request.capacity_ports import Need
from gooseberrydale.version.capacity.room import Amount, Room
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from tests.builders_quotas import Net

POOL = "llm"
SLOTS = 64
RUN_S = (0.2, 1.0)
REPORT_DELAY_S = (0.03, 0.12)
RETENTION_S = 2.5
NEED = Need(rank=0, kv_tokens=100, prefill_tokens=10)


class Counts:
    """The number of running requests of one gateway at one upstream over time."""

    def __init__(self) -> None:
        self._times = [-1.0]
        self._values = [0]

    def add(self, at: float, change: int) -> None:
        self._times.append(at)
        self._values.append(self._values[-1] + change)

    def at(self, time: float) -> int:
        return self._values[bisect.bisect_right(self._times, time) - 1]

    @property
    def now(self) -> int:
        return self._values[-1]


@dataclass
class Node:
    """One gateway.  ``last_report_at`` is set while it sends no reports."""

    fleet: ReservingFleet
    peer: GatewayPeer
    view: Fleet
    alive: bool = True
    frozen: bool = False
    last_report_at: float | None = None
    held: list[bytes] = field(default_factory=list)
    handlers: dict[type[Any], Callable[[Any], None]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        name = self.peer.name
        self.delay_s = random.Random(name).uniform(*REPORT_DELAY_S)
        self.client = ReservationClient(
            name, self, lambda: self.view, self, lambda: self.fleet.size
        )

    def on(self, kind: type[Any], handler: Callable[[Any], None]) -> None:
        self.handlers[kind] = handler

    def send(self, msg: object, peers: Any) -> None:
        if self.alive and not self.frozen:
            self.fleet.net.send(self.peer.name, msg, peers)

    def receive(self, data: bytes) -> None:
        msg = decode(data)
        self.handlers[type(msg)](msg)

    def thaw(self) -> None:
        self.frozen = False
        held, self.held = self.held, []
        for data in held:
            self.receive(data)

    # What this gateway sees.

    def reserves(self, pool: str) -> bool:
        return True

    def room(self, pool: str, upstream: str, rank: int, now: float) -> Room:
        own = self.fleet.running[upstream][self.peer.name].now
        others = sum(
            self._reported(node, upstream, now)
            for node in self.fleet.nodes
            if node is not self
        )
        limit = Amount(SLOTS, SLOTS * NEED.kv_tokens, SLOTS * NEED.kv_tokens)
        return Room(limit, amount(own + others), amount(own))

    def heard_fraction(self, now: float) -> float:
        heard = sum(self._sent_at(node, now) is not None for node in self.fleet.nodes)
        return heard / self.fleet.size

    def rooms(
        self, pool: str, rank: int, most: int, now: float
    ) -> tuple[list[Room], float]:
        names = self.fleet.upstreams
        return [self.room(pool, name, rank, now) for name in names], 1.0

    def _reported(self, node: Node, upstream: str, now: float) -> int:
        sent_at = self._sent_at(node, now)
        if sent_at is None:
            return 0
        return self.fleet.running[upstream][node.peer.name].at(sent_at)

    def _sent_at(self, node: Node, now: float) -> float | None:
        """Return when the latest report of ``node`` that is used here was sent."""
        sent_at = now - (0.0 if node is self else node.delay_s)
        sides = self.fleet.net.side_of
        if sides.get(node.peer.name, 0) != sides.get(self.peer.name, 0):
            sent_at = min(sent_at, self.fleet.cut_at)
        if node.last_report_at is not None:
            sent_at = min(sent_at, node.last_report_at)
        return None if sent_at < now - RETENTION_S else sent_at


@dataclass
class ReservingFleet:
    """A fleet, its upstreams and what runs there; ``reserves`` may be switched off."""

    size: int
    upstreams: tuple[str, ...] = tuple(f"u{n}" for n in range(8))
    reserves: bool = True
    seed: int = 5
    cut_at: float = 0.0
    asked: int = 0
    served: int = 0
    most: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.net = Net(self.rng)
        self.running: dict[str, dict[str, Counts]] = {
            name: defaultdict(Counts) for name in self.upstreams
        }
        peers = [
            GatewayPeer(f"g{i}", f"h{i}:1", f"z{i % 3}", 10 if i % 3 else 100)
            for i in range(self.size)
        ]
        self.nodes = [
            Node(self, peer, Fleet(peer, tuple(p for p in peers if p is not peer)))
            for peer in peers
        ]
        self.net.nodes.update({n.peer.name: n for n in self.nodes})  # type: ignore
        for node in self.nodes:
            node.client.start(-10.0)

    def total(self, upstream: str) -> int:
        return sum(counts.now for counts in self.running[upstream].values())

    async def offer(self, per_s: float, seconds: float) -> None:
        """Let requests arrive at random gateways."""
        until = now() + seconds
        async with asyncio.TaskGroup() as group:
            while now() < until:
                await asyncio.sleep(self.rng.expovariate(per_s))
                group.create_task(self._request(self.rng.choice(self.nodes)))

    async def _request(self, node: Node) -> None:
        if not node.alive or node.frozen:
            return
        self.asked += 1
        shortlist = self.rng.sample(self.upstreams, 3)
        rooms = {u: node.room(POOL, u, 0, now()) for u in shortlist}
        need = amount(1)
        upstream = max(rooms, key=lambda u: rooms[u].count(need))
        free = rooms[upstream].count(need)
        if free < 1.0:
            return
        if self.reserves and not await node.client.reserve(POOL, upstream, NEED, free):
            return
        await self._run(node, upstream)

    async def _run(self, node: Node, upstream: str) -> None:
        counts = self.running[upstream][node.peer.name]
        counts.add(now(), 1)
        self.served += 1
        self.most[upstream] = max(self.most[upstream], self.total(upstream))
        await asyncio.sleep(self.rng.uniform(*RUN_S))
        counts.add(now(), -1)

    def kill(self, node: Node) -> None:
        node.alive, node.last_report_at = False, now()

    def freeze(self, node: Node) -> None:
        node.frozen, node.last_report_at = True, now()

    def thaw(self, node: Node) -> None:
        node.last_report_at = None
        node.thaw()

    def cut(self, nodes: list[Node]) -> None:
        self.cut_at = now()
        self.net.side_of = {node.peer.name: 1 for node in nodes}

    def owner(self, upstream: str) -> Node:
        """Return the gateway that owns an upstream."""
        owners = self.nodes[0].client.owners
        owners.update(self.nodes[0].view)
        name = owners.of(upstream)[0].name
        return next(node for node in self.nodes if node.peer.name == name)


def amount(requests: float) -> Amount:
    tokens = requests * NEED.kv_tokens
    return Amount(requests, tokens, requests * NEED.prefill_tokens)


def now() -> float:
    return asyncio.get_running_loop().time()
