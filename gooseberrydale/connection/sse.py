"""Splits a byte stream into server-sent events.

Lives as long as one answer of an upstream.  Only the data field is kept: the
upstreams of this interface use no other one.  Event ids are the entry's own.
"""

from __future__ import annotations

MAX_EVENT_BYTES = 4 * 1024 * 1024
DONE = b"[DONE]"


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
