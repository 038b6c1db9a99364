"""Decides who gets the slots of a pool whose upstreams run no model. Pure.

Such an upstream runs a fixed number of requests, queues some more, and refuses the
rest.  It runs more slowly when it is nearly full.  So a request waits at its gateway
instead, where it can still be sent to whichever upstream has a free slot first, and
is refused as soon as no slot will be free in time.

Loads count the work of all ranks: an upstream without a model starts requests in the
order of their arrival.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from gooseberrydale.request.hold_policy import Step
from gooseberrydale.request.placement import Candidate, Demand, expected_s
from gooseberrydale.request.retry_after import (
    MIN_RETRY_AFTER_S,
    REMAINING_TIME_FRACTION,
)

MIN_FREE = 0.5
"""Free slots from which one counts as free. Loads contain estimates of gateways that do
not report, so they are not whole numbers."""

LATE_WAIT_FRACTION = 0.25
"""Fraction of its caller's time within which a request that is late anyway must get a
slot. If it were refused after a longer wait, its caller could hardly retry."""

RUN_MARGIN = 1.6
"""Factor of the run time within which a request must be expected to end, for what the
estimate leaves out: an upstream that fills up meanwhile, and the network."""

SIMILAR_FRACTION = 0.3
"""Upstreams whose expected times differ by at most this fraction of a run are chosen
between at random, by their free slots. Gateways that have the same reports would
otherwise all send to the same one."""

_SERVICE = Demand()


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request of a pool without a model; times in seconds.

    It has waited ``waited_s`` here, after its caller spent ``prior_wait_s`` on earlier
    attempts; ``objective_s`` counts from the first one, 0 without an objective.  The
    caller gives up in ``left_s``.  ``ahead`` waiting requests are served before it.
    """

    objective_s: float
    waited_s: float
    left_s: float
    ahead: float = 0.0
    prior_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceDecision:
    """What to do with a request now.

    ``chosen`` gets it if ``step`` is ``SEND``.  ``after_s`` is the time in seconds
    until a slot is expected to be free for it if ``step`` is ``WAIT``, and the time
    after which its caller may retry if it is ``REFUSE``.  A request that is ``late``
    misses its objective even if it is sent at once; it waits behind those that do not.
    """

    step: Step
    chosen: Candidate | None = None
    after_s: float = 0.0
    late: bool = False


def decide(
    candidates: Sequence[Candidate], request: ServiceRequest, rng: random.Random
) -> ServiceDecision:
    """Return whether a request is sent, waits, or is refused.

    ``candidates`` are the upstreams that may get it; those that are not usable count
    only if no other is left.  It must not be empty.
    """
    upstreams = [c for c in candidates if c.usable] or candidates
    free_s = slot_free_s(upstreams, request.ahead)
    late = is_late(upstreams, request)
    usual_s = min(c.speed.service_run_s for c in upstreams)
    if usual_s > request.left_s:
        return _refuse(request, free_s, late)
    if not free_s:
        return ServiceDecision(Step.SEND, choose_service(upstreams, rng), late=late)
    run_s = RUN_MARGIN * min(run_time_s(c) for c in upstreams)
    if free_s + run_s <= _in_time_s(request) or _may_wait_late(request, free_s, run_s):
        return ServiceDecision(Step.WAIT, after_s=free_s, late=late)
    return _refuse(request, free_s, late)


def is_late(candidates: Sequence[Candidate], request: ServiceRequest) -> bool:
    """Return whether a request misses its objective even if it is sent at once."""
    return RUN_MARGIN * min(run_time_s(c) for c in candidates) > _in_time_s(request)


def choose_service(candidates: Sequence[Candidate], rng: random.Random) -> Candidate:
    """Return the best upstream; one with a free slot if there is any."""
    usable = [c for c in candidates if c.usable] or candidates
    free = [c for c in usable if free_slots(c) >= MIN_FREE]
    if not free:
        return min(usable, key=lambda c: expected_s(c, _SERVICE))
    best = min(free, key=lambda c: expected_s(c, _SERVICE))
    limit_s = expected_s(best, _SERVICE) + SIMILAR_FRACTION * run_time_s(best)
    similar = [c for c in free if expected_s(c, _SERVICE) <= limit_s]
    weights = [min(free_slots(c), c.slots or 1) for c in similar]
    [chosen] = rng.choices(similar, weights)
    return chosen


def slot_free_s(candidates: Sequence[Candidate], ahead: float = 0.0) -> float:
    """Return the seconds until an upstream has a slot for a request; 0 if one has.

    ``ahead`` waiting requests get slots before it.
    """
    free = sum(max(0.0, free_slots(c)) for c in candidates)
    if free - ahead >= MIN_FREE:
        return 0.0
    queued = sum(max(0.0, -free_slots(c)) for c in candidates)
    slots_per_s = sum(c.slots / run_time_s(c) for c in candidates)
    return (queued + max(0.0, ahead - free) + 1.0) / slots_per_s


def free_slots(candidate: Candidate) -> float:
    """Return the free slots of an upstream; below 0 if requests are queued there."""
    if not candidate.slots:
        return math.inf
    return candidate.slots - candidate.load.requests


def run_time_s(candidate: Candidate) -> float:
    """Return how long a request occupies a slot of an upstream now, in seconds."""
    return candidate.speed.service_run_s * candidate.speed.slowness


def _in_time_s(request: ServiceRequest) -> float:
    """Return the seconds within which a request must end to be in time."""
    if not request.objective_s:
        return request.left_s
    used_s = request.prior_wait_s + request.waited_s
    return min(request.left_s, request.objective_s - used_s)


def _may_wait_late(request: ServiceRequest, free_s: float, run_s: float) -> bool:
    """Whether a request that would be late waits for a slot.

    One that was refused before does so as long as it can end before its deadline, as
    its caller would not retry again.
    """
    if request.prior_wait_s:
        return free_s + run_s <= request.left_s
    patience_s = (request.waited_s + request.left_s) * LATE_WAIT_FRACTION
    return request.waited_s + free_s <= patience_s


def _refuse(request: ServiceRequest, free_s: float, late: bool) -> ServiceDecision:
    """Refuse a request until a slot is free, but not for longer than callers wait."""
    longest_s = request.left_s * REMAINING_TIME_FRACTION
    after_s = max(MIN_RETRY_AFTER_S, min(free_s, longest_s))
    return ServiceDecision(Step.REFUSE, after_s=after_s, late=late)
