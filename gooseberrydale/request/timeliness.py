"""Decides whether a request gives way to others at its upstream.  Pure.

It answers the load at which upstreams can't give every request its first event in
time, as when engines have died on a heavy day.  Were all of them served in the order
in which they came, each would wait behind all others and nearly all would be late.  So
a request that will be late in any case gives way to those that can be in time: it goes
to its upstream at once, at the lowest priority, and is served when there is room.
"""

from __future__ import annotations

from dataclasses import dataclass

TOP_PART = 0.85
"""Part of the objective within which the expected first event of a request of the
first rank must lie; the rest is for what the estimate does not see."""

RANK_PART = 0.1
"""What each lower rank loses of that part, so that higher ranks still find room."""

LEAST_PART = 0.55

CAUGHT_UP_S = 0.1
"""Nobody gives way at an upstream where a request waits no longer than this: about the
time that one prompt takes there."""


PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
"""Callers of streams leave without a first event after the longest of two seconds, four
times its objective and eight times the longest pause allowed; so it is agreed with
them."""

PATIENCE_PART = 0.9
"""Part of a caller's patience within which the first event must be expected; the rest
is for what the estimate does not see, and for the way."""


@dataclass(frozen=True, slots=True)
class Goal:
    """A request's objective in seconds, 0 if it has none, and its rank from 0 on.

    ``gap_s`` is the longest pause allowed within its answer.
    """

    objective_s: float
    rank: int
    gap_s: float = 0.0

    @property
    def patience_s(self) -> float:
        """How long its caller waits for the first event."""
        by_goals = PATIENCE_OBJECTIVES * self.objective_s, PATIENCE_GAPS * self.gap_s
        return max(PATIENCE_S, *by_goals)


def gives_way(queue_s: float, own_s: float, waited_s: float, goal: Goal) -> bool:
    """Whether a request that waits ``queue_s`` behind others gives way to them.

    ``own_s`` is what its first event takes from then on; ``waited_s`` is the time since
    it came.
    """
    if not goal.objective_s or queue_s <= CAUGHT_UP_S:
        return False
    part = max(LEAST_PART, TOP_PART - RANK_PART * goal.rank)
    return waited_s + queue_s + own_s > goal.objective_s * part


def is_hopeless(queue_s: float, own_s: float, waited_s: float, goal: Goal) -> bool:
    """Whether a request's caller will have left before its first event.

    ``queue_s`` is its wait behind all others, those included that give way as it does.
    Sent all the same, it would be computed for nobody, in the place of one whose caller
    still waits; told so at once, the caller comes back when there is room.
    """
    return waited_s + queue_s + own_s > goal.patience_s * PATIENCE_PART
