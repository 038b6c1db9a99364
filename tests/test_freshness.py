"""When a process may wait a moment for news before it refuses."""

from __future__ import annotations

import pytest

from gooseberrydale.request.freshness import FRESH_S, STALL_S, Freshness


@pytest.mark.parametrize(
    ("ticks", "now", "fresh"),
    [
        pytest.param([], 0.5, True, id="just started"),
        pytest.param([1.0, 2.0], 2.5, True, id="still within the first seconds"),
        pytest.param([*range(20)], 20.0, False, id="long running without a stall"),
        pytest.param([*range(20)], 28.0, True, id="thawed, seen by a request first"),
        pytest.param([*range(20), 28.0], 28.5, True, id="thawed, seen by a tick first"),
        pytest.param(
            [*range(20), *range(28, 40)],
            40.0,
            False,
            id="a stall is over after a while",
        ),
    ],
)
def test_fresh_after_start_and_stall(ticks, now, fresh):
    freshness = Freshness(0.0)
    for tick in ticks:
        freshness.tick(float(tick))
    assert freshness.may_wait(now) is fresh


TICK_S = 1.0


def test_a_late_tick_is_no_stall():
    assert TICK_S < STALL_S < FRESH_S
