"""Decides whether a request is sent now, waits, or is told to come back.  Pure.

It answers the load at which upstreams can't give every request its first event in
time, as when engines have died on a heavy day.  Were all of them sent at once, each
would wait behind all others and nearly all would be late.  So only those go at once
that will likely be in time; one that is late in any case gives way and goes as soon as
the upstreams have caught up.  A request of a higher rank still goes when one of a lower
rank has to wait, and nobody waits for longer than callers do.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

TOP_PART = 0.85
"""Part of the objective within which the expected first event of a request of the
first rank must lie; the rest is for what the estimate does not see."""

RANK_PART = 0.1
"""What each lower rank loses of that part, so that higher ranks still find room."""

LEAST_PART = 0.55

CAUGHT_UP_S = 0.1
"""An upstream at which a request waits no longer than this has caught up: about the
time that one prompt takes there.  Giving way to less does nobody any good."""

WAIT_BOUND_S = 1.1
"""Callers give up two seconds after they sent a request that brings nothing; with this
much waited, most of the rest is left for the work."""

WAIT_PART = 0.3
"""Part of a request's time that it may wait."""


class Timing(Enum):
    """What becomes of a request now."""

    GO = auto()
    WAIT = auto()
    STOP_WAITING = auto()


@dataclass(frozen=True, slots=True)
class Goal:
    """A request's objective in seconds, 0 if it has none, its rank, and its time."""

    objective_s: float
    rank: int
    limit_s: float

    @property
    def wait_bound_s(self) -> float:
        """How long the request may wait in all."""
        return min(WAIT_BOUND_S, self.limit_s * WAIT_PART)


def timing(queue_s: float, own_s: float, waited_s: float, goal: Goal) -> Timing:
    """What becomes of a request that waits ``queue_s`` behind others at its upstream.

    ``own_s`` is what its first event takes from then on; ``waited_s`` is the time since
    it came.
    """
    if not goal.objective_s or queue_s <= CAUGHT_UP_S:
        return Timing.GO
    part = max(LEAST_PART, TOP_PART - RANK_PART * goal.rank)
    if waited_s + queue_s + own_s <= goal.objective_s * part:
        return Timing.GO
    return Timing.STOP_WAITING if waited_s >= goal.wait_bound_s else Timing.WAIT
