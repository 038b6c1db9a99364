"""Decides whether a gateway sends a request, holds it, or refuses it for now. Pure.

The decision protects a pool that receives more load than it can serve within the
requests' latency objectives, for example after engines have failed at peak load. If
every request were sent, engines would compute prompts whose callers have already given
up, preempt some prompts and compute them twice, and their decoding steps would get
longer until every request is late.

So a request that would be late at every upstream is held at its gateway, where it uses
no engine time, and is sent once there is capacity. A request that can no longer meet
its objective is refused with a retry time, so its caller learns it early and engines
stay below the load at which they fall behind.

Small requests are never held: they need little of the work and hardly delay others.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum, auto

TOP_RANK_OBJECTIVE_FRACTION = 0.85
"""Fraction of the objective within which a request of the highest rank must be expected
to get its first event. The remainder covers delays that the estimate does not model."""

OBJECTIVE_FRACTION_PER_RANK = 0.1
"""Subtracted from that fraction for each lower rank, so that higher ranks still find
capacity."""

MIN_OBJECTIVE_FRACTION = 0.55
"""Lower bound of that fraction, for requests of the lowest ranks."""

NEGLIGIBLE_QUEUE_S = 0.1
"""A request is sent at once if the queue time at its upstream is at most this: about
the time that one prompt takes there."""

SMALL_PROMPT_FRACTION = 0.6
"""A prompt up to this fraction of the mean prompt's work counts as small."""

MIN_HOLD_S = 0.25
"""A request is held at least this long before it is refused. Two or three queued
prompts are computed in that time, and a retry would take longer."""

LATE_HOLD_S = 0.5
"""How long to hold a request that could not meet its objective when it arrived: about
half of the run time of a request, after which slots become free."""

POLL_INTERVAL_S = 0.09
"""Mean time between two checks for capacity; the actual time is jittered. It is about
as long as a gateway takes to receive what the other gateways have sent. With shorter
intervals, held requests of many gateways would all be sent to the same engine that has
become idle."""

POLL_JITTER = 0.5
"""Largest deviation from the mean interval, as a fraction of it."""

MIN_POLL_DELAY_S = 0.005
"""A shorter delay does not justify waking the process."""


class Step(Enum):
    """What the gateway does with a request now."""

    SEND = auto()
    WAIT = auto()
    REFUSE = auto()


@dataclass(frozen=True, slots=True)
class Goal:
    """The latency objective of a request and its rank.

    ``objective_s`` is the time in seconds until the first event, 0 without an
    objective; rank 0 is the highest.
    """

    objective_s: float
    rank: int

    @property
    def target_fraction(self) -> float:
        """Fraction of the objective within which the first event must be expected."""
        return max(
            MIN_OBJECTIVE_FRACTION,
            TOP_RANK_OBJECTIVE_FRACTION - OBJECTIVE_FRACTION_PER_RANK * self.rank,
        )


@dataclass(frozen=True, slots=True)
class Wait:
    """How long a caller has waited.

    ``held_s`` is the time that this request has been held; ``prior_wait_s`` the time
    that the caller spent on earlier attempts that were refused with a retry time.
    """

    held_s: float
    prior_wait_s: float = 0.0

    @property
    def total_s(self) -> float:
        """Time since the caller's first attempt; the objective counts from there."""
        return self.held_s + self.prior_wait_s


def is_small(tokens: int, mean_tokens: float) -> bool:
    """Return whether a prompt needs little work; ``mean_tokens`` is 0 if unknown."""
    return tokens <= SMALL_PROMPT_FRACTION * mean_tokens


def would_be_late(queue_s: float, own_s: float, waited_s: float, goal: Goal) -> bool:
    """Return whether a request should not be sent, as it would miss its objective.

    ``queue_s`` is the expected queue time at the upstream, ``own_s`` the time from the
    end of the queue to the request's first event, and ``waited_s`` the time since its
    caller's first attempt.
    """
    if not goal.objective_s or queue_s <= NEGLIGIBLE_QUEUE_S:
        return False
    return waited_s + queue_s + own_s > goal.objective_s * goal.target_fraction


def next_step(
    queue_s: float, own_s: float, wait: Wait, goal: Goal, *, small: bool = False
) -> Step:
    """Return what to do with a request that its best upstream would queue.

    ``queue_s`` is the expected queue time there.
    """
    if small or not would_be_late(queue_s, own_s, wait.total_s, goal):
        return Step.SEND
    may_wait = wait.held_s < max_hold_s(own_s, wait, goal)
    return Step.WAIT if may_wait else Step.REFUSE


def max_hold_s(own_s: float, wait: Wait, goal: Goal) -> float:
    """Return how long to hold a request: as long as it can still meet its objective.

    A request that could not meet it even on arrival, because of earlier waits or
    because it takes too long by itself, is held for a fixed time.
    """
    left_s = goal.objective_s * goal.target_fraction - wait.prior_wait_s - own_s
    return max(MIN_HOLD_S, left_s) if left_s > 0.0 else LATE_HOLD_S


def is_already_late(own_s: float, wait: Wait, goal: Goal) -> bool:
    """Return whether a retried request can no longer meet its objective."""
    if not goal.objective_s or not wait.prior_wait_s:
        return False
    return wait.total_s + own_s > goal.objective_s * goal.target_fraction


def poll_delay_s(left_s: float, rng: random.Random) -> float:
    """Return the time until the next check for capacity.

    ``left_s`` is the remaining time for which the request may be held.
    """
    jittered_s = POLL_INTERVAL_S * rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
    return max(MIN_POLL_DELAY_S, min(jittered_s, left_s))
