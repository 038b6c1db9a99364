"""Collects an answer in the form in which it is recorded under its Idempotency-Key.

There is one recorder per request.  A streamed answer is recorded as the text of its
event stream, so a resend gets it in the form that the first caller asked for.  One that
the process can't hold is not recorded.
"""

from __future__ import annotations

from gooseberrydale.request.answer_memory import EVENT_BYTES, HeldAnswer
from gooseberrydale.request.job import Events, Head, Part

STREAM_HEADERS = (("content-type", "text/event-stream; charset=utf-8"),)
DONE_TEXT = b"data: [DONE]\n\n"


class Recorder:
    """Collects the parts of one answer; ``held`` counts them."""

    def __init__(self, held: HeldAnswer) -> None:
        self._held = held
        self._head: Head | None = None
        self._parts: list[bytes] = []
        self._is_whole = True

    @property
    def is_streamed(self) -> bool:
        """Whether the answer is an event stream."""
        return self._head is not None and self._head.streamed

    @property
    def is_whole(self) -> bool:
        """Whether everything that was added is held."""
        return self._is_whole

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
            self._hold([template % event for event in part.events])

    def close(self) -> None:
        """Drop what is held."""
        self._parts.clear()
        self._held.close()

    def _hold(self, parts: list[bytes]) -> None:
        size = sum(map(len, parts)) + EVENT_BYTES * len(parts)
        if self._is_whole and self._held.take(size):
            self._parts += parts
        else:
            self._is_whole = False
            self.close()
