"""Tests of the plan of a soak run, and one short run with real processes."""

from __future__ import annotations

import pathlib

import pytest

from soak.__main__ import known_seeds, run_seed
from soak.plan import MAX_FAULT_S, FaultKind, Targets, make_plan

TARGETS = Targets(
    entries=("entry-1", "entry-2", "entry-3"),
    sidecars=("sidecar-a",),
    controls=("control-1",),
    engines=("upstream-a",),
    recording_upstreams=("upstream-s",),
    links=("entry-1", "sidecar-a"),
)
SHORT_SEED = 1
SHORT_S = 5.0


def test_a_seed_gives_the_same_plan_each_time() -> None:
    assert make_plan(7, TARGETS, 60.0) == make_plan(7, TARGETS, 60.0)
    assert make_plan(7, TARGETS, 60.0) != make_plan(8, TARGETS, 60.0)


@pytest.mark.parametrize("seed", range(30))
def test_a_plan_keeps_to_its_limits(seed: int) -> None:
    plan = make_plan(seed, TARGETS, 60.0)
    assert [fault.start_s for fault in plan] == sorted(fault.start_s for fault in plan)
    assert all(fault.duration_s <= MAX_FAULT_S for fault in plan)
    assert sum(fault.kind is FaultKind.WIPE for fault in plan) <= 1
    allowed = TARGETS.by_kind()
    assert all(set(fault.targets) <= set(allowed[fault.kind]) for fault in plan)
    ended = (FaultKind.KILL, FaultKind.MASS_KILL, FaultKind.WIPE, FaultKind.DRAIN)
    killed = {n for fault in plan if fault.kind in ended for n in fault.targets}
    assert not killed & set(TARGETS.recording_upstreams)


def test_all_kinds_of_faults_occur_and_overlap() -> None:
    plans = [make_plan(seed, TARGETS, 60.0) for seed in range(10)]
    assert {fault.kind for plan in plans for fault in plan} == set(FaultKind)
    pairs = [pair for plan in plans for pair in zip(plan, plan[1:])]
    assert any(
        first.start_s + first.duration_s > second.start_s for first, second in pairs
    )


def test_known_seeds_are_readable_and_unique() -> None:
    assert len(set(known_seeds())) == len(known_seeds())


def test_a_short_run_violates_no_guarantee(tmp_path: pathlib.Path) -> None:
    assert run_seed(SHORT_SEED, SHORT_S, tmp_path) == []
