"""When a process may wait a moment for news before it refuses."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrydale.request.freshness import (
    FRESH_S,
    MAX_WAIT_S,
    STALL_S,
    TICK_S,
    Freshness,
)
from tests.clock import run_paused


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
    assert freshness.is_fresh(now) is fresh


def test_a_late_tick_is_no_stall():
    assert TICK_S < STALL_S < FRESH_S


def test_wait_ends_when_the_record_comes_or_after_a_moment() -> None:
    async def scenario() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        freshness = Freshness(loop.time())
        started = loop.time()
        await freshness.wait_for(lambda: loop.time() - started > 0.3)
        first = loop.time() - started
        await freshness.wait_for(lambda: False)
        return first, loop.time() - started - first

    first, second = run_paused(scenario())
    assert 0.3 < first < 0.4
    assert MAX_WAIT_S <= second < MAX_WAIT_S + 0.1
