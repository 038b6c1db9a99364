"""A model of unequal gateways whose event loops serve requests in stages."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from gooseberrydale.request.self_limit import (
    LoopLateness,
    OwnUse,
    SelfLimit,
    excess_s,
)

CPU_S = 0.016
"""Processor time of one request: 0.6 of what the thinnest gateway has, at 11
requests a second and 0.29 of a core."""

STAGES = 4
"""How often the event loop handles a request."""

UPSTREAM_S = 0.08
RETRY_S = 0.07
TICK_S = 0.02
REPORT_S = 0.25
BURST_S = (3.0, 8.0)
UNTIL_S = 14.0
LOWEST_RANK = 2


@dataclass
class Call:
    """A request; ``gateway`` serves it, ``refused`` says whether one declined it."""

    arrived: float
    rank: int
    objective_s: float
    gateway: int
    refused: bool = False


@dataclass
class Served:
    """What became of a request, and which gateway answered it."""

    call: Call
    took_s: float

    @property
    def late(self) -> bool:
        """Whether its first event came after its objective."""
        return self.took_s > self.call.objective_s


@dataclass
class _Loop:
    """The event loop of one gateway with ``core`` of a processor."""

    core: float
    ready: deque[tuple[float, Callable[[], None]]] = field(default_factory=deque)
    busy: bool = False
    lateness: LoopLateness = field(default_factory=LoopLateness)
    limit: SelfLimit = field(default_factory=SelfLimit)
    reported_s: float = 0.0
    declined: list[tuple[float, int]] = field(default_factory=list)
    fractions: list[float] = field(default_factory=list)


class GatewayFleet:
    """Gateways that get equal load; each request goes back to another one at most once.

    ``burst`` is the factor of the load during ``BURST_S``; ``limits`` switches the
    rule on.
    """

    def __init__(
        self, cores: list[float], burst: float, *, limits: bool, per_s: float = 11.0
    ) -> None:
        self._rng = random.Random(1)
        self._limits = limits
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now = 0.0
        self.loops = [_Loop(core) for core in cores]
        self.served: list[Served] = []
        for number, loop in enumerate(self.loops):
            self._at(TICK_S, partial(self._tick_due, loop))
            at = 0.0
            while at < UNTIL_S:
                in_burst = BURST_S[0] <= at < BURST_S[1]
                at += self._rng.expovariate(per_s * (burst if in_burst else 1.0))
                urgent = self._rng.random() < 0.25
                rank, objective_s = (0, 0.435) if urgent else (LOWEST_RANK, 0.6)
                call = Call(at, rank, objective_s, number)
                self._at(at, partial(self._arrive, call))
        self._at(REPORT_S, self._report)

    def run(self) -> GatewayFleet:
        """Serve all requests."""
        while self._events:
            self._now, _, act = heapq.heappop(self._events)
            if self._now > UNTIL_S + 10.0:
                break
            act()
        return self

    def late_fraction(self, begin: float, end: float, rank: int | None = None) -> float:
        """Return the fraction of late requests among those that arrived then."""
        calls = [
            served
            for served in self.served
            if begin <= served.call.arrived < end and rank in (None, served.call.rank)
        ]
        return sum(served.late for served in calls) / max(1, len(calls))

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act))

    def _enqueue(self, loop: _Loop, cpu_s: float, act: Callable[[], None]) -> None:
        loop.ready.append((cpu_s, act))
        if not loop.busy:
            self._serve_next(loop)

    def _serve_next(self, loop: _Loop) -> None:
        loop.busy = bool(loop.ready)
        if not loop.ready:
            return
        cpu_s, act = loop.ready.popleft()

        def done() -> None:
            act()
            self._serve_next(loop)

        self._at(self._now + cpu_s / loop.core, done)

    def _tick_due(self, loop: _Loop) -> None:
        due_at = self._now
        self._enqueue(loop, 0.0, lambda: self._ticked(loop, due_at))

    def _ticked(self, loop: _Loop, due_at: float) -> None:
        loop.lateness.ticked(due_at, self._now)
        others_s = [other.reported_s for other in self.loops if other is not loop]
        use = OwnUse(excess_s(loop.lateness.delay_s, others_s))
        loop.limit.updated(use, self._now)
        loop.fractions.append(loop.limit.fraction(LOWEST_RANK))
        if self._now < UNTIL_S + 5.0:
            self._at(self._now + TICK_S, lambda: self._tick_due(loop))

    def _report(self) -> None:
        for loop in self.loops:
            loop.reported_s = loop.lateness.delay_s
        if self._now < UNTIL_S + 5.0:
            self._at(self._now + REPORT_S, self._report)

    def _arrive(self, call: Call) -> None:
        loop = self.loops[call.gateway]
        stage_s = CPU_S / STAGES
        self._enqueue(loop, stage_s, lambda: self._read(call))

    def _read(self, call: Call) -> None:
        loop = self.loops[call.gateway]
        loop.limit.arrived(call.rank, call.objective_s, self._now)
        if self._limits and not call.refused and loop.limit.declines(call.rank):
            loop.declined.append((self._now, call.rank))
            others = [n for n in range(len(self.loops)) if n != call.gateway]
            call.refused, call.gateway = True, self._rng.choice(others)
            self._at(self._now + RETRY_S, lambda: self._arrive(call))
            return
        self._at(self._now + UPSTREAM_S, lambda: self._answer(call, STAGES - 1))

    def _answer(self, call: Call, stages: int) -> None:
        if not stages:
            self.served.append(Served(call, self._now - call.arrived))
            return
        loop, stage_s = self.loops[call.gateway], CPU_S / STAGES
        self._enqueue(loop, stage_s, lambda: self._answer(call, stages - 1))
