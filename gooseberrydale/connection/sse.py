"""Splits a byte stream into server-sent events.

Each answer of an upstream has its own parser.  :class:`SseParser` returns only the data
fields: upstreams with this project's own interface use no other field, and the entry
assigns the event ids itself.  :class:`EventSplitter` returns the events byte for byte,
and :class:`EventTracker` only tells where they end.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 4 * 1024 * 1024
DONE = b"[DONE]"


MAX_ID_BYTES = 256
"""A longer event id is ignored."""


class SseError(ValueError):
    """An event exceeds the size limit."""


class SseParser:
    """Extracts the data fields of complete events from chunks of a stream."""

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._remainder = b""
        self._lines: list[bytes] = []

    @property
    def pending(self) -> bool:
        """Whether the bytes received so far end within an event."""
        return bool(self._remainder.strip(b"\r\n") or self._lines)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data fields of the events that ``data`` completes.

        Raises :class:`SseError` if an event exceeds the size limit.
        """
        *lines, self._remainder = (self._remainder + data).split(b"\n")
        events = []
        for line in lines:
            event = self._parse_line(line.removesuffix(b"\r"))
            if event is not None:
                events.append(event)
        self._check_size()
        return events

    def _parse_line(self, line: bytes) -> bytes | None:
        if line:
            self._parse_field(line)
            return None
        if not self._lines:
            return None
        event = b"\n".join(self._lines)
        self._lines = []
        return event

    def _parse_field(self, line: bytes) -> None:
        name, _, value = line.partition(b":")
        if name == b"data":
            self._lines.append(value.removeprefix(b" "))

    def _check_size(self) -> None:
        size = len(self._remainder) + sum(map(len, self._lines))
        if size > self._max_event_bytes:
            raise SseError(f"an event exceeds {self._max_event_bytes} bytes")


@dataclass(frozen=True, slots=True)
class RawEvent:
    """One complete event.

    ``data`` holds its bytes unchanged, with the blank line that ends it; ``event_id``
    is its id, None if it has none.
    """

    data: bytes
    event_id: str | None

    @property
    def is_comment(self) -> bool:
        """Whether it has no field, so that callers ignore it."""
        lines = self.data.splitlines()
        return all(not line or line.startswith(b":") for line in lines)


class EventSplitter:
    """Splits a byte stream into complete events and leaves their bytes unchanged.

    The bytes of an incomplete event stay buffered.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return self._remainder

    def feed(self, data: bytes) -> list[RawEvent]:
        """Return the events that ``data`` completes.

        Raises :class:`SseError` if an event exceeds the size limit.
        """
        *complete, self._remainder = _BLANK_LINE.split(self._remainder + data)
        if len(self._remainder) > self._max_event_bytes:
            raise SseError(f"an event exceeds {self._max_event_bytes} bytes")
        # The pattern is a group: ``split`` returns each blank line as its own item.
        pairs = zip(complete[::2], complete[1::2], strict=True)
        return [RawEvent(text + blank, _event_id(text)) for text, blank in pairs]


class EventTracker:
    """Follows a byte stream: ``inside`` is whether its last byte is within an event.

    ``started`` is whether any event has started, ``completed`` whether one is complete.
    Comments outside of events belong to
    none.  No bytes of the stream are stored.
    """

    def __init__(self) -> None:
        self.inside = False
        self.started = False
        self.completed = False
        self._at_line_start = True
        self._after_cr = False

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the stream."""
        if not data:
            return
        # A CRLF that is split between two chunks ends one line, not two.
        rest = data[1:] if self._after_cr and data.startswith(b"\n") else data
        self._after_cr = data.endswith(b"\r")
        for piece in rest.splitlines(keepends=True):
            self._feed_line(piece)

    def _feed_line(self, piece: bytes) -> None:
        """Take a line, or the part of one that has arrived."""
        text = piece.rstrip(b"\r\n")
        ends = len(text) < len(piece)
        if self._at_line_start:
            if text:
                self.inside = self.inside or not text.startswith(b":")
                self.started = self.started or self.inside
            else:
                self.completed = self.completed or self.inside
                self.inside = False
        self._at_line_start = ends


_BLANK_LINE = re.compile(rb"(\r\n\r\n|\n\n|\r\r)")


def _event_id(text: bytes) -> str | None:
    for line in text.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and len(value) <= MAX_ID_BYTES:
            return value.removeprefix(b" ").decode("latin-1")
    return None
