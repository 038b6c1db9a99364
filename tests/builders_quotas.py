"""Gateways that share quotas over an in-memory network, and callers that send requests.

Runs on a paused clock.  Datagrams are delayed, lost and blocked by partitions; gateways
freeze, are killed and restart.  Every grant is recorded, which allows the sum of any
time window to be checked.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.process.quota_client import OverQuota, QuotaClient, QuotaDemand
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.quotas.quota import Quota, QuotaUnit

WINDOW_S = 8.0
OVERAGE = 0.1
SLACK = 72_000
DATAGRAM_HEAD_BYTES = 28
DELAY_S = (0.0003, 0.003)


def tokens(per_s: float, burst: float | None = None) -> Quota:
    """Return a quota in tokens; the default burst is that of one second."""
    return Quota(per_s, per_s if burst is None else burst, QuotaUnit.TOKENS, 200)


@dataclass
class Net:
    """Carries datagrams between gateways by name.

    Gateways with different values in ``side_of`` are cut off from each other.
    """

    rng: random.Random
    loss: float = 0.0
    side_of: dict[str, int] = field(default_factory=dict)
    nodes: dict[str, Node] = field(default_factory=dict)
    sent: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    got_bytes: Counter[str] = field(default_factory=Counter)

    def send(self, source: str, msg: object, peers: Iterable[GatewayPeer]) -> None:
        data = encode(msg)
        for peer in peers:
            self.sent[source] += 1
            self.sent_bytes[source] += len(data) + DATAGRAM_HEAD_BYTES
            cut = self.side_of.get(source, 0) != self.side_of.get(peer.name, 0)
            if cut or self.rng.random() < self.loss:
                continue
            delay_s = self.rng.uniform(*DELAY_S)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._deliver, peer.name, data)

    def _deliver(self, name: str, data: bytes) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        self.got_bytes[name] += len(data) + DATAGRAM_HEAD_BYTES
        if node.frozen:
            node.held.append(data)
        elif node.alive:
            node.receive(data)


@dataclass
class Node:
    """One gateway; each start of it is a new incarnation without state.

    While ``frozen``, received datagrams wait in ``held``.
    """

    net: Net
    peer: GatewayPeer
    fleet: Callable[[], Fleet]
    quotas: Callable[[], Mapping[str, Quota]]
    alive: bool = False
    frozen: bool = False
    starts: int = 0
    held: list[bytes] = field(default_factory=list)
    handlers: dict[type[Any], Callable[[Any], None]] = field(default_factory=dict)
    client: QuotaClient | None = None

    def on(self, kind: type[Any], handler: Callable[[Any], None]) -> None:
        self.handlers[kind] = handler

    def send(self, msg: object, peers: Iterable[GatewayPeer]) -> None:
        if self.alive and not self.frozen:
            self.net.send(self.peer.name, msg, peers)

    def receive(self, data: bytes) -> None:
        msg = decode(data)
        self.handlers[type(msg)](msg)

    async def start(self) -> None:
        self.starts += 1
        self.alive = True
        self.client = QuotaClient(
            self.peer.name,
            str(self.starts),
            self,
            self.fleet,
            self.quotas,
            random.Random(f"{self.peer.name}-{self.starts}"),
        )
        await self.client.start()

    async def kill(self) -> None:
        self.alive = False
        self.held.clear()
        if self.client is not None:
            await self.client.close()

    def thaw(self) -> None:
        self.frozen = False
        held, self.held = self.held, []
        for data in held:
            self.receive(data)


@dataclass(frozen=True)
class Grant:
    """A request that was granted."""

    at: float
    cost: int
    gateway: str


@dataclass
class QuotaFleet:
    """A fleet of gateways, the quotas in force, and all grants and refusals.

    ``wide`` is the number of gateways with a wide link, which may own counts;
    ``late`` has the time that each decision took.
    """

    seed: int
    size: int = 29
    zones: int = 4
    wide: int = 8
    quotas: dict[str, Quota] = field(default_factory=dict)
    grants: dict[str, list[Grant]] = field(default_factory=lambda: defaultdict(list))
    refusals: dict[str, list[tuple[float, int, OverQuota]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    late: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.net = Net(self.rng)
        peers = [
            GatewayPeer(
                f"g{i}", f"h{i}:1", f"z{i % self.zones}", 100 if i < self.wide else 10
            )
            for i in range(self.size)
        ]
        for peer in peers:
            others = tuple(other for other in peers if other is not peer)
            fleet = Fleet(peer, others)
            node = Node(self.net, peer, _constant(fleet), lambda: self.quotas)
            self.net.nodes[peer.name] = node

    @property
    def nodes(self) -> list[Node]:
        return list(self.net.nodes.values())

    async def start(self) -> None:
        for node in self.nodes:
            await node.start()

    async def close(self) -> None:
        for node in self.nodes:
            if node.alive:
                await node.kill()

    async def ask(self, node: Node, want: QuotaDemand) -> OverQuota | None:
        """Ask for one request at one gateway and record the outcome."""
        began = now()
        if not node.alive or node.frozen or node.client is None:
            return None
        refused = await node.client.admit(want)
        if refused is None:
            self.grants[want.workspace].append(Grant(now(), want.cost, node.peer.name))
        else:
            self.refusals[want.workspace].append((now(), want.cost, refused))
        self.late.append(now() - began)
        return refused

    def granted(self, workspace: str, since: float = 0.0, until: float = 1e9) -> int:
        """Return the sum of the grants in a time span."""
        return sum(g.cost for g in self.grants[workspace] if since <= g.at < until)

    def most_in_window(
        self, workspace: str, since: float = 0.0, until: float = 1e9
    ) -> int:
        """Return the highest sum of grants in any window within a time span."""
        grants = sorted(
            (g.at, g.cost) for g in self.grants[workspace] if since <= g.at < until
        )
        most = total = first = 0
        for at, cost in grants:
            total += cost
            while grants[first][0] <= at - WINDOW_S:
                total -= grants[first][1]
                first += 1
            most = max(most, total)
        return most


def _constant(fleet: Fleet) -> Callable[[], Fleet]:
    return lambda: fleet


def bound(quota: Quota, slack: float = SLACK) -> float:
    """Return the maximum sum of grants in any window."""
    return (quota.per_s * WINDOW_S + quota.burst) * (1 + OVERAGE) + slack


def due(arrivals: list[tuple[float, int]], quota: Quota) -> int:
    """Return what a single bucket grants that sees every arrival immediately."""
    left, last, given = quota.burst, 0.0, 0
    for at, cost in arrivals:
        left = min(quota.burst, left + (at - last) * quota.per_s)
        last = at
        if left >= cost:
            left -= cost
            given += cost
    return given


@dataclass
class Callers:
    """Callers of one workspace: Poisson arrivals, and retries of refused requests."""

    fleet: QuotaFleet
    workspace: str
    per_s: float
    sizes: Callable[[random.Random], int]
    nodes: Callable[[random.Random], Node]
    retries: bool = True
    patience_s: float = 2.0
    arrivals: list[tuple[float, int]] = field(default_factory=list)
    retry_granted: list[bool] = field(default_factory=list)

    async def run(self, until: float) -> None:
        rng = random.Random(f"{self.fleet.seed}-{self.workspace}")
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(rng.expovariate(self.per_s))
                if now() >= until:
                    return
                cost = self.sizes(rng)
                self.arrivals.append((now(), cost))
                group.create_task(self._one(rng, cost))

    async def _one(self, rng: random.Random, cost: int) -> None:
        quota = self.fleet.quotas.get(self.workspace)
        if quota is None:
            return
        name = rng.randbytes(8)
        want = QuotaDemand(
            self.workspace, quota, cost, request=name, wait_limit_s=self.patience_s
        )
        refused = await self.fleet.ask(self.nodes(rng), want)
        if refused is None or not self.retries:
            return
        if refused.retry_after_s > self.patience_s:
            return
        await asyncio.sleep(refused.retry_after_s)
        retry = QuotaDemand(self.workspace, quota, cost, request=name)
        self.retry_granted.append(await self.fleet.ask(self.nodes(rng), retry) is None)


def prompts(rng: random.Random) -> int:
    """Return the cost of a prompt, from about as many large prompts as questions."""
    if rng.random() < 0.55:
        return int(6_300 + rng.lognormvariate(7.5, 0.8))
    return int(780 + rng.lognormvariate(5.5, 0.8))


def now() -> float:
    return asyncio.get_running_loop().time()
