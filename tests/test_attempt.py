"""The answer of one attempt and its readers, on a simulated clock."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gooseberrydale.connection.messages import (
    Accepted,
    Chunk,
    End,
    Failed,
    Heartbeat,
    Load,
    Refused,
)
from gooseberrydale.errors import UPSTREAM_FAILED, InvariantError, problem
from gooseberrydale.process.sidecar.attempt import Attempt
from tests.builders_sidecar import dispatch_req
from tests.clock import run_paused

FAILED = problem(UPSTREAM_FAILED, not_run=False)


def make_attempt(replay_bytes: int = 1_000) -> Attempt:
    return Attempt(dispatch_req("incarnation-1"), replay_bytes, Load, lambda: 3)


async def frame_types(attempt: Attempt, offset: int = 0) -> list[Any]:
    return [type(frame) async for frame in attempt.frames(offset)]


def test_events_that_accumulated_are_sent_as_one_chunk() -> None:
    async def main() -> None:
        attempt = make_attempt()
        attempt.set_head(200, ())
        for event in (b"a", b"b", b"c"):
            await attempt.write((event,))
        attempt.end()
        frames = [frame async for frame in attempt.frames(1)]
        assert [type(frame) for frame in frames] == [Accepted, Chunk, End]
        assert frames[1].offset == 1
        assert frames[1].events == (b"b", b"c")
        assert frames[2].offset == 3

    run_paused(main())


def test_a_heartbeat_is_sent_for_each_second_without_other_frames() -> None:
    async def main() -> None:
        attempt = make_attempt()
        reading = asyncio.create_task(frame_types(attempt))
        await asyncio.sleep(2.5)
        attempt.set_head(200, ())
        attempt.end()
        assert await reading == [Heartbeat, Heartbeat, Accepted, End]

    run_paused(main())


def test_the_last_frame_shows_whether_the_answer_had_begun() -> None:
    async def main() -> None:
        for has_head, last_frame in ((False, Refused), (True, Failed)):
            attempt = make_attempt()
            if has_head:
                attempt.set_head(200, ())
            attempt.end(FAILED)
            assert (await frame_types(attempt))[-1] is last_frame

    run_paused(main())


def test_a_newer_reader_replaces_the_older_one() -> None:
    async def main() -> None:
        attempt = make_attempt()
        attempt.set_head(200, ())
        await attempt.write((b"a",))
        older = asyncio.create_task(frame_types(attempt))
        await asyncio.sleep(0.1)
        newer = asyncio.create_task(frame_types(attempt))
        assert await older == [Accepted, Chunk]
        await attempt.write((b"b",))
        attempt.end()
        assert (await newer)[-1] is End
        assert attempt.readers == 0

    run_paused(main())


def test_the_writer_waits_for_a_slow_reader() -> None:
    async def main() -> None:
        attempt = make_attempt(replay_bytes=4)
        attempt.set_head(200, ())
        writing = asyncio.create_task(attempt.write((b"12345",)))
        await asyncio.sleep(5)
        assert not writing.done()
        reading = asyncio.create_task(frame_types(attempt))
        await writing
        attempt.end()
        assert await reading == [Accepted, Chunk, End]

    run_paused(main())


def test_an_answer_cannot_end_twice_or_complete_without_a_head() -> None:
    async def main() -> None:
        attempt = make_attempt()
        with pytest.raises(InvariantError):
            attempt.end()
        attempt.end(FAILED)
        with pytest.raises(InvariantError):
            attempt.end(FAILED)

    run_paused(main())
