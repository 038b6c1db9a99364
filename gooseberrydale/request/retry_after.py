"""Computes the retry times sent with refusals of requests that have not run. Pure.

Each time is short enough not to waste the caller's time, and long enough that the cause
of the refusal is probably over.
"""

from __future__ import annotations

import random

AFTER_REFUSAL_S = 0.25
"""After a refusal by upstreams: about the run time of a service request, or a third of
the time to load new weights; by then another upstream has a free slot."""

NO_UPSTREAM_AFTER_S = 0.6
"""While no upstream is known: half of the interval between two announcements."""

NO_CAPACITY_AFTER_S = 0.8
"""While engines are full: about the run time of a request, after which as many slots
have become free as there are."""

JITTER_FRACTION = 0.5
"""Largest deviation from the computed time, as a fraction of it, so that callers
refused at the same moment don't all retry at the same moment."""

NOT_READY_AFTER_S = 0.5
"""While this process has no configuration; another process of the zone has one."""

UNKNOWN_ORIGIN_AFTER_S = 1.0
"""While a gateway that may know a stream's origin does not answer: the time in which a
killed process serves again."""

REMAINING_TIME_FRACTION = 0.25
"""Largest fraction of its remaining time that a caller is asked to wait. Callers retry
within a third of that time; a quarter leaves enough of it for the request itself."""

MIN_RETRY_AFTER_S = 0.05
"""Lower bound of every retry time."""


def after_refusal_s(left_s: float) -> float:
    """Return the seconds until upstreams that refused will probably accept."""
    return _within(AFTER_REFUSAL_S, left_s)


def without_upstream_s(left_s: float) -> float:
    """Return the seconds until an upstream will probably be known."""
    return _within(NO_UPSTREAM_AFTER_S, left_s)


def after_unknown_origin_s(left_s: float | None) -> float:
    """Return the seconds until a gateway that did not answer probably does.

    ``left_s`` is None if the caller does not say how long it waits.
    """
    if left_s is None:
        return UNKNOWN_ORIGIN_AFTER_S
    return _within(UNKNOWN_ORIGIN_AFTER_S, left_s)


def after_no_capacity_s(
    left_s: float, rng: random.Random, permit_after_s: float | None = None
) -> float:
    """Return the seconds until full engines will probably have capacity.

    ``permit_after_s`` is the time until the rate limit of an upstream permits another
    request of this gateway, None without such a limit; other upstreams may have
    capacity sooner.
    """
    after_s = (
        NO_CAPACITY_AFTER_S
        if permit_after_s is None
        else min(permit_after_s, NO_CAPACITY_AFTER_S)
    )
    jitter = rng.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
    return _within(after_s * jitter, left_s)


def _within(after_s: float, left_s: float) -> float:
    return max(MIN_RETRY_AFTER_S, min(after_s, left_s * REMAINING_TIME_FRACTION))
