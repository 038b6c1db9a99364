"""How long a reader waits for bytes, also when its process stalls."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from gooseberrydale.request.silence_limit import STEPS, SilenceLimit
from tests.clock import PausedClockLoop, run_paused

LIMIT_S = 0.5


def test_wait_ends_after_the_limit() -> None:
    async def scenario() -> float:
        with pytest.raises(TimeoutError):
            async with SilenceLimit(LIMIT_S):
                await asyncio.Event().wait()
        return asyncio.get_running_loop().time()

    assert run_paused(scenario()) == pytest.approx(LIMIT_S)


def test_the_deadline_ends_the_wait_earlier() -> None:
    async def scenario() -> float:
        with pytest.raises(TimeoutError):
            async with SilenceLimit(LIMIT_S, until=0.2):
                await asyncio.Event().wait()
        return asyncio.get_running_loop().time()

    assert run_paused(scenario()) == pytest.approx(0.2)


def test_bytes_that_arrived_during_a_stall_are_read() -> None:
    """Bytes need some iterations of the loop to reach the reader after a stall."""

    async def scenario() -> str:
        loop = cast(PausedClockLoop, asyncio.get_running_loop())
        frame: asyncio.Future[str] = loop.create_future()

        def wake_late() -> None:
            loop.stall(3 * LIMIT_S)
            loop.call_later(LIMIT_S / STEPS, frame.set_result, "frame")

        loop.call_later(LIMIT_S / 2, wake_late)
        async with SilenceLimit(LIMIT_S):
            return await frame

    assert run_paused(scenario()) == "frame"


def test_an_overloaded_loop_continues_to_read() -> None:
    """Each step ends late; ten late steps don't count as silence, though they exceed
    the limit.
    """

    async def scenario() -> str:
        loop = cast(PausedClockLoop, asyncio.get_running_loop())
        frame: asyncio.Future[str] = loop.create_future()

        def fall_behind(rounds: int) -> None:
            loop.stall(LIMIT_S / STEPS)
            if rounds:
                loop.call_later(LIMIT_S / STEPS / 2, fall_behind, rounds - 1)
            else:
                frame.set_result("frame")

        loop.call_soon(fall_behind, 10)
        async with SilenceLimit(LIMIT_S):
            return await frame

    assert run_paused(scenario()) == "frame"


def test_an_overloaded_loop_also_detects_silence() -> None:
    async def scenario() -> None:
        loop = cast(PausedClockLoop, asyncio.get_running_loop())

        def fall_behind() -> None:
            loop.stall(LIMIT_S / STEPS)
            loop.call_later(LIMIT_S / STEPS / 2, fall_behind)

        loop.call_soon(fall_behind)
        with pytest.raises(TimeoutError):
            async with SilenceLimit(LIMIT_S):
                await asyncio.Event().wait()

    run_paused(scenario())


def test_a_read_in_time_leaves_no_timer() -> None:
    async def scenario() -> float:
        async with SilenceLimit(LIMIT_S):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2 * LIMIT_S)
        return asyncio.get_running_loop().time()

    assert run_paused(scenario()) == pytest.approx(0.1 + 2 * LIMIT_S)


def test_cancelling_the_reader_raises_cancelled_error() -> None:
    async def read() -> None:
        async with SilenceLimit(LIMIT_S):
            await asyncio.Event().wait()

    async def scenario() -> None:
        task = asyncio.create_task(read())
        await asyncio.sleep(0.1)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run_paused(scenario())
