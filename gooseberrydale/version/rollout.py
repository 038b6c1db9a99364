"""Decides which engines are brought to new weights next.

Lives as long as control leads; pure.  An engine that changes its weights takes no new
work until the runs on it have ended and the weights are loaded, so only a few change
at a time: as many as keep the whole pool under the time that operators allow, and
the others carry the load meanwhile.  Versions that were overtaken are skipped, since
each engine is brought to the newest version that is named.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

AT_ONCE_PART = 1 / 3
"""Part of a model's engines that may change at once.

With a load of half a second after runs of about a second, three rounds take five
seconds, of the eight within which users want new weights in force."""

MIN_AT_ONCE = 2
"""Engines that may change at once however few there are; two of the smallest pool
that is planned for, five engines, leave more than half of it at work."""


@dataclass(frozen=True, slots=True)
class EngineWeights:
    """One engine and the weights that it serves, as last announced."""

    name: str
    model: str
    version: int
    leaving: bool


def due(
    engines: Iterable[EngineWeights],
    named: Mapping[str, int],
    changing: Collection[str],
    silent: Collection[str] = (),
) -> list[str]:
    """Names of the engines to begin with now, those on the oldest weights first.

    ``named`` is the version wanted by model; ``changing`` names the engines whose
    change is under way, ``silent`` those that did not answer lately, which take no work
    either.
    """
    by_model: dict[str, list[EngineWeights]] = {}
    for engine in engines:
        if not engine.leaving and engine.model in named:
            by_model.setdefault(engine.model, []).append(engine)
    found = []
    for model, members in sorted(by_model.items()):
        found += _due_of_model(members, named[model], changing, silent)
    return found


def _due_of_model(
    members: list[EngineWeights],
    wanted: int,
    changing: Collection[str],
    silent: Collection[str],
) -> list[str]:
    at_once = max(MIN_AT_ONCE, math.ceil(len(members) * AT_ONCE_PART))
    out = {*changing, *silent}
    # One goes on in any case: engines that are away may never come back.
    allowed = max(1, at_once - sum(member.name in silent for member in members))
    places = allowed - sum(member.name in changing for member in members)
    behind = [
        member
        for member in members
        if member.version < wanted and member.name not in out
    ]
    behind.sort(key=lambda member: (member.version, member.name))
    return [member.name for member in behind[: max(0, places)]]
