"""Gateways of unequal size that get equal load: which requests they decline."""

from __future__ import annotations

from functools import cache

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.request.self_limit import (
    LOOP_PASSES,
    MAX_DECLINED,
    RETRY_COST_S,
    STEP_S,
    LoopLateness,
    OwnUse,
    SelfLimit,
    excess_s,
)
from tests.builders_gateway_load import (
    BURST_S,
    LOWEST_RANK,
    UNTIL_S,
    GatewayFleet,
)

CORES = tuple(0.29 + 0.66 * n / 26 for n in range(27))
BURST = 2.5


@cache
def fleet(limits: bool, cores: tuple[float, ...] = CORES) -> GatewayFleet:
    return GatewayFleet(list(cores), BURST, limits=limits).run()


def limit(*ranks: int, objective_s: float = 0.4) -> SelfLimit:
    limit = SelfLimit()
    for rank in ranks:
        limit.arrived(rank, objective_s, 0.0)
    return limit


def test_thin_gateways_decline_and_their_callers_are_served_by_neighbours() -> None:
    """Callers are spread over gateways without regard to their size."""
    with_limits, without = fleet(limits=True), fleet(limits=False)
    late = with_limits.late_fraction(*BURST_S)
    late_without = without.late_fraction(*BURST_S)
    assert late_without > 0.15
    assert late < late_without / 2
    assert len(with_limits.served) == len(without.served)
    # The widest third of the gateways declines nothing.
    assert not any(loop.declined for loop in with_limits.loops[18:])


def test_overload_is_noticed_soon_and_over_soon_after_the_burst() -> None:
    """Later, requests would be late here, or be declined without need."""
    begin, end = BURST_S
    thinnest = fleet(limits=True).loops[0]
    times = [at for at, _ in thinnest.declined]
    assert begin < min(times) < begin + 1.0
    assert max(times) < end + 2.5
    late = fleet(limits=True).late_fraction(end + 2.0, UNTIL_S)
    assert late == 0.0 < fleet(limits=False).late_fraction(end + 2.0, UNTIL_S)


def test_declining_does_not_flap() -> None:
    """Load that comes and goes with the fraction would make requests late in turns."""
    for loop in fleet(limits=True).loops:
        changes = zip(loop.fractions, loop.fractions[1:], strict=False)
        assert sum((a > 0) != (b > 0) for a, b in changes) <= 6


def test_a_gateway_declines_little_while_all_are_overloaded() -> None:
    """No other gateway is better, and the caller would lose its only retry."""
    equal = (0.29,) * 9
    with_limits, without = fleet(True, equal), fleet(False, equal)
    declined = sum(len(loop.declined) for loop in with_limits.loops)
    assert declined < 0.1 * len(with_limits.served)
    late = with_limits.late_fraction(*BURST_S)
    assert late < without.late_fraction(*BURST_S) + 0.02


def test_the_most_urgent_rank_is_declined_last() -> None:
    for loop in fleet(limits=True).loops:
        first = {rank: at for at, rank in reversed(loop.declined)}
        if 0 in first:
            assert first[LOWEST_RANK] < first[0]


@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.0, 1.2)), max_size=60))
def test_a_lower_rank_is_never_declined_less(uses: list[tuple[float, float]]) -> None:
    tested = limit(0, 1, 2)
    for number, (delay_s, used) in enumerate(uses):
        tested.updated(OwnUse(delay_s, used), number * STEP_S)
        fractions = [tested.fraction(rank) for rank in (0, 1, 2)]
        assert fractions == sorted(fractions)
        assert fractions[0] <= 0.0 or fractions[1] == MAX_DECLINED


@pytest.mark.parametrize(
    "objective_s, delay_s, is_declined",
    [
        (0.4, 0.9 * RETRY_COST_S, False),
        (0.4, 1.5 * RETRY_COST_S, True),
        (4.0, 1.5 * RETRY_COST_S, False),
        (4.0, 1.5, True),
        (0.0, 10.0, False),
    ],
)
def test_nothing_is_declined_that_would_be_in_time_here(
    objective_s: float, delay_s: float, is_declined: bool
) -> None:
    """A retry costs about 0.1 s, and a caller has only one."""
    tested = limit(2, objective_s=objective_s)
    tested.updated(OwnUse(delay_s), 1.0)
    assert tested.is_limiting is is_declined


def test_a_tight_objective_of_a_higher_rank_counts_for_the_lower_one() -> None:
    tested = limit(2, objective_s=4.0)
    tested.arrived(0, 0.4, 0.0)
    tested.updated(OwnUse(2 * RETRY_COST_S), 1.0)
    assert tested.fraction(2) > 0.0 == tested.fraction(0)


def test_declined_requests_are_spread_evenly() -> None:
    tested = limit(2)
    tested.updated(OwnUse(1.25 * RETRY_COST_S), 1.0)
    declined = [n for n in range(100) if tested.declines(2)]
    fraction = tested.fraction(2)
    assert 0.05 < fraction < 0.5
    assert abs(len(declined) - 100 * fraction) <= 1.0
    gaps = [b - a for a, b in zip(declined, declined[1:], strict=False)]
    assert max(gaps) - min(gaps) <= 1


def test_memory_that_stays_in_use_does_not_raise_the_declined_fraction() -> None:
    """A process seldom returns memory, so the fraction would rise to its maximum."""
    tested = limit(2)
    for step in range(100):
        tested.arrived(2, 0.4, step * STEP_S)
        tested.updated(OwnUse(used=0.92), step * STEP_S)
    assert tested.fraction(2) == pytest.approx(0.2)


def test_a_single_long_callback_is_no_overload() -> None:
    """Loading a document takes the loop for a second."""
    lateness = LoopLateness()
    for step in range(20):
        late_s = 0.9 if step == 10 else 0.001
        lateness.ticked(step * 0.02, step * 0.02 + late_s)
        assert lateness.delay_s <= LOOP_PASSES * 0.001 + 1e-9


def test_delay_that_all_gateways_have_does_not_count() -> None:
    assert excess_s(0.5, [0.1, 0.1, 2.0]) == pytest.approx(0.3)
    assert excess_s(0.5, [0.5, 0.4]) == 0.0
    assert excess_s(0.5, []) == 0.5
