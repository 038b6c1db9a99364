"""Decides who waits for capacity, and when refused callers may retry. Pure.

A request that finds no capacity is held if the drain of the fleet clears what is ahead
of it soon enough, and is refused at once otherwise.  A refused caller retries once, at
another gateway, and its request then counts from its first arrival.  So nothing about
it has to be remembered: if the gateway that refused it ends, its retry time still
holds.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from gooseberrydale.request.capacity_ports import (
    Ahead,
    Backlog,
    Hold,
    Refuse,
    RetryQuery,
)
from gooseberrydale.request.retry_after import MIN_RETRY_AFTER_S
from gooseberrydale.request.retry_plan.drain import BUCKET_S, MAX_BUCKETS, FleetDrain

NEW_HOLD_FRACTION = 0.2
"""Fraction of the time left within which a late request must be served to be held, when
it arrives.  Beyond it, a retry costs its caller less than waiting: its time is chosen
by the drain, and its place is the same."""

HELD_FRACTION = 0.5
"""That fraction once a request is held.  Refusing it then wastes the time it waited, so
a small change of the drain must not cause it."""

LAST_FRACTION = 0.8
"""That fraction for a caller that was refused before, which has no further retry.  The
rest is for delays that the estimate does not model."""

HELD_S = 0.02
"""Time after which a request counts as held: it was decided on at least once."""

AFTER_FRACTIONS = (0.1, 0.25)
"""Bounds of a retry time, as fractions of the time left.  Callers retry if it is at
most a third.  The lower one makes a retry before its time recognizable."""

EARLY_FRACTION = 0.08
"""A caller whose earlier attempts took less than this fraction of its whole time came
back before the least retry time, apart from inexact clocks."""

PEAK_HALF_LIFE_S = 1.0
"""Half-life of the highest drain rate.  While little waits, requests begin as they
arrive, so the latest peak says more about what could begin than the current rate."""

MIN_PER_S = 0.5
"""Rate below which the drain counts as unknown: of what began, too little is recent."""

MIN_RANK_SHARE = 0.1
"""Share of the drain that a rank gets at least.  While more urgent ranks take all, this
gives a finite estimate for the others."""

COMPARED = 3
"""Intervals that are compared if no slot is free within the bound; the one in which the
fewest retries are due is taken.  If all were compared, gateways that know each other's
counts of 0.25 s ago would all choose the same one."""


class RetryPlanner:
    """Decides for one pool; times are seconds of the event loop's clock.

    ``backlog`` is the waiting work of all gateways, ``drain`` what they begin.
    """

    def __init__(
        self, pool: str, backlog: Backlog, drain: FleetDrain, rng: random.Random
    ) -> None:
        self._pool = pool
        self._backlog = backlog
        self._drain = drain
        self._rng = rng
        self._peaks: dict[int, float] = {}
        self._rates_at = 0.0

    def decide(self, query: RetryQuery, now: float) -> Hold | Refuse:
        """Decide about a request that finds no capacity now."""
        wait_s = self._wait_s(query, now)
        served_s = query.own_s + (query.waited_s if wait_s is None else wait_s)
        if query.own_s < query.deadline_s:
            spent_s = query.waited_s + query.prior_wait_s
            if spent_s + served_s <= query.objective_s:
                return Hold()
            if served_s <= hold_fraction(query) * query.deadline_s:
                return Hold()
        return self._refuse(query, wait_s, now)

    def _refuse(self, query: RetryQuery, wait_s: float | None, now: float) -> Refuse:
        least_s, most_s = (f * query.deadline_s for f in AFTER_FRACTIONS)
        if wait_s is None or wait_s > most_s:
            after_s = self._spread_s(query.rank, least_s, most_s, now)
        else:
            after_s = max(least_s, wait_s)
        after_s = max(MIN_RETRY_AFTER_S, after_s)
        if not is_last_attempt(query):
            self._drain.promised(self._pool, query.rank, now + after_s)
        return Refuse(after_s)

    def _spread_s(self, rank: int, least_s: float, most_s: float, now: float) -> float:
        """Return a time at which few retries are due, if no slot is free."""
        promised = self._drain.of(self._pool, rank, now).promised
        elapsed_s = now % BUCKET_S
        first, last = (int((s + elapsed_s) / BUCKET_S) for s in (least_s, most_s))
        last = min(last, max(first, MAX_BUCKETS - 1))

        def due(index: int) -> int:
            return promised[index] if index < len(promised) else 0

        index = min((self._rng.randint(first, last) for _ in range(COMPARED)), key=due)
        after_s = (index + self._rng.random()) * BUCKET_S - elapsed_s
        return min(most_s, max(least_s, after_s))

    def _wait_s(self, query: RetryQuery, now: float) -> float | None:
        """Return the time in which the drain clears what is ahead of a request.

        Those that were refused earlier are ahead of it if they are back by then.  None
        if nothing was begun recently, so that the drain is not known.
        """
        drain = self._drain.of(self._pool, query.rank, now)
        per_s = self._per_s(drain.per_s, query.rank, now)
        if per_s <= 0.0:
            return None
        wait_s = self._ahead(query, now).requests / per_s
        if is_last_attempt(query):
            return wait_s
        for index, due in enumerate(drain.promised):
            if wait_s < index * BUCKET_S - now % BUCKET_S:
                break
            wait_s += due / per_s
        return wait_s

    def _ahead(self, query: RetryQuery, now: float) -> Ahead:
        age_s = query.waited_s
        if is_last_attempt(query):
            age_s += query.prior_wait_s
        return self._backlog.ahead_of(
            query.pool, query.rank, query.over_share, age_s, now
        )

    def _per_s(self, rates: Mapping[int, int], rank: int, now: float) -> float:
        """Return the requests a second that begin if ``rank`` comes first.

        What begins of less urgent ranks would be of this one; what begins of more
        urgent ranks remains theirs.
        """
        elapsed_s, self._rates_at = now - self._rates_at, now
        decay = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
        for other in self._peaks.keys() | rates.keys():
            peak = self._peaks.get(other, 0.0) * decay
            self._peaks[other] = max(float(rates.get(other, 0)), peak)
        own = sum(per_s for other, per_s in self._peaks.items() if other >= rank)
        per_s = max(own, MIN_RANK_SHARE * sum(self._peaks.values()))
        return per_s if per_s >= MIN_PER_S else 0.0


class RetryPlans:
    """The planners of all pools."""

    def __init__(self, backlog: Backlog, drain: FleetDrain, rng: random.Random) -> None:
        self._backlog = backlog
        self._drain = drain
        self._rng = rng
        self._planners: dict[str, RetryPlanner] = {}

    def decide(self, query: RetryQuery, now: float) -> Hold | Refuse:
        """Decide about a request that finds no capacity now."""
        planner = self._planners.get(query.pool)
        if planner is None:
            planner = RetryPlanner(query.pool, self._backlog, self._drain, self._rng)
            self._planners[query.pool] = planner
        return planner.decide(query, now)

    def began(self, pool: str, rank: int, now: float) -> None:
        """Record that a request of this gateway was sent to an upstream."""
        self._drain.began(pool, rank, now)


def is_last_attempt(query: RetryQuery) -> bool:
    """Whether the caller was refused before and waited for its retry time.

    One that came back at once gains nothing: it counts as a new caller.
    """
    whole_s = query.deadline_s + query.waited_s + query.prior_wait_s
    return query.prior_wait_s >= EARLY_FRACTION * whole_s


def hold_fraction(query: RetryQuery) -> float:
    """Return the fraction of the time left within which the request must be served."""
    if is_last_attempt(query):
        return LAST_FRACTION
    return HELD_FRACTION if query.waited_s >= HELD_S else NEW_HOLD_FRACTION
