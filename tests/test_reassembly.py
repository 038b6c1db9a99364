"""Answers are complete and in order even if frames are lost, repeated or reordered."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gooseberrydale.connection.messages import Frame, Heartbeat, Load
from gooseberrydale.request.answer_memory import AnswerMemory
from gooseberrydale.request.reassembly import (
    Action,
    AttemptFailed,
    Deliver,
    Finished,
    NeedAttach,
    Reassembly,
    Start,
)
from tests.builders_request import Frames, event

MAX_BYTES = 1024 * 1024
ONE, TWO = Frames(1, "i1"), Frames(2, "i2")


def feed_frames(*frames: Frame) -> tuple[Reassembly, list[Action]]:
    answer = Reassembly("r", held=AnswerMemory(MAX_BYTES, MAX_BYTES).begin())
    answer.begin(1, "i1")
    actions = [action for frame in frames for action in answer.feed(frame)]
    return answer, actions


def summary(actions: list[Action]) -> list[object]:
    """Reduce actions to offsets of events and to the types of all others."""
    reduced: list[object] = []
    for action in actions:
        if isinstance(action, Deliver):
            reduced += [action.offset + i for i in range(len(action.events))]
        elif isinstance(action, NeedAttach):
            reduced.append(("attach", action.offset))
        else:
            reduced.append(type(action))
    return reduced


@pytest.mark.parametrize(
    ("frames", "expected"),
    [
        (
            [ONE.accepted(), ONE.chunk(0, 2), ONE.chunk(2, 3), ONE.end(3)],
            [Start, 0, 1, 2, Finished],
        ),
        ([ONE.accepted(), ONE.chunk(0, 2), ONE.chunk(1, 3)], [Start, 0, 1, 2]),
        ([ONE.accepted(), ONE.chunk(0, 2), ONE.chunk(0, 2)], [Start, 0, 1]),
        ([ONE.accepted(), ONE.chunk(1, 2)], [Start, ("attach", 0)]),
        (
            [ONE.accepted(), ONE.chunk(0, 1), ONE.chunk(2, 3), ONE.end(3)],
            [Start, 0, ("attach", 1)],
        ),
        ([ONE.accepted(), ONE.chunk(0, 1), ONE.end(2)], [Start, 0, ("attach", 1)]),
        ([ONE.accepted(), ONE.chunk(0, 2), ONE.end(1)], [Start, 0, 1, AttemptFailed]),
        ([ONE.accepted(), ONE.failed(0), ONE.chunk(0, 1)], [Start, AttemptFailed]),
        ([ONE.accepted(), ONE.failed(1)], [Start, ("attach", 0)]),
        ([ONE.refused()], [AttemptFailed]),
        ([ONE.accepted(), ONE.accepted()], [Start]),
        ([ONE.chunk(0, 1)], [("attach", 0)]),
        ([ONE.end(0)], [("attach", 0)]),
        ([TWO.accepted(), TWO.chunk(0, 1), TWO.end(1)], []),
        ([Heartbeat("r", Load()), Heartbeat("other", Load())], []),
    ],
)
def test_frames_result_in_actions(frames: list[Frame], expected: list[object]) -> None:
    assert summary(feed_frames(*frames)[1]) == expected


@pytest.mark.parametrize("attempt,incarnation", [(2, "i1"), (1, "i2")])
def test_frames_of_another_attempt_are_dropped_and_counted(
    attempt: int, incarnation: str
) -> None:
    other = Frames(attempt, incarnation)
    answer, actions = feed_frames(ONE.accepted(), other.chunk(0, 1), other.end(0))
    assert summary(actions) == [Start]
    assert answer.counts.mismatched == 2


def test_frames_after_the_end_are_counted_as_late() -> None:
    answer, actions = feed_frames(
        ONE.accepted(), ONE.end(0), ONE.chunk(0, 1), ONE.failed(0)
    )
    assert summary(actions) == [Start, Finished]
    assert answer.counts.late == 2


def test_resume_on_another_upstream_ignores_frames_of_the_first() -> None:
    answer, _ = feed_frames(ONE.accepted(), ONE.chunk(0, 2))
    assert answer.begin(2, "i2") == 2
    assert answer.emitted_text() == "0 1 "
    actions = [*answer.feed(TWO.accepted(2)), *answer.feed(ONE.chunk(2, 4))]
    actions += [*answer.feed(TWO.chunk(2, 3)), *answer.feed(TWO.end(3))]
    assert summary(actions) == [2, Finished]


def test_an_answer_taken_over_begins_after_the_events_the_caller_has() -> None:
    answer = Reassembly("r", first_offset=2)
    assert answer.begin(1, "i1") == 2
    frames = [ONE.accepted(2), ONE.chunk(1, 4), ONE.end(4)]
    actions = [action for frame in frames for action in answer.feed(frame)]
    assert summary(actions) == [Start, 2, 3, Finished]
    assert answer.emitted_text() is None  # the events before offset 2 are unavailable


def test_another_attach_is_requested_while_the_gap_remains() -> None:
    answer, _ = feed_frames(ONE.accepted(), ONE.chunk(1, 2))
    answer.attached()
    assert answer.feed(ONE.chunk(1, 2)) == (NeedAttach(0),)
    answer.attached()
    assert summary(list(answer.feed(ONE.chunk(0, 2)))) == [0, 1]


@pytest.mark.parametrize(
    ("data", "text"),
    [
        (b'{"choices":[{"index":0,"delta":{"role":"assistant"}}]}', ""),
        (b'{"choices":[{"index":0,"delta":{"content":"hi"}}]}', "hi"),
        (b'{"choices":[{"index":0,"text":"hi"}]}', "hi"),
        (b'{"choices":[],"usage":{}}', ""),
        (b"[DONE]", ""),
        (b'{"choices":[{"index":1,"delta":{"content":"hi"}}]}', None),
        (b'{"choices":[{"index":0,"delta":{"tool_calls":[{"id":"t"}]}}]}', None),
        (b"part of a body", None),
    ],
)
def test_text_that_another_upstream_can_continue(data: bytes, text: str | None) -> None:
    answer, _ = feed_frames(
        ONE.accepted(), type(ONE.chunk(0, 0))(*ONE.triple, 0, (data,))
    )
    assert answer.emitted_text() == text


class Delivery(RuleBasedStateMachine):
    """One answer whose frames arrive late, duplicated, reordered or misrouted."""

    TOTAL = 8

    def __init__(self) -> None:
        super().__init__()
        self.answer = Reassembly("r", held=AnswerMemory(MAX_BYTES, MAX_BYTES).begin())
        self.attempt = 1
        self.answer.begin(1, "i1")
        self.delivered: list[bytes] = []
        self.sent_frames: list[Frame] = []
        self.finished = False
        self.needs: list[int] = []

    def receive(self, frame: Frame) -> None:
        self.sent_frames.append(frame)
        for action in self.answer.feed(frame):
            assert not self.finished
            if isinstance(action, Deliver):
                assert action.offset == len(self.delivered)
                self.delivered += action.events
            elif isinstance(action, NeedAttach):
                assert action.offset == len(self.delivered)
            elif isinstance(action, Finished):
                self.finished = True

    def frames(self) -> Frames:
        return Frames(self.attempt, f"i{self.attempt}")

    @rule()
    def accept(self) -> None:
        self.receive(self.frames().accepted(len(self.delivered)))

    @rule(start=st.integers(0, TOTAL), count=st.integers(0, 3))
    def chunk_anywhere(self, start: int, count: int) -> None:
        self.receive(self.frames().chunk(start, min(start + count, self.TOTAL)))

    @rule(count=st.integers(1, 3))
    def chunk_in_order(self, count: int) -> None:
        start = len(self.delivered)
        self.receive(self.frames().chunk(start, min(start + count, self.TOTAL)))

    @rule()
    def end(self) -> None:
        self.receive(self.frames().end(self.TOTAL))

    @rule(offset=st.integers(0, TOTAL))
    def fail(self, offset: int) -> None:
        self.receive(self.frames().failed(offset))

    @precondition(lambda self: self.sent_frames)
    @rule(data=st.data())
    def repeat_an_old_frame(self, data: st.DataObject) -> None:
        self.receive(data.draw(st.sampled_from(self.sent_frames)))

    @rule()
    def cross_with_another_request(self) -> None:
        chunk = self.frames().chunk(len(self.delivered), len(self.delivered) + 1)
        self.receive(type(chunk)("other", *self.frames().triple[1:], 0, (b"wrong",)))

    @rule()
    def attach(self) -> None:
        self.answer.attached()

    @rule()
    def resume_elsewhere(self) -> None:
        self.attempt += 1
        assert self.answer.begin(self.attempt, f"i{self.attempt}") == len(
            self.delivered
        )

    @invariant()
    def delivered_is_a_prefix_of_the_answer(self) -> None:
        assert self.delivered == [event(i) for i in range(len(self.delivered))]
        if self.finished:
            assert len(self.delivered) == self.TOTAL


TestDelivery = Delivery.TestCase
TestDelivery.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)
