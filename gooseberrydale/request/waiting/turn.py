"""Decides whether a request may be sent now or has to wait. Pure.

Free capacity goes first to requests of better classes at any gateway, then to those of
the same class that have waited longer.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from gooseberrydale.request.capacity_ports import Ahead
from gooseberrydale.request.hold_policy import (
    NEGLIGIBLE_QUEUE_S,
    Goal,
    Wait,
    would_be_late,
)
from gooseberrydale.request.placement import (
    FULL_PENALTY_S,
    Candidate,
    Demand,
    queue_s,
)

LATE_QUEUE_FRACTION = 0.5
"""Fraction of the queue time that requests in time accept up to which a late request is
sent.  It leaves the rest to requests that still arrive and can be in time."""


@dataclass(frozen=True, slots=True)
class Prospect:
    """What a request can expect at its best upstream; times in seconds.

    ``gap_excess_s`` is by how much it would stretch gaps of streams there beyond what
    is in time.  ``small`` is whether it needs little work and nothing more urgent
    waits.
    """

    queue_s: float
    own_s: float
    gap_excess_s: float = 0.0
    small: bool = False


def is_late(own_s: float, wait: Wait, goal: Goal) -> bool:
    """Return whether a request misses its objective even if it is sent now."""
    return goal.objective_s > 0.0 and wait.total_s + own_s > goal.objective_s


def has_to_wait(prospect: Prospect, wait: Wait, goal: Goal) -> bool:
    """Return whether a request should not be sent to its best upstream yet."""
    if prospect.small and prospect.queue_s < FULL_PENALTY_S:
        return False
    if prospect.gap_excess_s > 0.0 and prospect.queue_s > NEGLIGIBLE_QUEUE_S:
        return True
    if is_late(prospect.own_s, wait, goal):
        accepted_s = goal.objective_s * goal.target_fraction * LATE_QUEUE_FRACTION
        return prospect.queue_s > max(NEGLIGIBLE_QUEUE_S, accepted_s)
    return would_be_late(prospect.queue_s, prospect.own_s, wait.total_s, goal)


def may_pass(tokens: int, free: float, ahead: Ahead) -> bool:
    """Return whether what waits elsewhere leaves capacity for a request.

    ``free`` is how many requests of ``tokens`` could start now.
    """
    if ahead.requests <= 0.0:
        return True
    alike = ahead.tokens / tokens if tokens > 0 else ahead.requests
    return free >= alike + 1.0


def free_at(candidate: Candidate, demand: Demand) -> float:
    """Return how many requests like ``demand`` fit in an upstream; may be infinite."""
    fitting = math.inf
    if candidate.slots:
        fitting = candidate.slots - candidate.load.requests
    if candidate.kv_tokens and demand.tokens:
        left = (
            candidate.kv_tokens * candidate.memory_fraction - candidate.load.kv_tokens
        )
        fitting = min(fitting, left / demand.tokens)
    return max(0.0, fitting)


def free_now(candidates: Iterable[Candidate], demand: Demand) -> float:
    """Return how many requests like ``demand`` could start now without a queue."""
    return sum(_startable(c, demand) for c in candidates if c.usable)


def _startable(candidate: Candidate, demand: Demand) -> float:
    spare_s = NEGLIGIBLE_QUEUE_S - queue_s(candidate, demand)
    if spare_s < 0.0:
        return 0.0
    tokens = demand.work_at(candidate).prefill_tokens
    if not tokens:
        return free_at(candidate, demand)
    speed = candidate.speed
    per_s = speed.prefill_tokens_per_s / speed.slowness / tokens
    return min(free_at(candidate, demand), 1.0 + spare_s * per_s)
