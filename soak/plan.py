"""Derives the faults of a soak run and their times from a seed; does no I/O."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

MAX_FAULT_S = 5.0
"""Longer than all leases and silence limits except those of upstreams."""

MIN_FAULT_S = 0.3
MEAN_GAP_S = 1.2
"""Mean time between the starts of two faults; short enough that some overlap."""

MEAN_ENDLESS_GAP_S = 5.0
"""Mean time between two upstreams that begin to answer without end."""

MASS_KILL_FRACTION = 0.6
"""Fraction of the entries that a mass kill ends."""


class FaultKind(StrEnum):
    """A fault of a process or of the link to it.

    MASS_KILL kills most entries together.  RELOAD sends SIGHUP.  WIPE deletes the data
    of a control replica.  CHANGE adds a workspace; RACE adds two concurrently.  SILENT
    to CUT are faults of links; SILENT_OPEN silences only connections that are already
    open.  SLOWDOWN makes an upstream slower, which it states; HIDDEN_SLOWDOWN does so
    without a word.  BURST raises the rate of a workspace's callers.  ENDLESS makes an
    upstream answer with a part that never ends.
    """

    KILL = "kill"
    PAUSE = "pause"
    DRAIN = "drain"
    RELOAD = "reload"
    MASS_KILL = "herd"
    WIPE = "wipe"
    CHANGE = "change"
    RACE = "race"
    SILENT = "silent"
    SILENT_OPEN = "silent_open"
    ONE_WAY = "one_way"
    SLOW = "slow"
    CUT = "cut"
    SLOWDOWN = "slowdown"
    HIDDEN_SLOWDOWN = "hidden_slowdown"
    BURST = "burst"
    ENDLESS = "endless"


LINK_FAULTS = frozenset(
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
    """Names of the processes and links, grouped by the faults that they may get.

    ``recording_upstreams`` are services whose record of runs is checked at the end, so
    they are never killed.
    """

    entries: tuple[str, ...]
    sidecars: tuple[str, ...]
    controls: tuple[str, ...]
    engines: tuple[str, ...]
    recording_upstreams: tuple[str, ...]
    links: tuple[str, ...]

    def by_kind(self) -> Mapping[FaultKind, Sequence[str]]:
        """Return the targets by kind of fault; empty if the kind needs none."""
        processes = (*self.entries, *self.sidecars, *self.controls, *self.engines)
        targets: dict[FaultKind, Sequence[str]] = {
            kind: self.links for kind in LINK_FAULTS
        }
        targets |= {
            FaultKind.KILL: processes,
            FaultKind.PAUSE: (*processes, *self.recording_upstreams),
            FaultKind.DRAIN: (*self.entries, *self.sidecars, *self.controls),
            FaultKind.RELOAD: (*self.entries, *self.sidecars, *self.controls),
            FaultKind.MASS_KILL: self.entries,
            FaultKind.WIPE: self.controls,
            FaultKind.CHANGE: (),
            FaultKind.RACE: (),
        }
        return targets


@dataclass(frozen=True, slots=True)
class GatewayTargets:
    """Names of what gets the faults of a soak run of gateways."""

    gateways: tuple[str, ...]
    upstreams: tuple[str, ...]
    workspaces: tuple[str, ...]

    def by_kind(self) -> Mapping[FaultKind, Sequence[str]]:
        """Return the targets by kind of fault."""
        return {
            FaultKind.KILL: self.gateways,
            FaultKind.PAUSE: self.gateways,
            FaultKind.SLOWDOWN: self.upstreams,
            FaultKind.HIDDEN_SLOWDOWN: self.upstreams,
            FaultKind.BURST: self.workspaces,
        }


class FaultTargets(Protocol):
    """What a plan chooses the targets of its faults from."""

    def by_kind(self) -> Mapping[FaultKind, Sequence[str]]:
        """Return the targets by kind of fault; empty if the kind needs none."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault; ``start_s`` counts from the start of the run."""

    start_s: float
    kind: FaultKind
    targets: tuple[str, ...]
    duration_s: float


def make_plan(seed: int, targets: FaultTargets, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of ``seed`` within ``length_s`` seconds, by start time.

    At most one control replica loses its disk, as the product guarantees nothing if
    more of them do.
    """
    rng = random.Random(seed)
    kinds = targets.by_kind()
    faults: list[Fault] = []
    wiped = False
    start_s = rng.expovariate(1.0 / MEAN_GAP_S)
    while start_s < length_s:
        kind = rng.choice([kind for kind in kinds if not (wiped and kind == "wipe")])
        wiped = wiped or kind is FaultKind.WIPE
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        chosen = _choose(rng, kind, kinds[kind])
        faults.append(Fault(round(start_s, 2), kind, chosen, round(duration_s, 2)))
        start_s += rng.expovariate(1.0 / MEAN_GAP_S)
    return tuple(faults)


def add_endless_answers(
    plan: tuple[Fault, ...], seed: int, upstreams: Sequence[str], length_s: float
) -> tuple[Fault, ...]:
    """Return ``plan`` with upstreams that answer without end at times.

    They are drawn apart, so that a seed keeps its other faults.
    """
    rng = random.Random(f"endless {seed}")
    faults = list(plan)
    start_s = rng.expovariate(1.0 / MEAN_ENDLESS_GAP_S)
    while start_s < length_s:
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        chosen = (rng.choice(upstreams),)
        kind = FaultKind.ENDLESS
        faults.append(Fault(round(start_s, 2), kind, chosen, round(duration_s, 2)))
        start_s += rng.expovariate(1.0 / MEAN_ENDLESS_GAP_S)
    return tuple(sorted(faults, key=lambda fault: fault.start_s))


def _choose(
    rng: random.Random, kind: FaultKind, names: Sequence[str]
) -> tuple[str, ...]:
    if not names:
        return ()
    if kind is FaultKind.MASS_KILL:
        count = max(1, round(len(names) * MASS_KILL_FRACTION))
        return tuple(rng.sample(list(names), count))
    return (rng.choice(names),)
