"""When a caller whose request has not run is told to come back.  Pure.

The figures serve callers: soon enough that their time is not lost, late enough that
what was in the way is likely gone.
"""

from __future__ import annotations

REFUSED_AFTER_S = 0.25
"""After a refusal by upstreams: about the time of a run on a service, or of a third of
a change of weights; another upstream has a place by then."""

NO_UPSTREAM_AFTER_S = 0.6
"""While no upstream is known: half of the pause between two announcements."""

NOT_READY_AFTER_S = 0.5
"""While this process knows no configuration; another one of the zone does."""

PART_OF_LEFT = 0.25
"""Callers come back within a third of the time that they have left; a quarter leaves
them time for the work itself."""

LEAST_S = 0.05


def after_refusal_s(left_s: float) -> float:
    """Seconds until upstreams that refuse will likely take the request."""
    return _within(REFUSED_AFTER_S, left_s)


def without_upstream_s(left_s: float) -> float:
    """Seconds until an upstream will likely be known."""
    return _within(NO_UPSTREAM_AFTER_S, left_s)


def _within(wanted_s: float, left_s: float) -> float:
    return max(LEAST_S, min(wanted_s, left_s * PART_OF_LEFT))
