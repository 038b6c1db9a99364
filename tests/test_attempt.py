"""One answer and its readers, on a paused clock."""

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


def attempt(replay_bytes: int = 1_000) -> Attempt:
    return Attempt(dispatch_req("incarnation-1"), replay_bytes, Load, lambda: 3)


async def kinds(made: Attempt, offset: int = 0) -> list[Any]:
    return [type(frame) async for frame in made.frames(offset)]


def test_what_came_meanwhile_goes_as_one_chunk() -> None:
    async def main() -> None:
        made = attempt()
        made.head(200, ())
        for event in (b"a", b"b", b"c"):
            await made.write((event,))
        made.end()
        frames = [frame async for frame in made.frames(1)]
        assert [type(frame) for frame in frames] == [Accepted, Chunk, End]
        assert frames[1].offset == 1
        assert frames[1].events == (b"b", b"c")
        assert frames[2].offset == 3

    run_paused(main())


def test_a_heartbeat_is_sent_each_second_in_which_nothing_else_is() -> None:
    async def main() -> None:
        made = attempt()
        reading = asyncio.create_task(kinds(made))
        await asyncio.sleep(2.5)
        made.head(200, ())
        made.end()
        assert await reading == [Heartbeat, Heartbeat, Accepted, End]

    run_paused(main())


def test_the_end_says_whether_an_answer_had_begun() -> None:
    async def main() -> None:
        for begun, last in ((False, Refused), (True, Failed)):
            made = attempt()
            if begun:
                made.head(200, ())
            made.end(FAILED)
            assert (await kinds(made))[-1] is last

    run_paused(main())


def test_a_newer_reader_takes_over_and_the_older_one_ends() -> None:
    async def main() -> None:
        made = attempt()
        made.head(200, ())
        await made.write((b"a",))
        older = asyncio.create_task(kinds(made))
        await asyncio.sleep(0.1)
        newer = asyncio.create_task(kinds(made))
        assert await older == [Accepted, Chunk]
        await made.write((b"b",))
        made.end()
        assert (await newer)[-1] is End
        assert made.readers == 0

    run_paused(main())


def test_the_writer_waits_for_a_slow_reader() -> None:
    async def main() -> None:
        made = attempt(replay_bytes=4)
        made.head(200, ())
        writing = asyncio.create_task(made.write((b"12345",)))
        await asyncio.sleep(5)
        assert not writing.done()
        reading = asyncio.create_task(kinds(made))
        await writing
        made.end()
        assert await reading == [Accepted, Chunk, End]

    run_paused(main())


def test_an_answer_ends_once() -> None:
    async def main() -> None:
        made = attempt()
        with pytest.raises(InvariantError):
            made.end()
        made.end(FAILED)
        with pytest.raises(InvariantError):
            made.end(FAILED)

    run_paused(main())
