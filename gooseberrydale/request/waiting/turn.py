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
)
from gooseberrydale.request.placement import (
    FULL_PENALTY_S,
    Candidate,
    Demand,
    queue_s,
)

LEAST_QUEUE_FRACTION = 0.6
"""Fraction of the time to its objective that a request accepts as queue time however
long it has waited.  If requests that have waited accepted less, upstreams would run out
of work between two reports while many requests wait."""

GIVE_UP_S = 2.0
GIVE_UP_OBJECTIVES = 4.0
GIVE_UP_GAPS = 8.0
"""Callers of a stream leave once no event has come for the longest of this time, so
many objectives, and so many of the longest gaps that are in time."""


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


def patience_s(objective_s: float, gap_s: float) -> float:
    """Return how long the caller of a stream waits for its first event, in seconds."""
    if not objective_s:
        return math.inf
    return max(GIVE_UP_S, GIVE_UP_OBJECTIVES * objective_s, GIVE_UP_GAPS * gap_s)


def is_late(own_s: float, wait: Wait, goal: Goal) -> bool:
    """Return whether a request misses its objective even if it is sent now."""
    return goal.objective_s > 0.0 and wait.total_s + own_s > goal.objective_s


def accepted_queue_s(own_s: float, wait: Wait, goal: Goal) -> float:
    """Return the queue time up to which a request is sent, in seconds."""
    if not goal.objective_s:
        return math.inf
    target_s = goal.objective_s * goal.target_fraction
    least_s = max(NEGLIGIBLE_QUEUE_S, target_s * LEAST_QUEUE_FRACTION)
    return max(least_s, target_s - own_s - wait.total_s)


def has_to_wait(prospect: Prospect, wait: Wait, goal: Goal) -> bool:
    """Return whether a request should not be sent to its best upstream yet."""
    if prospect.small and prospect.queue_s < FULL_PENALTY_S:
        return False
    if prospect.gap_excess_s > 0.0 and prospect.queue_s > NEGLIGIBLE_QUEUE_S:
        return True
    return prospect.queue_s > accepted_queue_s(prospect.own_s, wait, goal)


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


def free_within(
    candidates: Iterable[Candidate], demand: Demand, accepted_s: float
) -> float:
    """Return how many requests like ``demand`` could be sent now.

    ``accepted_s`` is the queue time that they accept.
    """
    return sum(_sendable(c, demand, accepted_s) for c in candidates if c.usable)


def _sendable(candidate: Candidate, demand: Demand, accepted_s: float) -> float:
    spare_s = accepted_s - queue_s(candidate, demand)
    if spare_s < 0.0:
        return 0.0
    tokens = demand.work_at(candidate).prefill_tokens
    if not tokens:
        return free_at(candidate, demand)
    speed = candidate.speed
    per_s = speed.prefill_tokens_per_s / speed.slowness / tokens
    return min(free_at(candidate, demand), 1.0 + spare_s * per_s)
