"""A model of a plain pool and of gateways whose reports arrive late."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from gooseberrydale.request.hold_policy import Step
from gooseberrydale.request.placement import Candidate
from gooseberrydale.request.service_queue import (
    RUN_MARGIN,
    ServiceRequest,
    decide,
)
from gooseberrydale.version.speeds.speed import Speed
from gooseberrydale.version.upstream_load import Load

SLOTS = 6
RUN_S = 0.09
OBJECTIVE_S = 0.42
DEADLINE_S = 3.1
WAKE_S = 0.02
BURST_S = (1.0, 3.0)


def service(
    name: str = "s1", requests: float = 0.0, run_s: float = RUN_S, slowness: float = 1.0
) -> Candidate:
    """Return an upstream with six slots whose run time is learned."""
    speed = Speed(service_run_s=run_s, slowness=slowness)
    return Candidate(name, Load(requests, 0.0, 0.0), slots=SLOTS, speed=speed)


def services(*requests: float) -> list[Candidate]:
    """Return upstreams of equal speed with these numbers of requests."""
    return [service(f"s{n}", count) for n, count in enumerate(requests)]


def request(waited_s: float = 0.0, **fields: float) -> ServiceRequest:
    """Return a request whose caller came ``waited_s`` ago."""
    defaults = {"objective_s": OBJECTIVE_S, "left_s": DEADLINE_S - waited_s}
    return ServiceRequest(**{**defaults, "waited_s": waited_s, **fields})


@dataclass
class Outcome:
    """Counts of requests; ``queued`` those sent to a full upstream beside a free slot.

    ``refused_after_s`` holds how long each refused request had waited.
    """

    in_time: int = 0
    late: int = 0
    queued: int = 0
    refused_after_s: list[float] = field(default_factory=list)

    @property
    def total(self) -> int:
        """All requests."""
        return self.in_time + self.late + len(self.refused_after_s)


@dataclass(frozen=True)
class _Call:
    arrived: float
    gateway: int


class ServiceFleet:
    """Gateways that send to upstreams, whose work they report ``report_s`` late.

    Requests come at ``per_s``, and at ``burst`` times that during ``BURST_S``.
    """

    def __init__(
        self,
        per_s: float,
        burst: float = 1.0,
        report_s: float = 0.02,
        gateways: int = 27,
        run_s: tuple[float, ...] = (RUN_S, RUN_S, RUN_S),
        seed: int = 1,
    ) -> None:
        self._rng = random.Random(seed)
        self._report_s = report_s
        self._run_s = run_s
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        # Requests at each upstream, as each gateway sees them.
        self._seen = [[0] * len(run_s) for _ in range(gateways)]
        self._running = [0] * len(run_s)
        self._queues: list[deque[_Call]] = [deque() for _ in run_s]
        self._waiting: list[_Call] = []
        self._outcome = Outcome()
        at = 0.0
        while at < 5.0:
            in_burst = BURST_S[0] <= at < BURST_S[1]
            at += self._rng.expovariate(per_s * (burst if in_burst else 1.0))
            call = _Call(at, self._rng.randrange(gateways))
            self._at(at, partial(self._arrive, call))

    def run(self) -> Outcome:
        """Serve all requests."""
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            act()
        return self._outcome

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act))

    def _arrive(self, call: _Call) -> None:
        if not self._settle(call):
            self._waiting.append(call)
            if len(self._waiting) == 1:
                self._at(self._now + WAKE_S, self._wake)

    def _wake(self) -> None:
        """Decide again about all waiting requests, in their order."""
        for call in sorted(self._waiting, key=self._order):
            if self._settle(call):
                self._waiting.remove(call)
        if self._waiting:
            self._at(self._now + WAKE_S, self._wake)

    def _order(self, call: _Call) -> tuple[bool, float]:
        """Requests that are late anyway come last."""
        late = self._now + RUN_MARGIN * min(self._run_s) > call.arrived + OBJECTIVE_S
        return late, call.arrived

    def _settle(self, call: _Call) -> bool:
        """Send or refuse a request; return False if it has to wait."""
        waited_s = self._now - call.arrived
        ahead = sum(self._order(other) < self._order(call) for other in self._waiting)
        view = [
            service(str(n), requests, self._run_s[n])
            for n, requests in enumerate(self._seen[call.gateway])
        ]
        decision = decide(view, request(waited_s, ahead=ahead), self._rng)
        if decision.step is Step.REFUSE:
            self._outcome.refused_after_s.append(waited_s)
        elif decision.step is Step.SEND:
            assert decision.chosen is not None
            self._send(call, int(decision.chosen.name))
        return decision.step is not Step.WAIT

    def _send(self, call: _Call, at: int) -> None:
        self._report(call.gateway, at, 1)
        if self._running[at] < SLOTS:
            self._begin(call, at)
            return
        self._outcome.queued += min(self._running) < SLOTS
        self._queues[at].append(call)

    def _begin(self, call: _Call, at: int) -> None:
        self._running[at] += 1
        self._at(self._now + self._run_s[at], lambda: self._end(call, at))

    def _end(self, call: _Call, at: int) -> None:
        self._running[at] -= 1
        self._report(call.gateway, at, -1)
        if self._now - call.arrived <= OBJECTIVE_S:
            self._outcome.in_time += 1
        else:
            self._outcome.late += 1
        if self._queues[at]:
            self._begin(self._queues[at].popleft(), at)

    def _report(self, gateway: int, at: int, change: int) -> None:
        """Count a change here now, and at the other gateways later."""
        self._seen[gateway][at] += change

        def count_elsewhere() -> None:
            for other, seen in enumerate(self._seen):
                if other != gateway:
                    seen[at] += change

        if self._report_s:
            self._at(self._now + self._report_s, count_elsewhere)
        else:
            count_elsewhere()
