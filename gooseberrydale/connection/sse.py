"""Splits a byte stream into server-sent events.

Lives as long as one answer of an upstream.  :class:`SseParser` keeps the data field
alone: the upstreams of our own interface use no other one, and event ids are the
entry's own.  :class:`EventCutter` leaves events as they came.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 4 * 1024 * 1024
DONE = b"[DONE]"


MAX_ID_BYTES = 256


class SseError(ValueError):
    """The bytes are no event stream, or one event is over the limit."""


class SseParser:
    """Feed it chunks as they arrive; it returns the events that became whole."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = b""
        self._lines: list[bytes] = []

    @property
    def pending(self) -> bool:
        """True if the bytes so far end inside an event."""
        return bool(self._rest.strip(b"\r\n") or self._lines)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data fields that ``data`` completes; raise :class:`SseError`."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        events = []
        for line in lines:
            event = self._take_line(line.removesuffix(b"\r"))
            if event is not None:
                events.append(event)
        self._check_size()
        return events

    def _take_line(self, line: bytes) -> bytes | None:
        if line:
            self._take_field(line)
            return None
        if not self._lines:
            return None
        event = b"\n".join(self._lines)
        self._lines = []
        return event

    def _take_field(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        if name == b"data":
            self._lines.append(value.removeprefix(b" "))

    def _check_size(self) -> None:
        size = len(self._rest) + sum(map(len, self._lines))
        if size > self._max_event_bytes:
            raise SseError(f"an event is over {self._max_event_bytes} bytes")


@dataclass(frozen=True, slots=True)
class RawEvent:
    """One whole event as it came, with its blank line, and its id if it has one."""

    data: bytes
    event_id: str | None


class EventCutter:
    """Cuts a byte stream into whole events and leaves their bytes as they are.

    What is left of an event that was never completed stays inside.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that ``data`` completes; raise :class:`SseError`."""
        *whole, self._rest = _BLANK_LINE.split(self._rest + data)
        if len(self._rest) > self._max_event_bytes:
            raise SseError(f"an event is over {self._max_event_bytes} bytes")
        # The pattern keeps each blank line as an item of its own.
        pairs = zip(whole[::2], whole[1::2], strict=True)
        return [RawEvent(text + blank, _event_id(text)) for text, blank in pairs]


_BLANK_LINE = re.compile(rb"(\r\n\r\n|\n\n|\r\r)")


def _event_id(text: bytes) -> str | None:
    for line in text.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and len(value) <= MAX_ID_BYTES:
            return value.removeprefix(b" ").decode("latin-1")
    return None
