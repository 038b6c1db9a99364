"""Keeps the events of one answer, so that a reader may come back at an offset.

Lives from the start of an attempt until a while after its end.  Pure: it holds no
task and reads no clock.  What the reader has not taken is never dropped; the writer
is told to wait instead.  What it has taken is kept up to a limit of bytes.
"""

from __future__ import annotations

from collections import deque

from gooseberrydale.errors import InvariantError

MAX_BATCH_BYTES = 256 * 1024


class ReplayLog:
    """Events with consecutive offsets, the oldest of which may be gone."""

    def __init__(self, first_offset: int, max_bytes: int) -> None:
        self._events: deque[bytes] = deque()
        self._first = first_offset
        self._taken = first_offset
        self._max_bytes = max_bytes
        self._bytes = 0
        self._untaken_bytes = 0

    @property
    def first(self) -> int:
        """Offset of the oldest event that is still kept."""
        return self._first

    @property
    def end(self) -> int:
        """Offset of the next event to come."""
        return self._first + len(self._events)

    @property
    def full(self) -> bool:
        """True while the writer has to wait for the reader."""
        return self._untaken_bytes >= self._max_bytes

    def append(self, event: bytes) -> None:
        """Add the next event."""
        self._events.append(event)
        self._bytes += len(event)
        self._untaken_bytes += len(event)
        self._trim()

    def holds(self, offset: int) -> bool:
        """True if a reader may go on at ``offset``."""
        return self._first <= offset <= self.end

    def rewind(self, offset: int) -> None:
        """Let the reader go on at ``offset``, which must be held."""
        if not self.holds(offset):
            raise InvariantError(f"offset {offset} is not in {self._first}..{self.end}")
        self._taken = offset
        skip = offset - self._first
        self._untaken_bytes = sum(
            len(event) for i, event in enumerate(self._events) if i >= skip
        )

    def take(self) -> tuple[int, tuple[bytes, ...]]:
        """Return the reader's offset and the events from there, in one batch."""
        offset = self._taken
        batch: list[bytes] = []
        size = 0
        for index in range(offset - self._first, len(self._events)):
            batch.append(self._events[index])
            size += len(batch[-1])
            if size >= MAX_BATCH_BYTES:
                break
        self._taken += len(batch)
        self._untaken_bytes -= size
        self._trim()
        return offset, tuple(batch)

    def _trim(self) -> None:
        while self._bytes > self._max_bytes and self._first < self._taken:
            self._bytes -= len(self._events.popleft())
            self._first += 1
