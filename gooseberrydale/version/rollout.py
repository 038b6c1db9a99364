"""Decides which engines are brought to new weights next.

Lives as long as control leads; pure.  An engine that changes its weights takes no new
work until the runs on it have ended and the weights are loaded, so only a few change
at a time: as few as keep the whole pool under the time that operators allow, and
the others carry the load meanwhile.  Versions that were overtaken are skipped, since
each engine is brought to the newest version that is named.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

MOST_PART = 1 / 3
"""Part of a model's engines that may change at once, however little time is left."""

ROUND_S = 2.0
"""What one engine's change takes: runs of about a second, a load of half a second, and
looks at it.  Measured on one day with a quarter of them dead: 1.6 and 2.7 s."""

USED_PART = 0.65
"""Part of the time allowed within which all engines are to be changed; soon after it
entries send engines on overtaken weights nothing any more."""

USED_PART_SHORT = 0.78
"""The same while some engines are dead: the others carry the whole load, so fewer of
them are taken away at a time, for longer.  Of 12 s allowed it leaves 2.6 s, as long as
entries need before the end."""

MIN_AT_ONCE = 2
"""Engines that may change at once however few there are; two of the smallest pool
that is planned for, five engines, leave more than half of it at work.  While some are
dead it is one: two dead and two away of six left two to carry the load of six."""


@dataclass(frozen=True, slots=True)
class EngineWeights:
    """One engine and the weights that it serves, as last announced.

    ``running`` is how many requests it had when it was asked last.
    """

    name: str
    model: str
    version: int
    leaving: bool
    running: int = 0


def due(
    engines: Iterable[EngineWeights],
    named: Mapping[str, int],
    changing: Collection[str],
    silent: Collection[str] = (),
    left_s: Mapping[str, float] | None = None,
) -> list[str]:
    """Names of the engines to begin with now, those on the oldest weights first.

    Among these the ones with the least work go first.  One that has just started again
    has none, and nothing cached that a change would lose; sent work before its change,
    it would have to be emptied again.

    ``named`` is the version wanted by model; ``changing`` names the engines whose
    change is under way, ``silent`` those that did not answer lately, which take no work
    either.  ``left_s`` is the time left by model until work may not start on overtaken
    weights; without it as many as may change at all are due.
    """
    by_model: dict[str, list[EngineWeights]] = {}
    for engine in engines:
        if not engine.leaving and engine.model in named:
            by_model.setdefault(engine.model, []).append(engine)
    found = []
    for model, members in sorted(by_model.items()):
        left = None if left_s is None else left_s.get(model, 0.0)
        found += _due_of_model(members, named[model], changing, silent, left)
    return found


def most_at_once(engines: int) -> int:
    """How many of a model's engines may be away for a change, whatever the hurry."""
    return max(MIN_AT_ONCE, math.ceil(engines * MOST_PART))


def at_once(engines: int, waiting: int, left_s: float, *, dead: int = 0) -> int:
    """How many of a model's engines are away for a change at a time.

    ``waiting`` of them are still to begin, with ``left_s`` seconds left: the more time,
    the fewer.  It answers a day on which a quarter of the engines is dead
    when new weights are named: the others have no third of themselves to spare.
    """
    rounds = max(1, math.floor(left_s / ROUND_S))
    least = 1 if dead else MIN_AT_ONCE
    return min(most_at_once(engines), max(least, math.ceil(waiting / rounds)))


def _due_of_model(
    members: list[EngineWeights],
    wanted: int,
    changing: Collection[str],
    silent: Collection[str],
    left_s: float | None,
) -> list[str]:
    out = {*changing, *silent}
    waiting = [
        member
        for member in members
        if member.version < wanted and member.name not in out
    ]
    if left_s is None:
        away = sum(member.name in silent for member in members)
        # One goes on in any case: engines that are away may never come back.
        allowed = max(1, most_at_once(len(members)) - away)
    else:
        dead = sum(member.name in silent for member in members)
        allowed = at_once(len(members), len(waiting), left_s, dead=dead)
    places = allowed - sum(member.name in changing for member in members)
    waiting.sort(key=lambda member: (member.version, member.running, member.name))
    return [member.name for member in waiting[: max(0, places)]]
