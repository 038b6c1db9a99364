"""Bounds what a process holds of answers that it has not begun to forward.

An answer without events is held until it is complete, so that the request can be sent
again if the answer breaks off.  There is one object per process.
"""

from __future__ import annotations

MAX_ANSWER_BYTES = 256 * 1024
"""Most of one answer that is held; answers of services have some kilobytes."""

MAX_BYTES = 16 * 1024 * 1024
"""Most of all answers together: enough for thousands of ordinary ones, and a fraction
of the memory of the smallest node."""


class BufferedAnswers:
    """The bytes held of all answers of a process, at most ``max_bytes``."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self.held = 0

    def begin(self) -> BufferedAnswer:
        """Return the buffer of one answer; ``close`` it when the answer ends."""
        return BufferedAnswer(self)

    def take(self, size: int) -> bool:
        """Hold ``size`` more bytes; return False if there is no room for them."""
        if self.held + size > self._max_bytes:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Hold ``size`` bytes less."""
        self.held -= size


class BufferedAnswer:
    """What is held of one answer."""

    def __init__(self, account: BufferedAnswers) -> None:
        self._account = account
        self._chunks: list[bytes] = []
        self._size = 0
        self._counted = 0

    def add(self, data: bytes) -> bool:
        """Hold ``data``; return False if the answer has to be forwarded now."""
        self._chunks.append(data)
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES or not self._account.take(len(data)):
            return False
        self._counted += len(data)
        return True

    def take_all(self) -> bytes:
        """Return what is held and drop it."""
        data = b"".join(self._chunks)
        self.close()
        return data

    def close(self) -> None:
        """Drop what is held."""
        self._account.give_back(self._counted)
        self._chunks.clear()
        self._size = self._counted = 0
