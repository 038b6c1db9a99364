"""Decides whether a request is sent, waits for room, or is refused for now.  Pure.

It answers the load at which upstreams can't give every request its first event in
time, as when engines have died on a heavy day.  Were all of them sent at once, engines
would compute prompts that nobody waits for any more, preempt some of them and compute
these twice, and their steps would get longer until all are late.  So a request that
would be late where it can go now waits at its gateway, where it takes nothing from
others, and is sent once there is room.  One that can't be in time any more is refused
with the time to retry: its caller learns of it at once, and engines stay below the load
at which they fall behind.

Small requests don't wait: they take a part of the work of the others, and hardly delay
those behind them.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum, auto

TOP_PART = 0.85
"""Part of the objective within which the expected first event of a request of the
first rank must lie; the rest is for what the estimate does not see."""

RANK_PART = 0.1
"""What each lower rank loses of that part, so that higher ranks still find room."""

LEAST_PART = 0.55

CAUGHT_UP_S = 0.1
"""A request goes at once if its upstream lets it wait no longer than this:
about the time that one prompt takes there."""

SMALL_PART = 0.6
"""Up to this part of the mean work of a prompt, one is small."""

LEAST_WAIT_S = 0.25
"""No request is refused sooner: a queue of two or three prompts passes meanwhile, and a
retry takes longer."""

LATE_WAIT_S = 0.5
"""A request that can't be in time from the start still waits this long for room: about
half of a run, after which places get free."""

LOOK_S = 0.09
"""Mean time between two looks for room, with jitter around it: about as long as it
takes until a gateway knows what the others have sent.  With shorter ones the waiting
requests of many gateways meet at an engine that becomes idle."""

LOOK_SPREAD = 0.5

LEAST_PAUSE_S = 0.005
"""Less than this is not worth a wake-up of the process."""


class Step(Enum):
    """What becomes of a request now."""

    SEND = auto()
    WAIT = auto()
    COME_BACK = auto()


@dataclass(frozen=True, slots=True)
class Goal:
    """A request's objective in seconds, 0 if it has none, and its rank from 0 on."""

    objective_s: float
    rank: int

    @property
    def part(self) -> float:
        """The part of the objective within which it must be expected."""
        return max(LEAST_PART, TOP_PART - RANK_PART * self.rank)


@dataclass(frozen=True, slots=True)
class Wait:
    """For how long a caller has waited: ``here_s`` for this request, ``before_s`` for
    earlier ones that were refused for a time.
    """

    here_s: float
    before_s: float = 0.0

    @property
    def in_all_s(self) -> float:
        """Since the caller first asked; objectives count from there."""
        return self.here_s + self.before_s


def is_small(tokens: int, mean_tokens: float) -> bool:
    """Whether a prompt leaves little to compute; ``mean_tokens`` is 0 if not known."""
    return tokens <= SMALL_PART * mean_tokens


def would_be_late(queue_s: float, own_s: float, waited_s: float, goal: Goal) -> bool:
    """Whether a request that would wait ``queue_s`` behind others is better not sent.

    ``own_s`` is what its first event takes from then on; ``waited_s`` is the time since
    its caller asked.
    """
    if not goal.objective_s or queue_s <= CAUGHT_UP_S:
        return False
    return waited_s + queue_s + own_s > goal.objective_s * goal.part


def next_step(
    queue_s: float, own_s: float, wait: Wait, goal: Goal, *, small: bool = False
) -> Step:
    """What becomes of a request whose best upstream lets it wait ``queue_s``."""
    if small or not would_be_late(queue_s, own_s, wait.in_all_s, goal):
        return Step.SEND
    waits = wait.here_s < longest_wait_s(own_s, wait, goal)
    return Step.WAIT if waits else Step.COME_BACK


def longest_wait_s(own_s: float, wait: Wait, goal: Goal) -> float:
    """For how long a request may wait here: while it can still be in time.

    One that could not be in time when it came, since its caller has waited elsewhere
    or it takes too long by itself, gets a fixed time.
    """
    left_s = goal.objective_s * goal.part - wait.before_s - own_s
    return max(LEAST_WAIT_S, left_s) if left_s > 0.0 else LATE_WAIT_S


def comes_late(own_s: float, wait: Wait, goal: Goal) -> bool:
    """Whether a caller has waited so long before that it can't be in time any more."""
    if not goal.objective_s or not wait.before_s:
        return False
    return wait.in_all_s + own_s > goal.objective_s * goal.part


def pause_s(left_s: float, rng: random.Random) -> float:
    """Until a request that waits looks for room again; ``left_s`` it may still wait."""
    drawn_s = LOOK_S * rng.uniform(1.0 - LOOK_SPREAD, 1.0 + LOOK_SPREAD)
    return max(LEAST_PAUSE_S, min(drawn_s, left_s))
