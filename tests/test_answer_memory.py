"""What an entry holds of answers is bounded."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from typing import Any

import pytest

from gooseberrydale.connection.messages import Accepted, Chunk, Load
from gooseberrydale.errors import ProblemError
from gooseberrydale.request import keyed
from gooseberrydale.request.answer_memory import (
    EVENT_BYTES,
    SMALL_BYTES,
    AnswerMemory,
)
from gooseberrydale.request.background import Background
from gooseberrydale.request.job import Events, Head, Part
from gooseberrydale.request.keyed import MAX_UNREAD_PARTS, KeyedAnswer
from gooseberrydale.request.parts import PartBuilder
from gooseberrydale.request.reassembly import Deliver, Reassembly, Start
from gooseberrydale.request.recorder import Recorder
from gooseberrydale.request.replay import ReplayLog

KIB = 1024
MIB = 1024 * KIB
SECTION = b"x" * 64 * KIB


def builder(memory: AnswerMemory) -> PartBuilder:
    """A builder of an answer that is no stream, whose head has arrived."""
    parts = PartBuilder("r", "", False, memory.begin())
    parts.begin("u", "i")
    parts.start(Start(200, (), 0))
    return parts


def fill(parts: PartBuilder) -> ProblemError:
    """Deliver sections until they don't fit."""
    with pytest.raises(ProblemError) as failure:
        for offset in range(10_000):
            assert parts.deliver(Deliver(offset, (SECTION,))) == []
    return failure.value


def test_an_answer_that_exceeds_its_bound_fails() -> None:
    memory = AnswerMemory(MIB, 8 * MIB)
    parts = builder(memory)
    problem = fill(parts).problem
    assert (problem.code, problem.status) == ("answer_too_large", 502)
    assert problem.not_run is False
    assert memory.held == MIB
    parts.close()
    assert memory.held == 0


def test_small_answers_have_room_beside_large_ones() -> None:
    memory = AnswerMemory(8 * MIB, 8 * MIB)
    problem = fill(builder(memory)).problem
    assert (problem.code, problem.status) == ("answers_hold_too_much", 503)
    assert problem.retry_after_s is not None
    assert memory.held == 6 * MIB
    for _ in range(2 * MIB // SMALL_BYTES):
        small = builder(memory)
        for offset in range(SMALL_BYTES // len(SECTION)):
            small.deliver(Deliver(offset, (SECTION,)))
        [_, events] = small.finish()
        assert isinstance(events, Events)
        assert len(events.events[0]) == SMALL_BYTES
    assert memory.held == 8 * MIB
    assert fill(builder(memory)).problem.code == "answers_hold_too_much"


def test_a_new_attempt_holds_nothing_of_the_one_before() -> None:
    memory = AnswerMemory(MIB, 8 * MIB)
    parts = builder(memory)
    parts.deliver(Deliver(0, (SECTION,)))
    parts.begin("u2", "i2")
    assert memory.held == 0


def test_a_stream_whose_text_is_too_long_to_be_held_goes_on() -> None:
    memory = AnswerMemory(MIB, 8 * MIB)
    answer = Reassembly("r", held=memory.begin())
    answer.begin(1, "i")
    ids = ("r", 1, "i")
    answer.feed(Accepted(*ids, 0, 200, (), Load(), 1))
    event = b'{"choices":[{"index":0,"delta":{"content":"word"}}]}'
    answer.feed(Chunk(*ids, 0, (event, event)))
    assert answer.emitted_text() == "wordword"
    assert memory.held == 2 * (len(event) + EVENT_BYTES)
    for offset in range(2, 40):
        actions = answer.feed(Chunk(*ids, offset, (SECTION,)))
        assert actions == (Deliver(offset, (SECTION,)),)
        assert memory.held <= MIB
    assert answer.next_offset == 40
    assert answer.emitted_text() is None
    assert memory.held == 0


def test_an_answer_that_is_too_long_to_be_held_is_not_recorded_in_part() -> None:
    memory = AnswerMemory(MIB, 8 * MIB)
    recorder = Recorder(memory.begin())
    recorder.add(Head(200, (), streamed=True))
    recorder.add(Events("u", "i", 0, (b"first",)))
    assert recorder.is_whole
    for offset in range(1, 40):
        recorder.add(Events("u", "i", offset, (SECTION,)))
        assert memory.held <= MIB
    assert not recorder.is_whole
    assert memory.held == 0


def test_events_of_a_replay_log_count_for_what_they_take() -> None:
    log = ReplayLog(0, 1_000, event_bytes=90)
    for _ in range(10):
        assert not log.full
        log.append(b"0123456789")
    assert log.full
    log.take()
    log.append(b"")
    assert not log.full
    assert (log.first, log.end) == (1, 11)


def test_a_caller_that_reads_nothing_makes_a_keyed_call_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Once it has gone, the call goes on, to be recorded."""
    produced = 0
    total = 4 * MAX_UNREAD_PARTS
    recorded: list[int] = []

    class Source:
        def __init__(self, *_args: Any) -> None:
            pass

        def hand_over(self) -> None:
            pass

        async def answer(self) -> AsyncGenerator[Part, None]:
            nonlocal produced
            yield Head(200, (), streamed=True)
            for offset in range(total):
                produced += 1
                yield Events("u", "i", offset, (b"event",))

    class Gate:
        holder = None

        def __init__(self, *_args: Any) -> None:
            pass

        async def finish(self, status: int, _headers: Any, body: bytes) -> None:
            recorded.append(body.count(b"event"))

    monkeypatch.setattr(keyed, "Runner", Source)
    monkeypatch.setattr(keyed, "ClaimGate", Gate)

    class AnyJob:
        request_id = workspace = idempotency_key = method = path = "x"
        body = b""

        class profile:
            name, deadline_s = "p", 5.0

    async def main() -> None:
        class AnyDeps:
            answers = AnswerMemory(MIB, 8 * MIB)
            background = Background()

        answer = KeyedAnswer(AnyDeps(), AnyJob(), None)  # type: ignore[arg-type]
        parts = answer.answer()
        assert isinstance(await anext(parts), Head)
        for _ in range(100):
            await asyncio.sleep(0)
        assert 1 < produced <= MAX_UNREAD_PARTS + 2
        assert AnyDeps.answers.held > 0
        await parts.aclose()
        for _ in range(100):
            await asyncio.sleep(0)
        assert produced == total
        assert recorded == [total]
        assert AnyDeps.answers.held == 0

    asyncio.run(main())
