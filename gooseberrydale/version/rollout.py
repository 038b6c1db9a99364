"""Decides which engines change to new weights next.

Pure functions, called by the control leader.  An engine that changes its weights
accepts no new work until its running requests have ended and the weights are loaded,
and the other engines carry its load.  So as few engines change at a time as possible
for the whole pool to finish within the time that operators allow.  Each engine
changes to the newest named version; versions in between are skipped.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

MAX_CONCURRENT_FRACTION = 1 / 3
"""Maximum fraction of a model's engines that change at once, however late it is."""

ENGINE_CHANGE_S = 2.0
"""Assumed time for one engine to change.

Running requests take about 1 s to end, the load takes 0.5 s, and polling adds a delay.
With a quarter of the engines dead, changes take 1.6 to 2.7 s."""

DEADLINE_FRACTION = 0.65
"""Fraction of the allowed time within which all engines should be changed.

Soon after it, entries stop sending work to engines with outdated weights."""

DEADLINE_FRACTION_DEGRADED = 0.78
"""The same fraction while some engines are dead.

The remaining engines carry the whole load, so fewer of them change at a time and the
rollout takes longer.  Of 12 s allowed this leaves the 2.6 s that entries need before
the end."""

MIN_CONCURRENT_CHANGES = 2
"""Minimum number of engines that change at once while no engine is dead.

In the smallest supported pool of five engines, three still serve requests.  While some
engines are dead the minimum is 1: with two of six dead and two more changing, two
engines had to carry the load of six."""


@dataclass(frozen=True, slots=True)
class EngineWeights:
    """One engine and the weights version that it last announced.

    ``running`` is the number of its requests when it was last polled.
    """

    name: str
    model: str
    version: int
    leaving: bool
    running: int = 0


def engines_to_change(
    engines: Iterable[EngineWeights],
    named: Mapping[str, int],
    changing: Collection[str],
    silent: Collection[str] = (),
    left_s: Mapping[str, float] | None = None,
    *,
    in_service: Collection[str] = (),
) -> list[str]:
    """Names of the engines that should start changing now, oldest weights first.

    Among equal versions, engines with the fewest running requests go first.  A
    restarted engine has no requests and no cache that a change would lose; if it got
    work before its change, it would have to be drained again.

    ``named`` maps each model to its wanted version.  ``changing`` names the engines
    that are changing, ``silent`` those that did not answer lately; none of these
    accept work, but for those of the changing that are ``in_service``: they answer no
    orders, and take no place among the few that change at once.  ``left_s`` maps each
    model to the time left until no work may start on outdated weights; without it the
    maximum number of engines changes.
    """
    by_model: dict[str, list[EngineWeights]] = {}
    for engine in engines:
        if not engine.leaving and engine.model in named:
            by_model.setdefault(engine.model, []).append(engine)
    names = []
    for model, members in sorted(by_model.items()):
        left = None if left_s is None else left_s.get(model, 0.0)
        names += _engines_of_model(
            members, named[model], changing, silent, left, in_service
        )
    return names


def max_concurrent_changes(engines: int) -> int:
    """Maximum number of a model's engines that may change at the same time."""
    return max(MIN_CONCURRENT_CHANGES, math.ceil(engines * MAX_CONCURRENT_FRACTION))


def concurrent_changes(
    engines: int, waiting: int, left_s: float, *, dead: int = 0
) -> int:
    """How many of a model's engines should change at the same time.

    ``waiting`` engines have not started to change and ``left_s`` seconds are left: the
    more time, the fewer at once.  When a quarter of the engines is dead, the others
    can't serve the load with a further third of them changing.
    """
    rounds = max(1, math.floor(left_s / ENGINE_CHANGE_S))
    minimum = 1 if dead else MIN_CONCURRENT_CHANGES
    return min(
        max_concurrent_changes(engines), max(minimum, math.ceil(waiting / rounds))
    )


def _engines_of_model(
    members: list[EngineWeights],
    wanted: int,
    changing: Collection[str],
    silent: Collection[str],
    left_s: float | None,
    in_service: Collection[str],
) -> list[str]:
    unavailable = {*changing, *silent}
    waiting = [
        member
        for member in members
        if member.version < wanted and member.name not in unavailable
    ]
    if left_s is None:
        unanswering = sum(member.name in silent for member in members)
        # Change at least one: silent engines may never answer again.
        allowed = max(1, max_concurrent_changes(len(members)) - unanswering)
    else:
        dead = sum(member.name in silent for member in members)
        allowed = concurrent_changes(len(members), len(waiting), left_s, dead=dead)
    taken = [
        member
        for member in members
        if member.name in changing and member.name not in in_service
    ]
    free_slots = allowed - len(taken)
    waiting.sort(key=lambda member: (member.version, member.running, member.name))
    return [member.name for member in waiting[: max(0, free_slots)]]
