"""Waiting for records: only after a start or a stall, and never for long."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrydale.request.freshness import (
    FRESH_S,
    MAX_WAIT_S,
    STALL_S,
    Freshness,
)
from tests.clock import run_paused

CASES = [
    ("just started", [], 0.5, True),
    ("ticked on for long", [1, 2, 3, 4, 5, 6, 7, 8, 9, 10], 10.5, False),
    ("stands still now", [1, 2, 3, 4, 5, 6, 7, 8, 9, 10], 10 + STALL_S + 1, True),
    ("stood still before", [*range(1, 11), 30], 30 + FRESH_S - 1, True),
    ("stood still long before", [*range(1, 11), *range(30, 37)], 36.5, False),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case[0])
def test_requests_may_wait_only_after_a_start_or_a_stall(
    case: tuple[str, list[float], float, bool],
) -> None:
    _, ticks, now, expected = case
    freshness = Freshness(0.0)
    for at in ticks:
        freshness.tick(at)
    assert freshness.may_wait(now) is expected


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
