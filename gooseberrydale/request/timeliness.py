"""Decides whether a request gives way to others at its upstream.  Pure.

It answers the load at which upstreams can't give every request its first event in
time, as when engines have died on a heavy day.  Were all of them served in the order
in which they came, each would wait behind all others and nearly all would be late.  So
a request that will be late in any case gives way to those that can be in time: it goes
to its upstream at once, at the lowest priority, and is served when there is room.

Who is small does not: it earns what others earn for a part of the work, and keeps those
behind it hardly waiting.
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


SMALL_PART = 0.6
"""Up to this part of the mean work of a prompt, one is small.  Among questions of 830
tokens and checks that leave 2,890 to compute, in equal numbers, that is 1,100 tokens:
eight of ten questions and a fifth of the checks."""


@dataclass(frozen=True, slots=True)
class Goal:
    """A request's objective in seconds, 0 if it has none, and its rank from 0 on."""

    objective_s: float
    rank: int


def is_small(tokens: int, mean_tokens: float) -> bool:
    """Whether a prompt leaves little to compute; ``mean_tokens`` is 0 if not known."""
    return tokens <= SMALL_PART * mean_tokens


def gives_way(
    queue_s: float, own_s: float, waited_s: float, goal: Goal, *, small: bool = False
) -> bool:
    """Whether a request that waits ``queue_s`` behind others gives way to them.

    ``own_s`` is what its first event takes from then on; ``waited_s`` is the time since
    it came.
    """
    if small:
        return False
    if not goal.objective_s or queue_s <= CAUGHT_UP_S:
        return False
    part = max(LEAST_PART, TOP_PART - RANK_PART * goal.rank)
    return waited_s + queue_s + own_s > goal.objective_s * part
