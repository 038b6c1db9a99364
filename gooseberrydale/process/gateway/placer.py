"""Chooses the upstream that a request is sent to next, and waits for one to be usable.

There is one placer per request.  The rules are in ``request/placement.py``,
``request/hold_policy.py`` and ``request/waiting``; the placer applies them repeatedly
while the request waits.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field, replace

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.request_queue import NewTicket, RequestQueue, Visit
from gooseberrydale.process.gateway.routed_request import RoutedRequest
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery, demand_of
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.request.capacity_decision import NO_RANK, CapacityDecision
from gooseberrydale.request.capacity_ports import (
    Need,
    Refuse,
    Reservations,
    RetryPlan,
    RetryQuery,
)
from gooseberrydale.request.hold_policy import (
    Goal,
    Step,
    Wait,
    is_already_late,
    is_small,
    max_hold_s,
    next_step,
    poll_delay_s,
)
from gooseberrydale.request.placement import (
    RANDOM_WEIGHED,
    SHARED_RANDOM_WEIGHED,
    Candidate,
    Demand,
    choose,
    gap_excess_s,
    own_s,
    queue_s,
)
from gooseberrydale.request.quarantine import Quarantine, quarantine
from gooseberrydale.request.service_queue import ServiceRequest, decide
from gooseberrydale.request.waiting.neutral import AlwaysHold, NoReservations
from gooseberrydale.request.waiting.turn import (
    Prospect,
    accepted_queue_s,
    free_at,
    free_within,
    has_to_wait,
    is_late,
    may_pass,
    patience_s,
)
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.origins.origin import StreamOrigin
from gooseberrydale.version.quotas.quota import QuotaUnit
from gooseberrydale.version.run_times import RunTimes
from gooseberrydale.version.upstream_load import Load
from gooseberrydale.version.wait_limits import WaitLimits

HOLD_S = 0.8
"""How long a request waits for a usable upstream at most.  A change of weights ends
within this time.  A refused caller would not retry before that either, and would do so
only once."""

HOLD_FRACTION = 0.25
"""Fraction of its remaining time that a request may wait; the rest is for running it or
for another attempt."""

HOLD_POLL_INTERVAL_S = 0.02

MIN_LEFT_S = 0.05
"""A request that waits leaves the queue when it has this much more time left than its
first event takes.  Its caller would get an answer that was sent later only in part."""


@dataclass(frozen=True, slots=True)
class SharedCapacity:
    """The parts that decide when a request may use capacity that others want too."""

    queue: RequestQueue
    reservations: Reservations = field(default_factory=NoReservations)
    retries: RetryPlan = field(default_factory=AlwaysHold)


@dataclass(frozen=True, slots=True)
class ObservedStats:
    """Statistics that the process collects about routes and pools.

    Without ``capacity``, no request waits in a queue.
    """

    run_times: RunTimes
    mean_work: MeanWork
    patience: WaitLimits
    capacity: SharedCapacity | None = None


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen upstream."""

    record: UpstreamRecord
    chosen: Candidate


class NoCapacityError(Exception):
    """Every upstream that was considered would answer too late.

    ``permit_s`` is the time in seconds until one of them takes another request,
    if all of them limit their rate.  ``after_s`` is the time in seconds after which
    the caller may retry, None if it is not planned.
    """

    def __init__(
        self, permit_s: float | None = None, after_s: float | None = None
    ) -> None:
        super().__init__()
        self.permit_s = permit_s
        self.after_s = after_s


class QuarantinedError(Exception):
    """Earlier runs of the request, or of others like it, ended their upstreams."""

    def __init__(self, why: Quarantine) -> None:
        super().__init__()
        self.why = why


_Candidates = list[tuple[UpstreamRecord, Candidate]]


class Placer:
    """Chooses the upstream for each send of one request.

    ``tried`` holds the names of the upstreams that were chosen so far.  Once ``origin``
    is set, only upstreams that may continue its stream are chosen.  ``decision`` has
    the values that decided while requests competed for capacity.
    """

    def __init__(
        self, job: RoutedRequest, upstreams: Upstreams, stats: ObservedStats
    ) -> None:
        self._job = job
        self._upstreams = upstreams
        self._mean_work = stats.mean_work
        self._goal = Goal(job.route.objective_s, job.rank)
        run_s = stats.run_times.expected_s(job.route.name)
        self._demand: Demand = replace(
            demand_of(job.call.prompt), run_s=run_s, rank=job.rank
        )
        queued = upstreams.sharing.queues(job.pool.name)
        self._capacity = stats.capacity if queued else None
        if self._capacity is not None:
            # The queue orders ranks, so all of them use the same part of the objective.
            self._goal = Goal(job.route.objective_s, 0)
            self._demand = replace(
                self._demand,
                gap_s=job.route.gap_objective_s,
                mean_prefill_tokens=stats.mean_work.of(job.pool.name),
            )
        self._prior_wait_s = 0.0
        if self._demand.is_prompt or self._capacity is not None:
            self._prior_wait_s = stats.patience.prior_wait_s(
                job.route.name, job.call.wait_s
            )
        self._mean_tokens: float | None = None
        self._left_s = 0.0
        self._tries_parts = False
        # Time from the start of the request to its first event, at the last candidate.
        self._own_s = own_s(Candidate("", Load(0.0, 0.0, 0.0)), self._demand)
        self.tried: list[str] = []
        self.origin: StreamOrigin | None = None
        self.decision: CapacityDecision = job.undecided

    @property
    def demand(self) -> Demand:
        """The capacity that the request needs of an upstream."""
        return self._demand

    async def place(self) -> Placement | None:
        """Return the upstream for the next send; None if there is no candidate.

        Waits a limited time while no candidate is usable or all would answer late.
        Raises :class:`NoCapacityError` if that does not change in time.  Raises
        :class:`QuarantinedError` once this or another gateway has quarantined the
        request, also during the wait.
        """
        if self._capacity is not None and self._takes_turn():
            return await self._place_in_turn(self._capacity)
        while True:
            candidates = await self._usable_candidates()
            chosen = self._choose([candidate for _, candidate in candidates])
            if chosen is None:
                self._raise_if_rate_limited(_now())
                return None
            match self._next_step(chosen):
                case Step.SEND:
                    return self._placed(candidates, chosen)
                case Step.REFUSE:
                    raise NoCapacityError
            await asyncio.sleep(poll_delay_s(self._left_s, self._upstreams.rng))

    def _placed(self, candidates: _Candidates, chosen: Candidate) -> Placement:
        record = next(r for r, c in candidates if c.name == chosen.name)
        self.tried.append(record.name)
        self._upstreams.limits.sent(record.name, _now())
        if self._capacity is not None:
            job = self._job
            self._capacity.retries.began(job.pool.name, job.rank, _now())
        return Placement(record, chosen)

    def _takes_turn(self) -> bool:
        """Whether the request waits for its turn in the queue of its pool.

        A prompt that was sent before, by this or another gateway, is sent without
        waiting, as its caller may be reading the answer.  A service has no more slots
        for requests that failed elsewhere.
        """
        if not self._demand.is_prompt:
            return True
        resumed = self._job.call.last_event_id is not None
        return not (self.tried or resumed or self.origin is not None)

    async def _place_in_turn(self, shared: SharedCapacity) -> Placement | None:
        """Return the upstream once it is the request's turn in the queue of its pool.

        While no candidate is usable, the request waits for one for a limited time.
        """
        job = self._job
        usable_by = _now() + min(HOLD_S, job.left_s() * HOLD_FRACTION)
        fair = self._upstreams.sharing.is_fair(job.pool.name)
        with shared.queue.visit(job.pool.name, self._ticket(), fair=fair) as visit:
            while True:
                self._raise_if_quarantined()
                if visit.is_first():
                    candidates = self._candidates()
                    if _any_usable(candidates) or _now() >= usable_by:
                        chosen = await self._turn(shared, visit, candidates)
                        if chosen is not None:
                            visit.sent()
                            return self._placed(candidates, chosen)
                        if not candidates:
                            return None
                    elif not candidates:
                        self._raise_if_rate_limited(usable_by)
                self._note_wait(visit)
                self._raise_if_hopeless(shared, visit)
                await visit.wait(self._useful_until() - self._own_s - MIN_LEFT_S)

    async def _turn(
        self, shared: SharedCapacity, visit: Visit, candidates: _Candidates
    ) -> Candidate | None:
        """Return the upstream that the first request here is sent to; None to wait.

        Raises :class:`NoCapacityError` if it should not wait.
        """
        if not candidates:
            self._raise_if_rate_limited(_now())
            return None
        if not self._demand.is_prompt:
            return self._service_turn(visit, [c for _, c in candidates])
        chosen = self._choose([c for _, c in candidates])
        if chosen is None:
            return None
        self._note_choice(chosen)
        may_send = await self._may_send(shared, visit, candidates, chosen)
        return chosen if may_send else None

    def _note_wait(self, visit: Visit) -> None:
        """Record what is ahead of the request when it begins to wait."""
        if self.decision.waited or visit.is_waiting:
            return
        ahead = visit.ahead()
        self.decision = replace(
            self.decision,
            over_share=visit.is_over_share(),
            queued_behind=math.ceil(ahead.requests),
            behind_rank=visit.first_rank() if ahead.requests else NO_RANK,
            backlog_tokens=ahead.tokens,
        )

    def _note_choice(self, chosen: Candidate) -> None:
        self.decision = replace(
            self.decision,
            limit=chosen.memory_fraction,
            slowness=chosen.speed.slowness,
        )

    def _service_turn(
        self, visit: Visit, candidates: list[Candidate]
    ) -> Candidate | None:
        job = self._job
        request = ServiceRequest(
            objective_s=self._goal.objective_s,
            waited_s=_now() - job.arrived_at,
            left_s=job.left_s(),
            ahead=visit.ahead_elsewhere().requests,
            prior_wait_s=self._prior_wait_s,
        )
        decision = decide(candidates, request, self._upstreams.rng)
        if decision.step is Step.REFUSE:
            raise NoCapacityError(after_s=decision.after_s)
        return decision.chosen

    def _useful_until(self) -> float:
        """Return until when the request's first event is of use to its caller."""
        job, route = self._job, self._job.route
        if not route.streamed:
            return job.deadline_at
        wait_s = patience_s(route.objective_s, route.gap_objective_s)
        return min(job.deadline_at, job.arrived_at + wait_s)

    def _ticket(self) -> NewTicket:
        job = self._job
        since = job.arrived_at - self._prior_wait_s
        objective_s = self._goal.objective_s
        due_at = since + objective_s - self._own_s if objective_s else math.inf
        holder = job.workspace
        weight = 0
        if holder is not None and holder.quota is not None:
            in_tokens = holder.quota.unit is QuotaUnit.TOKENS
            weight = math.ceil(holder.quota.per_s) if in_tokens else 0
        return NewTicket(
            job.rank,
            "" if holder is None else holder.name,
            self._demand.tokens,
            since,
            due_at,
            weight,
        )

    async def _may_send(
        self,
        shared: SharedCapacity,
        visit: Visit,
        candidates: _Candidates,
        chosen: Candidate,
    ) -> bool:
        """Whether to send a request, the first that waits here, to ``chosen`` now."""
        job, demand = self._job, self._demand
        wait = Wait(_now() - job.arrived_at, self._prior_wait_s)
        self._own_s = own_s(chosen, demand)
        urgent = visit.more_urgent_waits() or self._lacks_urgent_capacity(shared)
        small = demand.is_prompt and self._is_small(chosen) and not urgent
        prospect = Prospect(
            queue_s(chosen, demand), self._own_s, gap_excess_s(chosen, demand), small
        )
        if has_to_wait(prospect, wait, self._goal):
            return False
        ahead = visit.ahead_elsewhere()
        if ahead.requests > 0.0:
            accepted_s = accepted_queue_s(self._own_s, wait, self._goal)
            free = min(
                shared.reservations.free_requests(job.pool.name, job.rank, _now()),
                free_within((c for _, c in candidates), demand, accepted_s),
            )
            if not may_pass(demand.tokens, free, ahead):
                return False
        if not await self._is_reserved(shared, chosen):
            return False
        if is_late(self._own_s, wait, self._goal):
            self._demand = replace(demand, spare_only=True)
        return True

    def _lacks_urgent_capacity(self, shared: SharedCapacity) -> bool:
        """Whether a more urgent request of the pool would have to wait now."""
        pool, rank = self._job.pool.name, self._job.rank
        free = shared.reservations.free_requests
        return any(
            free(pool, urgent, _now()) < 1.0
            for urgent in shared.queue.ranks(pool)
            if urgent < rank
        )

    async def _is_reserved(self, shared: SharedCapacity, chosen: Candidate) -> bool:
        """Reserve capacity at ``chosen``; return whether it may be used.

        While the reservation was made, ``chosen`` may have become unusable.
        """
        job, demand, began = self._job, self._demand, _now()
        pool = job.pool.name
        if not self._upstreams.sharing.reserves(pool):
            return True
        prefill = demand.work_at(chosen).prefill_tokens
        need = Need(
            job.rank, demand.tokens, prefill, unshared_tokens=demand.unshared_tokens
        )
        free = free_at(chosen, demand)
        if not await shared.reservations.reserve(pool, chosen.name, need, free):
            return False
        if _now() == began:
            return True
        return any(c.name == chosen.name and c.usable for _, c in self._candidates())

    def _raise_if_hopeless(self, shared: SharedCapacity, visit: Visit) -> None:
        """Raise :class:`NoCapacityError` if the request should not wait."""
        job, now = self._job, _now()
        left_s = job.left_s()
        if self._useful_until() - now <= self._own_s + MIN_LEFT_S:
            raise NoCapacityError
        if not self._demand.is_prompt:
            return
        if not self._upstreams.sharing.plans_retries(job.pool.name):
            return
        query = RetryQuery(
            pool=job.pool.name,
            rank=job.rank,
            over_share=visit.is_over_share(),
            waited_s=now - job.arrived_at,
            prior_wait_s=self._prior_wait_s,
            own_s=self._own_s,
            objective_s=self._goal.objective_s,
            deadline_s=left_s,
        )
        decision = shared.retries.decide(query, now)
        if isinstance(decision, Refuse):
            raise NoCapacityError(after_s=decision.after_s)

    def has_others(self) -> bool:
        """Whether an upstream that was not tried may take the request."""
        return bool(self._candidates())

    def _choose(self, candidates: list[Candidate]) -> Candidate | None:
        weighed = RANDOM_WEIGHED if self._capacity is None else SHARED_RANDOM_WEIGHED
        return choose(candidates, self._demand, self._upstreams.rng, weighed)

    def _next_step(self, chosen: Candidate) -> Step:
        """Decide whether to send the request to ``chosen``, the best candidate.

        A request that was sent before, by this or another gateway, is sent without
        waiting.
        """
        resumed = self._job.call.last_event_id is not None
        if self.tried or resumed or not self._demand.is_prompt:
            return Step.SEND
        wait = Wait(_now() - self._job.arrived_at, self._prior_wait_s)
        own = own_s(chosen, self._demand)
        self._left_s = max_hold_s(own, wait, self._goal) - wait.held_s
        if is_already_late(own, wait, self._goal) and not self._demand.spare_only:
            self._demand = replace(self._demand, spare_only=True)
        queued = queue_s(chosen, self._demand)
        small = self._is_small(chosen)
        return next_step(queued, own, wait, self._goal, small=small)

    def _is_small(self, chosen: Candidate) -> bool:
        """Whether the prompt needs little computation, compared to its pool's mean."""
        pool = self._job.pool.name
        tokens = self._demand.work_at(chosen).prefill_tokens
        if self._mean_tokens is None:
            self._mean_tokens = self._mean_work.of(pool)
            self._mean_work.sent(pool, tokens)
        return is_small(tokens, self._mean_tokens)

    async def _usable_candidates(self) -> _Candidates:
        """Return the candidates, after a limited wait while none of them is usable.

        A stream does not wait if no upstream that may continue it is announced.
        """
        if self.origin is not None and not self.has_eligible():
            return []
        until = _now() + min(HOLD_S, self._job.left_s() * HOLD_FRACTION)
        candidates = self._allowed_candidates()
        while not _any_usable(candidates) and _now() < until:
            if not candidates:
                self._raise_if_rate_limited(until)
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)
            candidates = self._allowed_candidates()
        return candidates

    def _raise_if_rate_limited(self, until: float) -> None:
        """Raise :class:`NoCapacityError` if no upstream takes a request by ``until``.

        That is the case if all of them limit their rate or back off until later.
        """
        now = _now()
        permit_s = self._upstreams.next_permit_s(self._query(), now)
        if permit_s is not None and now + permit_s > until:
            raise NoCapacityError(permit_s)

    def _allowed_candidates(self) -> _Candidates:
        """Return the current candidates, unless the request is quarantined.

        The check is repeated at each poll: repeats of a request have ids of their own
        and arrive at any gateway, so the reports of other gateways may quarantine it
        while it waits here.
        """
        self._raise_if_quarantined()
        return self._candidates()

    def _raise_if_quarantined(self) -> None:
        job = self._job
        why = quarantine(self._upstreams.ended_incarnations, job.fingerprint, job.parts)
        if why is not None and not self._is_trial(why):
            raise QuarantinedError(why)

    def _is_trial(self, why: Quarantine) -> bool:
        """Whether the request is sent once in spite of its quarantined parts."""
        if why.harmful is None or self.tried:
            return False
        if not self._tries_parts:
            self._tries_parts = self._upstreams.may_try(why.harmful, _now())
        return self._tries_parts

    def has_eligible(self) -> bool:
        """Whether an announced upstream may take the request, usable now or not."""
        return self._upstreams.has_eligible(self._query(), _now())

    def _candidates(self) -> _Candidates:
        return self._upstreams.candidates(self._query(), _now())

    def _query(self) -> UpstreamQuery:
        job = self._job
        ranked = self._upstreams.sharing.ranks_loads(job.pool)
        return UpstreamQuery(
            job.pool,
            job.call.prompt,
            job.scope,
            self.tried,
            self.origin,
            rank=job.rank if ranked else None,
        )


def _any_usable(candidates: _Candidates) -> bool:
    return any(candidate.usable for _, candidate in candidates)


def _now() -> float:
    return asyncio.get_running_loop().time()
