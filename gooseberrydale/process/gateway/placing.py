"""Finds the upstream that a request is sent to next, and waits until it takes it.

Lives for one request.  What decides is in ``request/placement.py`` and
``request/timeliness.py``; this asks them again while the request waits.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.assignment import Assignment
from gooseberrydale.process.gateway.upstreams import Sought, Upstreams, demand_of
from gooseberrydale.request.placement import (
    Candidate,
    Demand,
    choose,
    own_s,
    queue_s,
)
from gooseberrydale.request.timeliness import (
    Goal,
    Step,
    Wait,
    comes_late,
    is_small,
    longest_wait_s,
    next_step,
    pause_s,
)
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.patience import Patience
from gooseberrydale.version.run_times import RunTimes

HOLD_S = 0.8
"""A request waits this long for an upstream that takes work: a change of weights ends
in that time.  Callers would come back no sooner, and only once."""

HOLD_PART = 0.25
"""Part of the time that a request has left which it may wait; the rest is for its work
or for another try."""

HOLD_POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class Learned:
    """What the process has observed of routes and pools."""

    run_times: RunTimes
    mean_work: MeanWork
    patience: Patience


@dataclass(frozen=True, slots=True)
class Placed:
    """Where the request goes; ``others`` says whether another upstream is left."""

    record: UpstreamRecord
    chosen: Candidate
    others: bool


class NoRoomError(Exception):
    """Every upstream that was weighed would answer too late.

    ``turn_s`` is when one of them takes the next request, if they limit what they take.
    """

    def __init__(self, turn_s: float | None = None) -> None:
        super().__init__()
        self.turn_s = turn_s


class QuarantinedError(Exception):
    """The request ends its upstreams, so it is sent to none of them."""


_Found = list[tuple[UpstreamRecord, Candidate]]


class Placing:
    """Places one request, again for each send; ``tried`` has the upstreams so far."""

    def __init__(self, job: Assignment, upstreams: Upstreams, learned: Learned) -> None:
        self._job = job
        self._upstreams = upstreams
        self._mean_work = learned.mean_work
        self._goal = Goal(job.route.objective_s, job.rank)
        run_s = learned.run_times.expected_s(job.route.name)
        self._demand: Demand = replace(demand_of(job.call.prompt), run_s=run_s)
        self._before_s = 0.0
        if self._demand.is_prompt:
            self._before_s = learned.patience.waited_before_s(
                job.route.name, job.call.wait_s
            )
        self._mean_tokens: float | None = None
        self._left_s = 0.0
        self.tried: list[str] = []

    @property
    def demand(self) -> Demand:
        """What the request needs."""
        return self._demand

    async def place(self) -> Placed | None:
        """Where to send the request; None if no upstream is known for it.

        Waits for a little if none of them takes work, and while all would answer late.
        Raises :class:`NoRoomError` if that can't be helped in time, and
        :class:`QuarantinedError` as soon as that is known, here or from other gateways.
        """
        while True:
            found = await self._usable_candidates()
            chosen = self._choose([one for _, one in found])
            if chosen is None:
                self._refuse_without_turn(_now())
                return None
            match self._next_step(chosen):
                case Step.SEND:
                    record = next(r for r, one in found if one.name == chosen.name)
                    self.tried.append(record.name)
                    self._upstreams.limits.sent(record.name, _now())
                    return Placed(record, chosen, others=len(found) > 1)
                case Step.COME_BACK:
                    raise NoRoomError
            await asyncio.sleep(pause_s(self._left_s, self._upstreams.rng))

    def any_usable(self) -> bool:
        """Whether another upstream would take the request now."""
        return any(one.usable for _, one in self._candidates())

    def _choose(self, found: list[Candidate]) -> Candidate | None:
        return choose(found, self._demand, self._upstreams.rng)

    def _next_step(self, chosen: Candidate) -> Step:
        """What becomes of the request if ``chosen`` is the best one for it.

        One that was sent before, here or by another gateway, goes on as it is.
        """
        resumed = self._job.call.last_event_id is not None
        if self.tried or resumed or not self._demand.is_prompt:
            return Step.SEND
        wait = Wait(_now() - self._job.began_at, self._before_s)
        own = own_s(chosen, self._demand)
        self._left_s = longest_wait_s(own, wait, self._goal) - wait.here_s
        if comes_late(own, wait, self._goal) and not self._demand.spare_only:
            self._demand = replace(self._demand, spare_only=True)
        queued = queue_s(chosen, self._demand)
        small = self._is_small(chosen)
        return next_step(queued, own, wait, self._goal, small=small)

    def _is_small(self, chosen: Candidate) -> bool:
        """Whether little is to be computed, against other prompts of the pool."""
        pool = self._job.pool.name
        tokens = self._demand.work_at(chosen).prefill_tokens
        if self._mean_tokens is None:
            self._mean_tokens = self._mean_work.of(pool)
            self._mean_work.sent(pool, tokens)
        return is_small(tokens, self._mean_tokens)

    async def _usable_candidates(self) -> _Found:
        """The candidates, waited for a little if none of them takes work."""
        until = _now() + min(HOLD_S, self._job.left_s() * HOLD_PART)
        candidates = self._allowed_candidates()
        while not any(one.usable for _, one in candidates) and _now() < until:
            if not candidates:
                self._refuse_without_turn(until)
            await asyncio.sleep(HOLD_POLL_S)
            candidates = self._allowed_candidates()
        return candidates

    def _refuse_without_turn(self, until: float) -> None:
        """Raise :class:`NoRoomError` if no upstream takes the request by ``until``, as
        all of them limit what they take."""
        now = _now()
        turn_s = self._upstreams.next_turn_s(self._sought(), now)
        if turn_s is not None and now + turn_s > until:
            raise NoRoomError(turn_s)

    def _allowed_candidates(self) -> _Found:
        """The candidates, asked for anew at each look.

        Repeats of a request have ids of their own and come to any gateway, so what
        they have ended is known only from what all gateways tell.
        """
        if self._upstreams.ended_incarnations.is_quarantined(self._job.fingerprint):
            raise QuarantinedError
        return self._candidates()

    def _candidates(self) -> _Found:
        return self._upstreams.candidates(self._sought(), _now())

    def _sought(self) -> Sought:
        job = self._job
        return Sought(job.pool, job.call.prompt, job.scope, self.tried)


def _now() -> float:
    return asyncio.get_running_loop().time()
