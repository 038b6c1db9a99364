"""Decides what a gateway that was told to stop still takes.  Pure.

It answers a rolling restart under load.  Callers reach the gateway until the balancer
has seen that it is not ready, over kept connections a moment longer, and what they send
has to end before the process is killed.  A request that may last longer than that goes
to another gateway, but only once coming back would not lead here again.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.request.gateway_call import Prompt

LAST_LISTED_S = 0.4
"""The end of the time in which the balancer may still send callers here.  Who is sent
away then is back, elsewhere, within the usual objective of a stream; earlier it would
meet this gateway again, with one try less."""

SETTLE_S = 0.05
"""Added to that time, so that the caller does not come back just before its end."""

FIRST_EVENT_S = 1.0
"""A first event comes within this on an engine that is busy, but not given up."""

SLOW_TOKEN_S = 0.04
"""Between two tokens on a crowded engine: a guess from one stream that took 5.8 s and
was moved once; how many of its kind's 192 tokens at most it made was not noted."""


@dataclass(frozen=True, slots=True)
class Drain:
    """The times of the loop at which a drain comes to its stages.

    The balancer may send callers until ``listed_until``; answers that are open at
    ``cut_at`` are cut.
    """

    listed_until: float
    cut_at: float


def come_back_s(
    drain: Drain, now: float, wait_s: float, prompt: Prompt | None
) -> float | None:
    """Seconds after which a request is to come back; None if it is taken.

    ``wait_s`` is how long it may last at most; ``prompt`` what a model is asked.
    """
    listed_s = drain.listed_until - now
    if listed_s > LAST_LISTED_S:
        return None
    if _longest_s(wait_s, prompt) <= drain.cut_at - now:
        return None
    return max(0.0, listed_s) + SETTLE_S


def _longest_s(wait_s: float, prompt: Prompt | None) -> float:
    if prompt is None:
        return wait_s
    return min(wait_s, FIRST_EVENT_S + prompt.max_new_tokens * SLOW_TOKEN_S)
