"""Buffers the events of one answer, so that a reader can attach again at an offset.

There is one log per attempt; it is kept for some time after the attempt ends.  Pure: no
tasks and no clock.  Events that the reader has not read are never dropped; the writer
must wait instead.  Events that it has read are retained up to a limit of bytes.
"""

from __future__ import annotations

from collections import deque

from gooseberrydale.errors import InvariantError

MAX_BATCH_BYTES = 256 * 1024


class ReplayLog:
    """Events with consecutive offsets; the oldest ones may have been dropped.

    Each event counts for ``event_bytes`` beside its own.
    """

    def __init__(self, first_offset: int, max_bytes: int, event_bytes: int = 0) -> None:
        self._event_bytes = event_bytes
        self._events: deque[bytes] = deque()
        self._first = first_offset
        self._read_offset = first_offset
        self._max_bytes = max_bytes
        self._bytes = 0
        self._unread_bytes = 0

    @property
    def first(self) -> int:
        """Offset of the oldest event that is retained."""
        return self._first

    @property
    def end(self) -> int:
        """Offset of the next event to be appended."""
        return self._first + len(self._events)

    @property
    def full(self) -> bool:
        """Whether the writer has to wait for the reader."""
        return self._unread_bytes >= self._max_bytes

    def append(self, event: bytes) -> None:
        """Add the next event."""
        self._events.append(event)
        self._bytes += self._size(event)
        self._unread_bytes += self._size(event)
        self._trim()

    def holds(self, offset: int) -> bool:
        """Whether a reader can continue at ``offset``."""
        return self._first <= offset <= self.end

    def rewind(self, offset: int) -> None:
        """Continue reading at ``offset``, which must be retained."""
        if not self.holds(offset):
            raise InvariantError(
                f"can't rewind to {offset}: the log has {self._first}..{self.end}"
            )
        self._read_offset = offset
        skip = offset - self._first
        self._unread_bytes = sum(
            self._size(event) for i, event in enumerate(self._events) if i >= skip
        )

    def take(self) -> tuple[int, tuple[bytes, ...]]:
        """Return the read offset and the next batch of events, and advance past it."""
        offset = self._read_offset
        batch: list[bytes] = []
        size = 0
        for index in range(offset - self._first, len(self._events)):
            batch.append(self._events[index])
            size += self._size(batch[-1])
            if size >= MAX_BATCH_BYTES:
                break
        self._read_offset += len(batch)
        self._unread_bytes -= size
        self._trim()
        return offset, tuple(batch)

    def _trim(self) -> None:
        while self._bytes > self._max_bytes and self._first < self._read_offset:
            self._bytes -= self._size(self._events.popleft())
            self._first += 1

    def _size(self, event: bytes) -> int:
        return len(event) + self._event_bytes
