"""Decides whether a request gives way to others at its upstream, or comes back.  Pure.

It answers the load at which upstreams can't give every request its first event in
time, as when engines have died on a heavy day.  Were all of them served in the order
in which they came, each would wait behind all others and nearly all would be late.  So
a request that will be late in any case gives way to those that can be in time: it goes
to its upstream at once, at the lowest priority, and is served when there is room.

At a heavier load still, such requests would fill the upstreams' memory: those that can
be in time find it taken, and what was computed for the others is thrown away.  So only
as many are taken as leave half of the memory free; the rest is told at once to come
back.  Who has come back already is taken, since there is no further try.
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
"""Nobody gives way at an upstream where a request waits no longer than this: about the
time that one prompt takes there."""


SPARE_PART = 0.5
"""Part of an engine's memory that requests which give way may fill.  With prompts of
9,000 tokens and a memory of 72,000 the other half takes four that can be in time."""

CAME_BACK_PART = 0.95
"""A caller that gives less than this part of its route's time has tried before."""


class Verdict(Enum):
    """What becomes of a request at the upstream that was chosen for it."""

    IN_TURN = auto()
    """It can be in time."""
    GIVES_WAY = auto()
    """It will be late, and is served when there is room."""
    COMES_BACK = auto()
    """There is no room either; its caller is told when to come back."""


@dataclass(frozen=True, slots=True)
class Goal:
    """A request's objective in seconds, 0 if it has none, and its rank from 0 on."""

    objective_s: float
    rank: int


def gives_way(queue_s: float, own_s: float, waited_s: float, goal: Goal) -> bool:
    """Whether a request that waits ``queue_s`` behind others gives way to them.

    ``own_s`` is what its first event takes from then on; ``waited_s`` is the time since
    it came.
    """
    if not goal.objective_s or queue_s <= CAUGHT_UP_S:
        return False
    part = max(LEAST_PART, TOP_PART - RANK_PART * goal.rank)
    return waited_s + queue_s + own_s > goal.objective_s * part


def verdict(late: bool, memory_part: float, wait_s: float, route_s: float) -> Verdict:
    """What becomes of a request that will be ``late`` or not.

    ``memory_part`` is the part of the upstream's memory that would be taken with it;
    its caller gives it ``wait_s`` seconds of the ``route_s`` that its route allows.
    """
    if not late:
        return Verdict.IN_TURN
    came_back = wait_s < route_s * CAME_BACK_PART
    if came_back or memory_part <= SPARE_PART:
        return Verdict.GIVES_WAY
    return Verdict.COMES_BACK
