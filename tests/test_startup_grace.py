"""When a process may wait briefly for updates before it refuses a request."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrydale.request.startup_grace import (
    GRACE_PERIOD_S,
    MAX_WAIT_S,
    STALL_S,
    TICK_S,
    StartupGrace,
)
from tests.clock import run_paused


@pytest.mark.parametrize(
    ("ticks", "now", "active"),
    [
        pytest.param([], 0.5, True, id="just started"),
        pytest.param(
            [1.0, 2.0], 2.5, True, id="within the grace period after the start"
        ),
        pytest.param([*range(20)], 20.0, False, id="long running without a stall"),
        pytest.param([*range(20)], 28.0, True, id="resumed, detected by a request"),
        pytest.param([*range(20), 28.0], 28.5, True, id="resumed, detected by a tick"),
        pytest.param(
            [*range(20), *range(28, 40)],
            40.0,
            False,
            id="grace period after a stall is over",
        ),
    ],
)
def test_active_after_start_and_stall(ticks, now, active):
    startup_grace = StartupGrace(0.0)
    for tick in ticks:
        startup_grace.tick(float(tick))
    assert startup_grace.is_active(now) is active


def test_a_tick_that_is_a_little_late_is_no_stall():
    assert TICK_S < STALL_S < GRACE_PERIOD_S


def test_wait_ends_when_the_condition_holds_or_after_the_limit() -> None:
    async def scenario() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        startup_grace = StartupGrace(loop.time())
        started = loop.time()
        await startup_grace.wait_for(lambda: loop.time() - started > 0.3)
        first = loop.time() - started
        await startup_grace.wait_for(lambda: False)
        return first, loop.time() - started - first

    first, second = run_paused(scenario())
    assert 0.3 < first < 0.4
    assert MAX_WAIT_S <= second < MAX_WAIT_S + 0.1
