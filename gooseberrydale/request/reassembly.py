"""Puts the frames of an answer into order, whatever way they come.

Only frames of the current request, attempt and incarnation count; all others are
dropped and counted.  Events leave strictly by offset 0, 1, 2, ...: repeated ones are
dropped, a gap is answered with :class:`NeedAttach`, and an end at another offset
than the count of delivered events is no clean end.  Pure; lives for one request.
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


@dataclass(frozen=True, slots=True)
class Start:
    """The answer begins: its status and headers; given once."""

    status: int
    headers: tuple[tuple[str, str], ...]
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class Deliver:
    """Events for the caller; ``offset`` is that of the first one."""

    offset: int
    events: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class NeedAttach:
    """Events from ``offset`` on are missing: attach again there."""

    offset: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The answer is whole: the caller may get its clean end."""


@dataclass(frozen=True, slots=True)
class Broken:
    """This attempt brings no more; ``refused`` means before any answer."""

    problem: Problem
    refused: bool = False


Action = Start | Deliver | NeedAttach | Finished | Broken


@dataclass(slots=True)
class FrameCounts:
    """What was dropped, in frames (``foreign``, ``late``) and events."""

    foreign: int = 0
    late: int = 0
    repeated_events: int = 0
    gaps: int = 0


class Reassembly:
    """The answer to one request, over all its attempts.

    ``begin`` names the attempt whose frames count from then on.  ``first_offset`` is
    that of the first event wanted, if the caller has the earlier ones.
    """

    def __init__(self, request_id: str, first_offset: int = 0) -> None:
        self._request_id = request_id
        self._first_offset = first_offset
        self._attempt = 0
        self._incarnation = ""
        self._events: list[bytes] = []
        self._started = False
        self._ended = False
        self._broken = False
        self._waits_for_attach = False
        self.counts = FrameCounts()

    @property
    def next_offset(self) -> int:
        """Offset of the next event, which is the count of those delivered."""
        return self._first_offset + len(self._events)

    @property
    def started(self) -> bool:
        """Whether status and headers were given."""
        return self._started

    @property
    def finished(self) -> bool:
        """Whether the answer is whole."""
        return self._ended

    def begin(self, attempt: int, incarnation: str) -> int:
        """Take frames of this attempt from now on; return the first offset wanted."""
        self._attempt = attempt
        self._incarnation = incarnation
        self._broken = False
        self._waits_for_attach = False
        return self.next_offset

    def attached(self) -> None:
        """Say that the stream was attached again at ``next_offset``."""
        self._waits_for_attach = False

    def feed(self, frame: Frame) -> tuple[Action, ...]:
        """Take one frame; return what follows from it, in order."""
        if not self._is_current(frame):
            self.counts.foreign += 1
            return ()
        if self._ended or self._broken:
            self.counts.late += 1
            return ()
        if isinstance(frame, Heartbeat):
            return ()
        if isinstance(frame, Accepted):
            return self._on_accepted(frame)
        if isinstance(frame, Refused):
            return self._break(frame.problem, refused=True)
        if isinstance(frame, Chunk):
            return self._on_chunk(frame)
        if isinstance(frame, End):
            return self._on_end(frame)
        return self._on_failed(frame)

    def emitted_text(self) -> str | None:
        """Return the text delivered so far, or None if it can't be continued."""
        if self._first_offset:
            return None
        return _text_of(self._events)

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
        known = self.next_offset - frame.offset
        if known < 0 or not self._started:
            return self._gap()
        self.counts.repeated_events += min(known, len(frame.events))
        fresh = frame.events[known:]
        if not fresh:
            return ()
        return (self._deliver(self.next_offset, fresh),)

    def _deliver(self, offset: int, events: tuple[bytes, ...]) -> Deliver:
        if offset != self.next_offset or self._ended:
            raise InvariantError(f"event {offset} delivered at {self.next_offset}")
        self._events.extend(events)
        self._waits_for_attach = False
        return Deliver(offset, events)

    def _on_end(self, frame: End) -> tuple[Action, ...]:
        if frame.offset > self.next_offset or not self._started:
            return self._gap()
        if frame.offset < self.next_offset:
            return self._break(_contradiction())
        self._ended = True
        return (Finished(),)

    def _on_failed(self, frame: Failed) -> tuple[Action, ...]:
        if frame.offset > self.next_offset:
            return self._gap()
        return self._break(frame.problem)

    def _break(self, why: Problem, refused: bool = False) -> tuple[Action, ...]:
        self._broken = True
        return (Broken(why, refused),)

    def _gap(self) -> tuple[Action, ...]:
        """Ask once; what follows on the same connection shows the same gap."""
        if self._waits_for_attach:
            return ()
        self._waits_for_attach = True
        self.counts.gaps += 1
        return (NeedAttach(self.next_offset),)


def _contradiction() -> Problem:
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
    parts: list[str] = []
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
            parts.append(text)
    return "".join(parts)


def _choice_text(choice: _StreamChoice) -> str | None:
    if choice.index != 0:
        return None
    if choice.delta is None:
        return choice.text or ""
    if choice.delta.tool_calls or choice.delta.function_call:
        return None
    return choice.delta.content or ""
