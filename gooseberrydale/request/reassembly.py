"""Restores the order of the frames of an answer.

Only frames of the current request, attempt and incarnation are used; all others are
dropped and counted.  Events are delivered strictly by offset 0, 1, 2, ...: duplicates
are dropped, a gap results in :class:`NeedAttach`, and an end frame must name the
number of events delivered, else it is an error.  The events of a stream are kept, as
far as the process can hold them, for its text.  Pure; one instance per request.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from gooseberrydale import errors
from gooseberrydale.connection.messages import (
    Accepted,
    Chunk,
    End,
    Failed,
    Frame,
    Heartbeat,
    Refused,
)
from gooseberrydale.errors import InvariantError, Problem, problem
from gooseberrydale.request.answer_memory import EVENT_BYTES, HeldAnswer


@dataclass(frozen=True, slots=True)
class Start:
    """The answer begins.  This action occurs once per answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Events for the caller; ``offset`` is the offset of the first event."""

    offset: int
    events: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class NeedAttach:
    """Events from ``offset`` on are missing: attach to the attempt at ``offset``."""

    offset: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The answer is complete: the caller may get its normal end."""


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """This attempt sends nothing more; ``refused`` means that it never began."""

    problem: Problem
    refused: bool = False


Action = Start | Deliver | NeedAttach | Finished | AttemptFailed


@dataclass(slots=True)
class FrameCounts:
    """Counts of dropped frames and events, and of gaps.

    ``mismatched`` frames are of another request, attempt or incarnation; ``late`` ones
    came after the end of the answer or of its attempt.
    """

    mismatched: int = 0
    late: int = 0
    repeated_events: int = 0
    gaps: int = 0


class Reassembly:
    """The answer to one request, over all its attempts.

    ``begin`` selects the attempt whose frames are used from then on.
    ``first_offset`` is the offset of the first event to deliver; the caller already
    has the events before it.  ``held`` counts the events that are kept for the text;
    without it none are.
    """

    def __init__(
        self, request_id: str, first_offset: int = 0, held: HeldAnswer | None = None
    ) -> None:
        self._request_id = request_id
        self._first_offset = first_offset
        self._attempt = 0
        self._incarnation = ""
        self._count = 0
        self._held = held
        self._events: list[bytes] | None = None if held is None else []
        self._started = False
        self._ended = False
        self._failed = False
        self._attach_pending = False
        self.counts = FrameCounts()

    @property
    def next_offset(self) -> int:
        """Offset of the next event to deliver."""
        return self._first_offset + self._count

    @property
    def started(self) -> bool:
        """Whether :class:`Start` was returned."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the answer is complete."""
        return self._ended

    def begin(self, attempt: int, incarnation: str) -> int:
        """Use the frames of this attempt from now on; return the next offset."""
        self._attempt = attempt
        self._incarnation = incarnation
        self._failed = False
        self._attach_pending = False
        return self.next_offset

    def attached(self) -> None:
        """Record that the attempt was attached to again at ``next_offset``."""
        self._attach_pending = False

    def feed(self, frame: Frame) -> tuple[Action, ...]:
        """Process one frame; return the resulting actions in order."""
        if not self._is_current(frame):
            self.counts.mismatched += 1
            return ()
        if self._ended or self._failed:
            self.counts.late += 1
            return ()
        if isinstance(frame, Heartbeat):
            return ()
        if isinstance(frame, Accepted):
            return self._on_accepted(frame)
        if isinstance(frame, Refused):
            return self._fail(frame.problem, refused=True)
        if isinstance(frame, Chunk):
            return self._on_chunk(frame)
        if isinstance(frame, End):
            return self._on_end(frame)
        return self._on_failed(frame)

    def emitted_text(self) -> str | None:
        """Return the text of the whole answer so far.

        None if it is not available, or if the answer is not one plain text that
        another upstream could continue.
        """
        if self._first_offset or self._events is None:
            return None
        return _text_of(self._events)

    def close(self) -> None:
        """Drop the events that are kept."""
        self._events = None
        if self._held is not None:
            self._held.close()

    def _keep(self, events: tuple[bytes, ...]) -> None:
        if self._events is None or self._held is None:
            return
        size = sum(map(len, events)) + EVENT_BYTES * len(events)
        if self._held.take(size):
            self._events.extend(events)
        else:
            self.close()

    def _is_current(self, frame: Frame) -> bool:
        if frame.request_id != self._request_id:
            return False
        if isinstance(frame, Heartbeat):
            return True
        return frame.attempt == self._attempt and frame.incarnation == self._incarnation

    def _on_accepted(self, frame: Accepted) -> tuple[Action, ...]:
        if self._started:
            return ()
        self._started = True
        return (Start(frame.status, frame.headers, frame.cached_tokens),)

    def _on_chunk(self, frame: Chunk) -> tuple[Action, ...]:
        repeated = self.next_offset - frame.offset
        if repeated < 0 or not self._started:
            return self._gap()
        self.counts.repeated_events += min(repeated, len(frame.events))
        new_events = frame.events[repeated:]
        if not new_events:
            return ()
        return (self._deliver(self.next_offset, new_events),)

    def _deliver(self, offset: int, events: tuple[bytes, ...]) -> Deliver:
        if offset != self.next_offset or self._ended:
            raise InvariantError(
                f"event {offset} out of order, expected {self.next_offset}"
            )
        self._count += len(events)
        self._keep(events)
        self._attach_pending = False
        return Deliver(offset, events)

    def _on_end(self, frame: End) -> tuple[Action, ...]:
        if frame.offset > self.next_offset or not self._started:
            return self._gap()
        if frame.offset < self.next_offset:
            return self._fail(_wrong_end_offset())
        self._ended = True
        return (Finished(),)

    def _on_failed(self, frame: Failed) -> tuple[Action, ...]:
        if frame.offset > self.next_offset:
            return self._gap()
        return self._fail(frame.problem)

    def _fail(self, why: Problem, refused: bool = False) -> tuple[Action, ...]:
        self._failed = True
        return (AttemptFailed(why, refused),)

    def _gap(self) -> tuple[Action, ...]:
        """Ask for an attach, once per gap.

        Later frames of the same connection show the same gap again.
        """
        if self._attach_pending:
            return ()
        self._attach_pending = True
        self.counts.gaps += 1
        return (NeedAttach(self.next_offset),)


def _wrong_end_offset() -> Problem:
    return problem(errors.UPSTREAM_FAILED, not_run=False)


class _Delta(msgspec.Struct):
    content: str | None = None
    tool_calls: object = None
    function_call: object = None


class _StreamChoice(msgspec.Struct):
    index: int = 0
    delta: _Delta | None = None
    text: str | None = None


class _StreamEvent(msgspec.Struct):
    choices: list[_StreamChoice] = []


_event_decoder = msgspec.json.Decoder(_StreamEvent)
DONE_EVENT = b"[DONE]"


def _text_of(events: list[bytes]) -> str | None:
    texts: list[str] = []
    for data in events:
        if data.strip() == DONE_EVENT:
            continue
        try:
            event = _event_decoder.decode(data)
        except msgspec.MsgspecError:
            return None
        for choice in event.choices:
            text = _choice_text(choice)
            if text is None:
                return None
            texts.append(text)
    return "".join(texts)


def _choice_text(choice: _StreamChoice) -> str | None:
    if choice.index != 0:
        return None
    if choice.delta is None:
        return choice.text or ""
    if choice.delta.tool_calls or choice.delta.function_call:
        return None
    return choice.delta.content or ""
