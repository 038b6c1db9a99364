"""The plan of a soak, and one short seed on real processes."""

from __future__ import annotations

import pathlib

import pytest

from soak.__main__ import known_seeds, play
from soak.plan import LONGEST_S, FaultKind, Targets, make_plan

TARGETS = Targets(
    entries=("entry-1", "entry-2", "entry-3"),
    sidecars=("sidecar-a",),
    controls=("control-1",),
    engines=("upstream-a",),
    keepers=("upstream-s",),
    links=("entry-1", "sidecar-a"),
)
SHORT_SEED = 1
SHORT_S = 5.0


def test_a_seed_gives_the_same_plan_each_time() -> None:
    assert make_plan(7, TARGETS, 60.0) == make_plan(7, TARGETS, 60.0)
    assert make_plan(7, TARGETS, 60.0) != make_plan(8, TARGETS, 60.0)


@pytest.mark.parametrize("seed", range(30))
def test_what_a_plan_may_do(seed: int) -> None:
    plan = make_plan(seed, TARGETS, 60.0)
    assert [fault.at_s for fault in plan] == sorted(fault.at_s for fault in plan)
    assert all(fault.for_s <= LONGEST_S for fault in plan)
    assert sum(fault.kind is FaultKind.WIPE for fault in plan) <= 1
    allowed = TARGETS.of()
    assert all(set(fault.targets) <= set(allowed[fault.kind]) for fault in plan)
    ended = (FaultKind.KILL, FaultKind.HERD, FaultKind.WIPE, FaultKind.DRAIN)
    killed = {n for fault in plan if fault.kind in ended for n in fault.targets}
    assert not killed & set(TARGETS.keepers)


def test_all_kinds_come_and_overlap() -> None:
    plans = [make_plan(seed, TARGETS, 60.0) for seed in range(10)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)
    pairs = [pair for plan in plans for pair in zip(plan, plan[1:])]
    assert any(one.at_s + one.for_s > two.at_s for one, two in pairs)


def test_known_seeds_can_be_read() -> None:
    assert len(set(known_seeds())) == len(known_seeds())


def test_one_short_seed_keeps_all_promises(tmp_path: pathlib.Path) -> None:
    assert play(SHORT_SEED, SHORT_S, tmp_path) == []
