"""Bounds on the bytes of a response that are not its body.

An upstream that is broken may send a part of a response without end: a header, interim
responses, the size of a chunk, a trailer.  Parsers report most parts only once they are
complete, so the received bytes themselves are counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from gooseberrydale.errors import RESPONSE_TOO_LONG, problem
from gooseberrydale.log_events import ResponseTooLong, emit

MAX_HEAD_BYTES = 64 * 1024
"""Most bytes of the heads that answer one request: interim responses and responses to
earlier requests count too.  Sound ones have a few kilobytes."""

FIELD_OVERHEAD_BYTES = 32
"""What a field counts beyond its bytes, as in RFC 9113, section 6.5.2: many short ones
take far more memory and time than their bytes."""

MAX_FRAMING_BYTES = 64 * 1024
"""Most bytes of chunk framing and trailers without a byte of the body between them."""

FRAMING_BYTES_PER_BODY_BYTE = 16
"""Most framing for each byte of the body, beyond ``MAX_FRAMING_BYTES``.  A chunk of one
byte has five bytes of framing."""

FORWARDED = "forwarded"
"""The kind of all requests of callers, whose targets are without number."""

_counts: Counter[str] = Counter()


class ResponseBounds:
    """Counts the bytes that answer one request to ``call``.

    A body that is read into memory has at most ``max_body_bytes``; one that is passed
    on has no bound.  ``excess`` says which bound was exceeded, after which the
    connection has to be reset; it is None while all bounds hold.
    """

    def __init__(
        self, call: str, max_body_bytes: int | None = None, kind: str = ""
    ) -> None:
        """``kind`` is what a response that is too long is counted by.

        By default this is the call without its query.
        """
        self._call = call
        self._kind = kind
        self._max_body_bytes = max_body_bytes
        self._head_bytes = 0
        self._field_bytes = 0
        self._framing_bytes = 0
        self._since_body = 0
        self._body_bytes = 0
        self._in_head = True
        self.excess: str | None = None

    def head_began(self) -> None:
        """The next response begins; its head adds to the heads before it."""
        self._in_head = True

    def head_ended(self) -> None:
        """The head of a final response is complete."""
        self._in_head = False

    def add_field(self, size: int) -> bool:
        """Count a header or trailer of ``size`` bytes; return whether bounds hold."""
        self._field_bytes += size + FIELD_OVERHEAD_BYTES
        self._check("head", MAX_HEAD_BYTES, self._field_bytes)
        return self.excess is None

    def add_read(self, received: int, body: int) -> bool:
        """Count bytes that were read at once, ``body`` of them of the body.

        Return whether the bounds hold.
        """
        if self._in_head:
            self._head_bytes += received
            self._check("head", MAX_HEAD_BYTES, self._head_bytes)
            return self.excess is None
        framing = received - body
        self._framing_bytes += framing
        self._body_bytes += body
        # The order within one read isn't known; the next read shows if it goes on.
        self._since_body = 0 if body else self._since_body + framing
        self._check("framing", MAX_FRAMING_BYTES, self._since_body)
        limit = MAX_FRAMING_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        self._check("framing", limit, self._framing_bytes)
        if self._max_body_bytes is not None:
            self._check("body", self._max_body_bytes, self._body_bytes)
        return self.excess is None

    def _check(self, part: str, limit: int, received: int) -> None:
        if received > limit and self.excess is None:
            self.excess = report_excess(self._call, part, limit, received, self._kind)


def report_excess(
    call: str, part: str, limit: int, received: int, kind: str = ""
) -> str:
    """Log and count that a part of a response is longer than its bound.

    It is counted by ``kind``, or by ``call`` without its query. Returns the reason.
    """
    _counts[kind or call.partition("?")[0]] += 1
    emit(ResponseTooLong(call, part, limit, received))
    return problem(RESPONSE_TOO_LONG, part=part, limit=limit).message


def responses_too_long() -> Mapping[str, int]:
    """How many responses to each kind of call this process has reset."""
    return _counts
