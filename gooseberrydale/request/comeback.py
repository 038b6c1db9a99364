"""When a caller whose request has not run is told to come back.  Pure.

The figures serve callers: soon enough that their time is not lost, late enough that
what was in the way is likely gone.
"""

from __future__ import annotations

import random

REFUSED_AFTER_S = 0.25
"""After a refusal by upstreams: about the time of a run on a service, or of a third of
a change of weights; another upstream has a place by then."""

NO_UPSTREAM_AFTER_S = 0.6
"""While no upstream is known: half of the pause between two announcements."""

NO_ROOM_AFTER_S = 0.8
"""While engines are full: about a run, after which as many places were free as there
are."""

SPREAD_PART = 0.5
"""Callers told at one moment come back within this part of the time before and after
it, so that they don't meet again."""

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


def no_room_s(left_s: float, rng: random.Random, turn_s: float | None = None) -> float:
    """Seconds until engines that are full will likely have room.

    ``turn_s`` is when one that limits its rate takes the next request of this gateway;
    others may take one sooner.
    """
    after_s = NO_ROOM_AFTER_S if turn_s is None else min(turn_s, NO_ROOM_AFTER_S)
    spread = rng.uniform(1.0 - SPREAD_PART, 1.0 + SPREAD_PART)
    return _within(after_s * spread, left_s)


def _within(wanted_s: float, left_s: float) -> float:
    return max(LEAST_S, min(wanted_s, left_s * PART_OF_LEFT))
