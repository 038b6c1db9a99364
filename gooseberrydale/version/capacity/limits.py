"""Learns how much of their declared memory the engines of each pool hold.

Gateways calculate the memory in use from what they send.  They count a shared prefix
once for each request, while an engine stores it once.  So an engine holds more than it
declares in this measure, by a factor that depends on what its callers share.  The limit
is learned: it rises in small steps while engines that are loaded near it report nothing
waiting, and falls by a factor when they show that they are overloaded.  No I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from gooseberrydale.request.gateway_call import ReportedLoad

MEMORY_FRACTION = 0.75
"""Above this fraction of an engine's memory requests preempt each other, if nothing
else is known about its pool."""

MIN_FRACTION = 0.5
"""Lower bound of a learned limit.  A pool whose engines are slow for another reason
still gets half of the work that fits into its memory."""

MAX_FRACTION = 2.0
"""Upper bound of a learned limit.  An engine holds more than this in the calculated
measure only if its requests share more than half of their tokens."""

RANK_RESERVE_FRACTION = 0.05
"""Fraction of declared memory that unshared tokens of each rank leave to the rank
before it, so that less urgent requests don't fill the memory of urgent ones."""

LAST_RANK = 3
"""Less urgent ranks leave as much as this one."""

NEAR_FRACTION = 0.8
"""Fraction of the limit from which an observation says something about it.  An engine
that holds four large requests at the limit is still near it with one less."""

BEYOND_FRACTION = 1.1
"""Fraction of the limit above which overload says nothing about it: urgent requests
disregard the work of other ranks, so more was sent than the limit allows."""

RAISE = 0.03
"""Added to the limit by an observation without overload: the limit follows a change of
what callers share within seconds."""

RAISE_BEYOND = 0.05
"""Most that is added if an upstream holds more than the limit without overload."""

RAISE_INTERVAL_S = 0.03
"""Least time between two raises, so that a gateway with many answers is not much
faster than its reports of work."""

LOWER_FACTOR = 0.8
"""Factor by which overload lowers the limit.  With this factor and ``RAISE``, the limit
is stable if about an eighth of the observations show overload."""

LOWER_INTERVAL_S = 0.3
"""Time after a decrease within which the limit does not change again: requests that
were sent under the earlier limit have ended or begun by then."""

WAITING_NOISE_FRACTION = 0.03
"""Requests that wait at an engine, as a fraction of its slots, up to which nothing is
short: those that arrived within its current step have not been admitted yet."""

LATE_RATIO = 3.0
"""A first event is late if it took this many times the usual ratio to what was
expected.  Without overload, prompts computed side by side take up to twice as long."""

LATE_SMOOTHING = 0.2
MAX_LATE_FRACTION = 0.3
"""Weight of the newest first event in the fraction of late ones, and the fraction that
shows overload: more than a single late event."""

RATIO_STEP = 0.05
"""Relative step by which the usual ratio follows each first event.  Steps of equal size
make it the median, which single late events don't change."""

NEAR_WEIGHT = 0.2
"""Weight of an increase seen near the limit, where delays may be due to overload.  If
upstreams are always near it, a sixth of the ratios are below
the usual one."""

USUAL_RATIOS = (0.05, 20.0)
"""Bounds of the usual ratio; expected delays may be of other engines."""

FIXED_S = 0.02
"""Added to each expected delay: transport, and the steps that the engine is in."""

MAX_POOLS = 256


def unshared_fraction(rank: int) -> float:
    """Return the fraction of declared memory that unshared tokens may use."""
    return 1.0 - RANK_RESERVE_FRACTION * min(rank, LAST_RANK)


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """What was known when a request was sent at ``sent_at``.

    ``held`` is the fraction of the upstream's declared memory that was calculated to be
    in use, and ``expected_s`` the expected time until the first event.
    """

    pool: str
    held: float
    sent_at: float
    expected_s: float


class CapacityLimits:
    """The learned limits of all pools; times are seconds of the event loop's clock."""

    def __init__(self) -> None:
        self._limits: dict[str, CapacityLimit] = {}

    def fraction(self, pool: str) -> float:
        """Return the fraction of declared memory that upstreams of ``pool`` hold."""
        limit = self._limits.get(pool)
        return MEMORY_FRACTION if limit is None else limit.fraction

    def fractions(self) -> dict[str, float]:
        """Return the limit of each pool about which something was learned."""
        return {pool: limit.fraction for pool, limit in self._limits.items()}

    def reported(self, pool: str, held: float, load: ReportedLoad, now: float) -> None:
        """Record a load report of an upstream of ``pool``.

        ``held`` is the fraction of its declared memory that is calculated to be in use.
        """
        limit = self._limit(pool)
        if limit is not None:
            limit.reported(held, load, now)

    def first_event(self, event: FirstEvent, now: float) -> None:
        """Record that a request's first event has arrived."""
        limit = self._limit(event.pool)
        if limit is not None:
            limit.first_event(event, now)

    def _limit(self, pool: str) -> CapacityLimit | None:
        if pool not in self._limits and len(self._limits) < MAX_POOLS:
            self._limits[pool] = CapacityLimit()
        return self._limits.get(pool)


class CapacityLimit:
    """The learned limit of one pool, as a fraction of declared memory."""

    def __init__(self) -> None:
        self.fraction = MEMORY_FRACTION
        self._raised_at = -math.inf
        self._lowered_at = -math.inf
        self._usual_ratio = 1.0
        self._late_fraction = 0.0

    def reported(self, held: float, load: ReportedLoad, now: float) -> None:
        """Record a load report of an upstream with the calculated fraction ``held``."""
        is_waiting = load.waiting > WAITING_NOISE_FRACTION * load.slots
        if is_waiting and load.running >= load.slots:
            # They wait for slots; whether memory is short can't be told.
            return
        if is_waiting:
            self._lower(held, now)
        elif self._late_fraction <= MAX_LATE_FRACTION / 2:
            self._raise(held, now)

    def first_event(self, event: FirstEvent, now: float) -> None:
        """Record the delay of a first event."""
        took_s = now - event.sent_at
        ratio = max(0.0, took_s) / (event.expected_s + FIXED_S)
        is_late = ratio > LATE_RATIO * self._usual_ratio
        is_near = event.held >= NEAR_FRACTION * self.fraction
        self._note_ratio(ratio, is_near=is_near)
        if not is_near:
            return
        self._late_fraction += LATE_SMOOTHING * (float(is_late) - self._late_fraction)
        if self._late_fraction > MAX_LATE_FRACTION and self._lower(event.held, now):
            self._late_fraction = 0.0

    def _note_ratio(self, ratio: float, *, is_near: bool) -> None:
        if ratio < self._usual_ratio:
            self._usual_ratio /= 1.0 + RATIO_STEP
        else:
            self._usual_ratio *= 1.0 + RATIO_STEP * (NEAR_WEIGHT if is_near else 1.0)
        low, high = USUAL_RATIOS
        self._usual_ratio = min(high, max(low, self._usual_ratio))

    def _raise(self, held: float, now: float) -> None:
        if held < NEAR_FRACTION * self.fraction:
            return
        if now < max(
            self._raised_at + RAISE_INTERVAL_S, self._lowered_at + LOWER_INTERVAL_S
        ):
            return
        step = min(RAISE_BEYOND, max(RAISE, held - self.fraction))
        self.fraction = min(MAX_FRACTION, self.fraction + step)
        self._raised_at = now

    def _lower(self, held: float, now: float) -> bool:
        """Lower the limit; return whether the overload says something about it."""
        relative = held / self.fraction
        if not NEAR_FRACTION <= relative <= BEYOND_FRACTION:
            return False
        if now >= self._lowered_at + LOWER_INTERVAL_S:
            self.fraction = max(MIN_FRACTION, self.fraction * LOWER_FACTOR)
            self._lowered_at = now
        return True
