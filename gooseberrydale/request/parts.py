"""Builds the parts of an answer for the caller from the ordered events.

There is one builder per request, used by all its attempts.  Events of a stream are
delivered at once.  Any other answer is buffered until it is complete, so another
attempt can still replace it, as far as the process can hold it.
"""

from __future__ import annotations

from gooseberrydale.errors import (
    ANSWER_TOO_LARGE,
    ANSWERS_HOLD_TOO_MUCH,
    InvariantError,
    ProblemError,
    problem,
)
from gooseberrydale.request.answer_memory import HeldAnswer
from gooseberrydale.request.job import Events, Head, Part
from gooseberrydale.request.reassembly import DONE_EVENT, Deliver, Start
from gooseberrydale.request.rewrite import Rewriter

STATUS_OK = 200
RETRY_AFTER_S = 1.0
"""Answers of ordinary size are usually passed on within it."""


class PartBuilder:
    """Builds the parts of one answer.

    ``profile`` is the name to write into the answer; if empty, an unstreamed answer is
    not rewritten.  ``wants_stream`` says that the caller asked for a stream.  ``held``
    counts what is buffered.
    """

    def __init__(
        self, request_id: str, profile: str, wants_stream: bool, held: HeldAnswer
    ) -> None:
        self._request_id = request_id
        self._profile = profile
        self._wants_stream = wants_stream
        self._rewriter = Rewriter(request_id, profile)
        self._head: Head | None = None
        self._buffered = bytearray()
        self._held = held
        self._source = ("", "")
        self._delivered = False

    @property
    def delivered(self) -> bool:
        """Whether a part of the answer was delivered to the caller."""
        return self._delivered

    @property
    def resumable(self) -> bool:
        """Whether another upstream can continue from the delivered text alone."""
        return self._rewriter.resumable

    @property
    def text_finished(self) -> bool:
        """Whether the engine reported that its text is complete."""
        return self._rewriter.finished

    def begin(self, upstream: str, incarnation: str) -> None:
        """Begin an attempt at a sidecar; drops what is buffered but not delivered."""
        self._source = (upstream, incarnation)
        if not self._delivered:
            self._head = None
            self.close()

    def start(self, action: Start) -> None:
        """Take the status and headers of the answer."""
        streamed = self._wants_stream and action.status == STATUS_OK
        self._head = Head(action.status, action.headers, streamed)

    def deliver(self, action: Deliver) -> list[Part]:
        """Take the next events; return the parts to deliver to the caller now.

        Raises :class:`ProblemError` if they are more than can be held.
        """
        if not self._is_streamed:
            self._buffer(action.events)
            return []
        events = [e for e in action.events if e.strip() != DONE_EVENT]
        rewritten = tuple(self._rewriter.event(event) for event in events)
        return [*self._undelivered_head(), self._events(action.offset, rewritten)]

    def finish(self) -> list[Part]:
        """Take the end of the complete answer; return the parts to deliver now."""
        parts = self._undelivered_head()
        if not self._is_streamed:
            body = bytes(self._buffered)
            self._buffered = bytearray()
            body = self._rewriter.body(body) if self._profile else body
            parts.append(self._events(0, (body,)))
        return parts

    def close(self) -> None:
        """Drop what is buffered."""
        self._buffered = bytearray()
        self._held.close()

    def _buffer(self, events: tuple[bytes, ...]) -> None:
        size = sum(map(len, events))
        if self._held.take(size):
            self._buffered.extend(b"".join(events))
            return
        if self._held.fits(size):
            why = problem(
                ANSWERS_HOLD_TOO_MUCH, not_run=False, retry_after_s=RETRY_AFTER_S
            )
        else:
            limit = self._held.max_bytes
            why = problem(ANSWER_TOO_LARGE, not_run=False, limit=limit)
        raise ProblemError(why)

    @property
    def _is_streamed(self) -> bool:
        return self._head is not None and self._head.streamed

    def _undelivered_head(self) -> list[Part]:
        if self._delivered:
            return []
        if self._head is None:
            raise InvariantError(
                f"request {self._request_id}: events arrived before a head"
            )
        self._delivered = True
        return [self._head]

    def _events(self, offset: int, events: tuple[bytes, ...]) -> Events:
        return Events(*self._source, offset, events)
