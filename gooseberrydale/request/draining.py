"""Decides which requests a draining gateway still accepts. Pure.

During a rolling restart, callers reach the gateway until the balancer has noticed that
it is not ready, and a moment longer over keep-alive connections. Accepted requests have
to end before the process is killed. A request that may last longer is refused with a
retry time, but only once a retry would reach another gateway.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.request.gateway_call import Prompt

REFUSAL_WINDOW_S = 0.4
"""Requests are refused only within this time before the balancer stops sending callers
here, and after it. A caller refused then reaches another gateway within the usual
objective of a stream. Refused earlier, it would reach this gateway again and have used
up one of its retries."""

RETRY_MARGIN_S = 0.05
"""Added to the retry time, so that the caller does not retry just before the balancer
has stopped."""

FIRST_EVENT_S = 1.0
"""Longest time to the first event on a busy engine that is still usable."""

SLOW_TOKEN_INTERVAL_S = 0.04
"""Time between two tokens on a crowded engine. It is a guess from one stream, which
took 5.8 s and was moved once; it was not noted how many of the at most 192 tokens it
had."""


@dataclass(frozen=True, slots=True)
class Drain:
    """The times of the loop's clock at which the stages of a drain end.

    The balancer may send callers until ``listed_until``; answers that are open at
    ``abort_at`` are aborted.
    """

    listed_until: float
    abort_at: float


def retry_after_drain_s(
    drain: Drain, now: float, wait_s: float, prompt: Prompt | None
) -> float | None:
    """Return the seconds after which to retry a request; None if it is accepted.

    ``wait_s`` is the longest time that its caller waits; ``prompt`` is None for
    requests without a model.
    """
    listed_s = drain.listed_until - now
    if listed_s > REFUSAL_WINDOW_S:
        return None
    if _longest_s(wait_s, prompt) <= drain.abort_at - now:
        return None
    return max(0.0, listed_s) + RETRY_MARGIN_S


def _longest_s(wait_s: float, prompt: Prompt | None) -> float:
    if prompt is None:
        return wait_s
    return min(wait_s, FIRST_EVENT_S + prompt.max_new_tokens * SLOW_TOKEN_INTERVAL_S)
