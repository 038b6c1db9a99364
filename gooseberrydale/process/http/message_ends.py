"""Cuts received bytes where a request may end, so that requests are read one at a time.

The parser does not say where a request ended within the bytes that it was given.  So it
is given sections of them: up to the end of a head, the bytes of a body with a length,
and in a chunked body up to the next empty line after one that may be its last chunk.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"

EMPTY_LINE = re.compile(rb"\n\r?\n")
"""Ends a head, a chunked body without trailers, and the trailers of one."""

LAST_CHUNK = re.compile(rb"\n0")
"""Precedes the last chunk of a body, whose size is written with zeros.  Without it each
empty line within a chunk would be the end of a section."""

ZERO = ord("0")

TAIL_BYTES = 2
"""Bytes of an empty line that a section may lack at its end."""

Headers = Iterable[tuple[bytes, bytes]]


class MessageEnds:
    """Where the requests of one connection may end."""

    def __init__(self) -> None:
        self._body_bytes: int | None = None
        self._is_chunked = False
        self._may_end = False
        self._tail = b""

    def head_complete(self, headers: Headers) -> int:
        """Note how the body is framed; ``headers`` have names in lower case.

        Returns the announced bytes of the body, 0 if there are none or if it is
        chunked.
        """
        fields = dict(headers)
        length = fields.get(CONTENT_LENGTH, b"")
        self._is_chunked = TRANSFER_ENCODING in fields
        is_sized = not self._is_chunked and length.isdigit()
        self._body_bytes = int(length) if is_sized else None
        return self._body_bytes or 0

    def message_complete(self) -> None:
        """Note that a new head follows."""
        self._body_bytes = None
        self._is_chunked = self._may_end = False
        self._tail = b""

    def section(self, data: memoryview) -> int:
        """Return how many bytes of ``data`` to parse next, at least one."""
        if self._body_bytes:
            size = min(self._body_bytes, len(data))
            self._body_bytes -= size
            return size
        size = self._to_end(data) or len(data)
        self._tail = (self._tail + bytes(data[max(0, size - TAIL_BYTES) : size]))[
            -TAIL_BYTES:
        ]
        return size

    def _to_end(self, data: memoryview) -> int:
        """Return how many bytes go up to a possible end, 0 if there is none."""
        if not self._is_chunked:
            return self._to_empty_line(data)
        if self._may_end:
            size = self._to_empty_line(data)
        else:
            size = self._to_end_after_last_chunk(data)
        if size:
            self._may_end = False
        return size

    def _to_end_after_last_chunk(self, data: memoryview) -> int:
        if self._tail.endswith(b"\n") and data[0] == ZERO:
            begin = 0
        elif found := LAST_CHUNK.search(data):
            begin = found.end()
        else:
            return 0
        self._may_end = True
        found = EMPTY_LINE.search(data, begin)
        return 0 if found is None else found.end()

    def _to_empty_line(self, data: memoryview) -> int:
        if self._tail:
            # The empty line may have begun in the section before.
            start = self._tail + bytes(data[:TAIL_BYTES])
            if found := EMPTY_LINE.search(start):
                return max(1, found.end() - len(self._tail))
        found = EMPTY_LINE.search(data)
        return 0 if found is None else found.end()
