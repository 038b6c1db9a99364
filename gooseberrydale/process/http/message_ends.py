"""Cuts received bytes where a request may end, so that requests are read one at a time.

The parser does not say where a request ended within the bytes that it was given.  So it
is given sections of them: up to the end of a head, the bytes of a body with a length,
and in a chunked body up to the next empty line.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"

EMPTY_LINE = re.compile(rb"\n\r?\n")
"""Ends a head, a chunked body without trailers, and the trailers of one."""

TAIL_BYTES = 2
"""Bytes of an empty line that a section may lack at its end."""

Headers = Iterable[tuple[bytes, bytes]]


class MessageEnds:
    """Where the requests of one connection may end."""

    def __init__(self) -> None:
        self._body_bytes: int | None = None
        self._tail = b""

    def head_complete(self, headers: Headers) -> int:
        """Note how the body is framed; ``headers`` have names in lower case.

        Returns the announced bytes of the body, 0 if there are none or if it is
        chunked.
        """
        fields = dict(headers)
        length = fields.get(CONTENT_LENGTH, b"")
        is_sized = TRANSFER_ENCODING not in fields and length.isdigit()
        self._body_bytes = int(length) if is_sized else None
        return self._body_bytes or 0

    def message_complete(self) -> None:
        """Note that a new head follows."""
        self._body_bytes = None
        self._tail = b""

    def section(self, data: memoryview) -> int:
        """Return how many bytes of ``data`` to parse next, at least one."""
        if self._body_bytes:
            size = min(self._body_bytes, len(data))
            self._body_bytes -= size
            return size
        size = self._to_empty_line(data)
        self._tail = (self._tail + bytes(data[max(0, size - TAIL_BYTES) : size]))[
            -TAIL_BYTES:
        ]
        return size

    def _to_empty_line(self, data: memoryview) -> int:
        if self._tail:
            # The empty line may have begun in the section before.
            start = self._tail + bytes(data[:TAIL_BYTES])
            if found := EMPTY_LINE.search(start):
                return max(1, found.end() - len(self._tail))
        found = EMPTY_LINE.search(data)
        return len(data) if found is None else found.end()
