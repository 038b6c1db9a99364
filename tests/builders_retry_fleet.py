"""Simulates the retries of all gateways for one pool, without a network.

Time advances in steps.  Gateways use the real :class:`RetryBudgets`; they are killed,
restarted as planned, added, and see more or fewer of the others.  Their reports reach
the others of their zone; if there are several zones, a relay of each exchanges sums.
All requests and retries are recorded.
"""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.retry_budgets import RetryBudgets

STEP_S = 0.02
DOWN_S = 0.5
MAX_RETRIES = 2
"""Retries of one request at most, if each attempt fails."""

SUMS_S = 0.06
"""Interval between two sums of a relay."""

DRAIN_S = 0.1
"""Time between the last request of a gateway that closes and its end."""

POOL = "p"
WINDOW_S = GatewayCfg().retry_window_s

Moment = Callable[[float], float]


@dataclass
class Node:
    """One gateway; ``budgets`` is None while its process is down."""

    number: int
    zone: str = "z1"
    budgets: RetryBudgets | None = None
    up_at: float = -math.inf
    incarnation: int = 0
    closes_at: float = math.inf
    down_s: float = DOWN_S

    @property
    def name(self) -> str:
        return f"g{self.number}"


@dataclass
class RetryFleet:
    """Gateways and the requests of one pool.

    ``failing`` returns the fraction of attempts that fail at a time, ``weight`` the
    share of the callers at a gateway, ``seen`` how many gateways a gateway sees.
    ``linked`` returns whether the reports of one gateway reach another one, ``lost`` is
    the fraction of reports that are lost.  The gateways are in one of ``zones`` in
    turn; the settings name ``expected`` of them.  All have run for long at time 0.
    """

    size: int = 8
    seed: int = 0
    per_s: float = 90.0
    ratio: float = 0.2
    slack: float = 64.0
    failing: Moment = lambda now: 0.0
    weight: Callable[[int, float], float] = lambda number, now: 1.0
    seen: Callable[[int, float], int] | None = None
    linked: Callable[[int, int, float], bool] = lambda sender, receiver, now: True
    lost: float = 0.0
    zones: int = 1
    expected: int = 8
    now: float = 0.0
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    asked: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        # Losses are drawn apart, so that they don't change the requests.
        self._losses = random.Random(self.seed + 1)
        self._sums_at = 0.0
        self._cfg = GatewayCfg(
            retry_ratio=self.ratio, retry_slack=self.slack, gateways=self.expected
        )
        self.nodes: list[Node] = []
        for _ in range(self.size):
            self._start(self._new_node(), -math.inf)

    def kill(self, numbers: Sequence[int], down_s: float = DOWN_S) -> None:
        """Kill gateways; they start again after ``down_s``."""
        for number in numbers:
            node = self.nodes[number]
            node.budgets, node.up_at = None, self.now + down_s
            node.closes_at = math.inf

    def restart(self, numbers: Sequence[int], down_s: float = DOWN_S) -> None:
        """Restart gateways as planned: they take no more requests, report, and end."""
        for number in numbers:
            node = self.nodes[number]
            if node.budgets is not None and node.closes_at == math.inf:
                node.closes_at, node.down_s = self.now + DRAIN_S, down_s
                node.budgets.close()

    def add(self, count: int) -> None:
        """Start further gateways."""
        for _ in range(count):
            self._start(self._new_node())

    def run(self, until: float) -> None:
        """Let requests arrive until the given time."""
        while self.now < until:
            self.now += STEP_S
            for node in self.nodes:
                if self.now >= node.closes_at:
                    self.kill([node.number], node.down_s)
                if node.budgets is None and self.now >= node.up_at:
                    self._start(node)
            self._gossip()
            for _ in range(self._arrivals()):
                self._request()

    def lose_streams(self, count: int) -> int:
        """Break streams of an engine that ended; return how many go on elsewhere."""
        up = self._up()
        weights = [self.weight(node.number, self.now) for node in up]
        return sum(self._retry(node) for node in self.rng.choices(up, weights, k=count))

    def excess(self) -> float:
        """Return the largest ratio of retries to what is allowed, over all windows."""
        worst = 0.0
        for end in self.retries:
            spent = _within(self.retries, end - WINDOW_S, end)
            fresh = max(
                _within(self.requests, end - back - WINDOW_S, end - back)
                for back in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            worst = max(worst, spent / (self.ratio * fresh + self.slack))
        return worst

    def use(self, since: float, windows: int) -> float:
        """Return the retries of whole windows as a fraction of what is allowed."""
        until = since + windows * WINDOW_S
        fresh = _within(self.requests, since, until)
        allowed = self.ratio * fresh + self.slack * windows
        return _within(self.retries, since, until) / allowed

    def _request(self) -> None:
        up = self._up()
        self.requests.append(self.now)
        if not up:
            return
        weights = [self.weight(node.number, self.now) for node in up]
        [node] = self.rng.choices(up, weights)
        assert node.budgets is not None
        node.budgets.of(POOL).deposit(self.now)
        for _ in range(MAX_RETRIES):
            if self.rng.random() >= self.failing(self.now) or not self._retry(node):
                return

    def _retry(self, node: Node) -> bool:
        assert node.budgets is not None
        self.asked += 1
        granted = node.budgets.of(POOL).spend(self.now)
        if granted:
            self.retries.append(self.now)
        return granted

    def _gossip(self) -> None:
        """Deliver the reports that are due."""
        up = [node for node in self.nodes if node.budgets is not None]
        for node in up:
            assert node.budgets is not None
            data = node.budgets.ledger.own(self.now)
            if data:
                for other in up:
                    if other is not node and other.zone == node.zone:
                        self._deliver(node, other, node.name, data)
        if self.zones > 1 and self.now >= self._sums_at:
            self._sums_at = self.now + SUMS_S
            self._exchange_sums(up)

    def _exchange_sums(self, up: Sequence[Node]) -> None:
        """Let the first gateway of each zone report sums, as its relay."""
        relays = {node.zone: node for node in reversed(up)}
        for zone, relay in relays.items():
            assert relay.budgets is not None
            data = relay.budgets.ledger.zone(self.now)
            for other in relays.values():
                if data and other is not relay:
                    self._deliver(relay, other, zone, data, is_area=True)
        for zone, relay in relays.items():
            assert relay.budgets is not None
            data = relay.budgets.ledger.elsewhere(self.now)
            if data:
                for other in up:
                    if other is not relay and other.zone == zone:
                        self._deliver(relay, other, "", data, is_area=True)

    def _deliver(
        self, node: Node, other: Node, name: str, data: bytes, is_area: bool = False
    ) -> None:
        assert other.budgets is not None
        if not self.linked(node.number, other.number, self.now):
            return
        if self.lost and self._losses.random() < self.lost:
            return
        ledger = other.budgets.ledger
        (ledger.merge_area if is_area else ledger.merge_own)(name, data, self.now)

    def _up(self) -> list[Node]:
        """Return the gateways that take requests."""
        return [
            node
            for node in self.nodes
            if node.budgets is not None and node.closes_at == math.inf
        ]

    def _new_node(self) -> Node:
        number = len(self.nodes)
        self.nodes.append(Node(number, f"z{1 + number % self.zones}"))
        return self.nodes[-1]

    def _start(self, node: Node, at: float | None = None) -> None:
        node.incarnation += 1
        node.budgets = RetryBudgets(
            self._cfg, lambda: self._seen(node), f"{node.number}-{node.incarnation}"
        )
        node.budgets.start(self.now if at is None else at)

    def _seen(self, node: Node) -> int:
        if self.seen is not None:
            return self.seen(node.number, self.now)
        return max(self._cfg.gateways, len(self.nodes))

    def _arrivals(self) -> int:
        """Draw the number of requests of one step from a Poisson distribution."""
        left, count = math.exp(-self.per_s * STEP_S), 0
        product = self.rng.random()
        while product > left:
            product *= self.rng.random()
            count += 1
        return count


def _within(times: Sequence[float], after: float, until: float) -> int:
    return bisect.bisect_right(times, until) - bisect.bisect_right(times, after)
