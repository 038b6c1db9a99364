"""A test that hangs fails at its time limit, so that the run can continue."""

from __future__ import annotations

import asyncio
import threading

import pytest

from tests.time_bound import HungError, time_bound


async def _never() -> None:
    await asyncio.Event().wait()


@pytest.mark.parametrize(
    "hang",
    [
        lambda: threading.Event().wait(30.0),
        lambda: asyncio.run(_never()),
    ],
    ids=["thread", "event loop"],
)
def test_a_hang_ends_at_the_time_limit(hang, capfd):
    with pytest.raises(HungError, match="a name has not ended"):
        with time_bound("a name", 0.1):
            hang()
    assert "test_time_bound.py" in capfd.readouterr().err


def test_no_alarm_is_raised_after_the_block_ended_in_time():
    with time_bound("a name", 0.05):
        pass
    threading.Event().wait(0.1)
