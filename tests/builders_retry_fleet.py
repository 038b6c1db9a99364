"""Simulates the retries of all gateways for one pool, without a network.

Time advances in steps.  Gateways use the real :class:`RetryBudgets`; they are killed,
added, and see more or fewer of the others.  All requests and retries are recorded.
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

POOL = "p"
WINDOW_S = GatewayCfg().retry_window_s

Moment = Callable[[float], float]


@dataclass
class Node:
    """One gateway; ``budgets`` is None while its process is down."""

    number: int
    budgets: RetryBudgets | None = None
    up_at: float = -math.inf


@dataclass
class RetryFleet:
    """Gateways and the requests of one pool.

    ``failing`` returns the fraction of attempts that fail at a time, ``weight`` the
    share of the callers at a gateway, ``seen`` how many gateways a gateway sees.  All
    gateways have run for long when the time is 0.
    """

    size: int = 8
    seed: int = 0
    per_s: float = 90.0
    ratio: float = 0.2
    slack: float = 64.0
    failing: Moment = lambda now: 0.0
    weight: Callable[[int, float], float] = lambda number, now: 1.0
    seen: Callable[[int, float], int] | None = None
    now: float = 0.0
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)
    asked: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self._cfg = GatewayCfg(retry_ratio=self.ratio, retry_slack=self.slack)
        self.nodes: list[Node] = []
        for _ in range(self.size):
            self._start(self._new_node(), -math.inf)

    def kill(self, numbers: Sequence[int], down_s: float = DOWN_S) -> None:
        """Kill gateways; they start again after ``down_s``."""
        for number in numbers:
            node = self.nodes[number]
            node.budgets, node.up_at = None, self.now + down_s

    def add(self, count: int) -> None:
        """Start further gateways."""
        for _ in range(count):
            self._start(self._new_node())

    def run(self, until: float) -> None:
        """Let requests arrive until the given time."""
        while self.now < until:
            self.now += STEP_S
            for node in self.nodes:
                if node.budgets is None and self.now >= node.up_at:
                    self._start(node)
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

    def _up(self) -> list[Node]:
        return [node for node in self.nodes if node.budgets is not None]

    def _new_node(self) -> Node:
        self.nodes.append(Node(len(self.nodes)))
        return self.nodes[-1]

    def _start(self, node: Node, at: float | None = None) -> None:
        node.budgets = RetryBudgets(self._cfg, lambda: self._seen(node))
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
