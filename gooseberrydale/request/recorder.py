"""Collects an answer in the form in which it is recorded under its Idempotency-Key.

There is one recorder per request.  A streamed answer is recorded as the text of its
event stream, so a resend gets it in the form that the first caller asked for.
"""

from __future__ import annotations

from gooseberrydale.request.job import Events, Head, Part

STREAM_HEADERS = (("content-type", "text/event-stream; charset=utf-8"),)
DONE_TEXT = b"data: [DONE]\n\n"


class Recorder:
    """Collects the parts of one answer."""

    def __init__(self) -> None:
        self._head: Head | None = None
        self._parts: list[bytes] = []

    @property
    def is_streamed(self) -> bool:
        """Whether the answer is an event stream."""
        return self._head is not None and self._head.streamed

    @property
    def status(self) -> int:
        """HTTP status of the answer; 0 before its head."""
        return 0 if self._head is None else self._head.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Headers to record."""
        if self._head is None:
            return ()
        return STREAM_HEADERS if self._head.streamed else self._head.headers

    @property
    def body(self) -> bytes:
        """Body to record."""
        end_marker = DONE_TEXT if self.is_streamed else b""
        return b"".join(self._parts) + end_marker

    def add(self, part: Part) -> None:
        """Add the next part of the answer."""
        if isinstance(part, Head):
            self._head = part
        elif isinstance(part, Events):
            template = b"data: %b\n\n" if self.is_streamed else b"%b"
            self._parts.extend(template % event for event in part.events)
