"""Which faults come when, from a seed.  Pure."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

LONGEST_S = 5.0
"""Longer than every lease and silence limit of the product but that of upstreams."""

SHORTEST_S = 0.3
GAP_S = 1.2
"""Mean time between two faults; with faults of some seconds a few overlap."""

HERD_PART = 0.6


class FaultKind(StrEnum):
    """What is done to one process, or to the way to it."""

    KILL = "kill"
    PAUSE = "pause"
    DRAIN = "drain"
    RELOAD = "reload"
    HERD = "herd"
    WIPE = "wipe"
    CHANGE = "change"
    RACE = "race"
    SILENT = "silent"
    SILENT_OPEN = "silent_open"
    ONE_WAY = "one_way"
    SLOW = "slow"
    CUT = "cut"


ON_LINKS = frozenset(
    {
        FaultKind.SILENT,
        FaultKind.SILENT_OPEN,
        FaultKind.ONE_WAY,
        FaultKind.SLOW,
        FaultKind.CUT,
    }
)


@dataclass(frozen=True, slots=True)
class Targets:
    """Names by what may be done to them.

    ``keepers`` are upstreams whose record must survive: they are never killed.
    """

    entries: tuple[str, ...]
    sidecars: tuple[str, ...]
    controls: tuple[str, ...]
    engines: tuple[str, ...]
    keepers: tuple[str, ...]
    links: tuple[str, ...]

    def of(self) -> Mapping[FaultKind, Sequence[str]]:
        """The targets of each kind of fault; none means that it needs none."""
        processes = (*self.entries, *self.sidecars, *self.controls, *self.engines)
        found: dict[FaultKind, Sequence[str]] = {kind: self.links for kind in ON_LINKS}
        found |= {
            FaultKind.KILL: processes,
            FaultKind.PAUSE: (*processes, *self.keepers),
            FaultKind.DRAIN: (*self.entries, *self.sidecars, *self.controls),
            FaultKind.RELOAD: (*self.entries, *self.sidecars, *self.controls),
            FaultKind.HERD: self.entries,
            FaultKind.WIPE: self.controls,
            FaultKind.CHANGE: (),
            FaultKind.RACE: (),
        }
        return found


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: when it begins in seconds, on what, and for how long."""

    at_s: float
    kind: FaultKind
    targets: tuple[str, ...]
    for_s: float


def make_plan(seed: int, targets: Targets, length_s: float) -> tuple[Fault, ...]:
    """The faults of ``seed`` within ``length_s`` seconds, in order.

    At most one control replica loses its disk: more than that is no promise of ours.
    """
    rng = random.Random(seed)
    kinds = targets.of()
    faults: list[Fault] = []
    wiped = False
    at_s = rng.expovariate(1.0 / GAP_S)
    while at_s < length_s:
        kind = rng.choice([kind for kind in kinds if not (wiped and kind == "wipe")])
        wiped = wiped or kind is FaultKind.WIPE
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        chosen = _choose(rng, kind, kinds[kind])
        faults.append(Fault(round(at_s, 2), kind, chosen, round(for_s, 2)))
        at_s += rng.expovariate(1.0 / GAP_S)
    return tuple(faults)


def _choose(
    rng: random.Random, kind: FaultKind, names: Sequence[str]
) -> tuple[str, ...]:
    if not names:
        return ()
    if kind is FaultKind.HERD:
        count = max(1, round(len(names) * HERD_PART))
        return tuple(rng.sample(list(names), count))
    return (rng.choice(names),)
