"""Gateways with retry plans, callers that wait and retry, and a pool that drains."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from gooseberrydale.request.capacity_ports import Ahead, Hold, RetryQuery
from gooseberrydale.request.retry_plan.drain import FleetDrain
from gooseberrydale.request.retry_plan.planner import RetryPlans

POOL = "llm"
CAPACITY_PER_S = 100
TICK_S = 1.0 / CAPACITY_PER_S
EXCHANGE_TICKS = 5
OWN_S = 0.05


@dataclass(frozen=True)
class Kind:
    """The objective and the deadline of callers of one rank."""

    rank: int
    objective_s: float
    deadline_s: float


URGENT = Kind(0, 0.435, 4.35)
MIDDLE = Kind(1, 0.847, 5.3)
OTHER = Kind(2, 1.215, 12.2)


def query(kind: Kind = URGENT, **fields: float) -> RetryQuery:
    """Return the query of a caller that just arrived for the first time."""
    waited_s = fields.pop("waited_s", 0.0)
    prior_s = fields.pop("prior_wait_s", 0.0)
    left_s = fields.pop("deadline_s", kind.deadline_s - waited_s - prior_s)
    own_s = fields.pop("own_s", OWN_S)
    return RetryQuery(
        POOL, kind.rank, False, waited_s, prior_s, own_s, kind.objective_s, left_s
    )


@dataclass(frozen=True)
class FixedBacklog:
    """A backlog with the same work ahead of all requests of a rank."""

    requests: dict[int, float] = field(default_factory=dict)

    def ahead_of(
        self, pool: str, rank: int, over_share: bool, waited_s: float, now: float
    ) -> Ahead:
        ahead = (n for other, n in self.requests.items() if other <= rank)
        return Ahead(sum(ahead))


def drain_of(rates: dict[int, int]) -> FleetDrain:
    """Return a drain as if requests had begun in the second before 10.0."""
    drain = FleetDrain()
    for rank, per_s in rates.items():
        for n in range(per_s):
            drain.began(POOL, rank, 9.001 + 0.998 * n / per_s)
    return drain


@dataclass
class Caller:
    """A caller; ``is_hasty`` ones retry at once instead of when they were told."""

    kind: Kind
    first_at: float
    is_hasty: bool = False
    at: float = 0.0
    attempts: int = 0
    refused_after: list[float] = field(default_factory=list)
    retried_at: float | None = None
    served_at: float | None = None
    gateway: int = -1

    @property
    def is_in_time(self) -> bool:
        if self.served_at is None:
            return False
        return self.served_at + OWN_S <= self.first_at + self.kind.objective_s

    def is_alive(self, now: float) -> bool:
        return now + OWN_S < self.first_at + self.kind.deadline_s

    def query(self, now: float) -> RetryQuery:
        return query(
            self.kind, waited_s=now - self.at, prior_wait_s=self.at - self.first_at
        )


@dataclass
class Play:
    """A fleet in front of one pool that begins the first waiting request each tick.

    Requests wait in the order of rank and first arrival.  The first gateway ends at
    ``killed_at``; the callers that wait there retry once at another one.
    """

    gateways: int = 3
    hasty_fraction: float = 0.0
    killed_at: float | None = None
    seed: int = 3
    now: float = 0.0
    waiting: list[Caller] = field(default_factory=list)
    callers: list[Caller] = field(default_factory=list)
    due: list[Caller] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.drains = [FleetDrain() for _ in range(self.gateways)]
        self.plans = [RetryPlans(self, drain, self.rng) for drain in self.drains]
        self.alive = list(range(self.gateways))

    def ahead_of(
        self, pool: str, rank: int, over_share: bool, waited_s: float, now: float
    ) -> Ahead:
        place = rank, now - waited_s
        ahead = sum((c.kind.rank, c.first_at) < place for c in self.waiting)
        return Ahead(ahead)

    def run(self, seconds: float, per_s: dict[Kind, float]) -> None:
        until = self.now + seconds
        tick = 0
        while self.now < until:
            tick += 1
            self.now += TICK_S
            self._kill()
            if tick % EXCHANGE_TICKS == 0:
                self._exchange()
                self._decide_again()
            self._arrive(per_s)
            self._serve()

    def _arrive(self, per_s: dict[Kind, float]) -> None:
        for kind, rate in per_s.items():
            for _ in range(int(rate * TICK_S + self.rng.random())):
                hasty = self.rng.random() < self.hasty_fraction
                caller = Caller(kind, self.now, hasty)
                self.callers.append(caller)
                self._attempt(caller)
        for caller in [c for c in self.due if c.at <= self.now]:
            self.due.remove(caller)
            caller.retried_at = self.now
            self._attempt(caller)

    def _attempt(self, caller: Caller) -> None:
        others = [g for g in self.alive if g != caller.gateway]
        caller.gateway, caller.at = self.rng.choice(others), self.now
        caller.attempts += 1
        self._decide(caller)
        if caller.served_at is None and caller not in self.due:
            if len(caller.refused_after) < caller.attempts:
                self.waiting.append(caller)

    def _decide(self, caller: Caller) -> None:
        decision = self.plans[caller.gateway].decide(caller.query(self.now), self.now)
        if isinstance(decision, Hold):
            return
        caller.refused_after.append(self.now - caller.at)
        left_s = caller.first_at + caller.kind.deadline_s - self.now
        if caller.attempts == 1 and decision.after_s <= left_s / 3.0:
            caller.at = self.now + (0.0 if caller.is_hasty else decision.after_s)
            self.due.append(caller)

    def _decide_again(self) -> None:
        for caller in list(self.waiting):
            self._decide(caller)
            if len(caller.refused_after) == caller.attempts:
                self.waiting.remove(caller)

    def _serve(self) -> None:
        self.waiting = [c for c in self.waiting if c.is_alive(self.now)]
        if self.waiting:
            first = min(self.waiting, key=lambda c: (c.kind.rank, c.first_at))
            self.waiting.remove(first)
            first.served_at = self.now
            self.plans[first.gateway].began(POOL, first.kind.rank, self.now)

    def _exchange(self) -> None:
        reports = {g: self.drains[g].own(self.now) for g in self.alive}
        for sender, data in reports.items():
            for g in self.alive:
                if data and g != sender:
                    self.drains[g].merge_own(f"g{sender}", data, self.now)

    def _kill(self) -> None:
        if self.killed_at is None or self.now < self.killed_at or 0 not in self.alive:
            return
        self.alive.remove(0)
        for caller in [c for c in self.waiting if c.gateway == 0]:
            self.waiting.remove(caller)
            if caller.attempts == 1:
                self.due.append(caller)


def served_share(callers: Iterable[Caller]) -> float:
    """Return the share of the callers that were served, in time or late."""
    served = [caller.served_at is not None for caller in callers]
    return sum(served) / max(1, len(served))
