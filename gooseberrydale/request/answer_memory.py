"""Bounds what an entry holds of answers.

An answer that is not a stream is held until it is complete, so that another attempt can
replace it.  The text of a stream is held so that another upstream can continue it, and
answers under an Idempotency-Key until they are recorded.  There is one
:class:`AnswerMemory` per process.  Pure.
"""

from __future__ import annotations

EVENT_BYTES = 64
"""What an event takes in memory beside its bytes."""

SMALL_BYTES = 256 * 1024
"""An answer up to this size may use all of the memory."""

LARGE_FRACTION = 0.75
"""Fraction of the memory that larger answers may fill, so that there is always room for
small ones."""


class AnswerMemory:
    """The bytes held of all answers of a process.

    All together may have ``max_bytes``, and each of them ``max_answer_bytes``.
    """

    def __init__(self, max_answer_bytes: int, max_bytes: int) -> None:
        self.max_answer_bytes = max_answer_bytes
        self._max_bytes = max_bytes
        self.held = 0

    def begin(self) -> HeldAnswer:
        """Return an account for one answer; ``close`` it when the answer ends."""
        return HeldAnswer(self)

    def take(self, size: int, *, small: bool) -> bool:
        """Hold ``size`` more bytes; return False if there is no room for them."""
        limit = self._max_bytes if small else self._max_bytes * LARGE_FRACTION
        if self.held + size > limit:
            return False
        self.held += size
        return True

    def give_back(self, size: int) -> None:
        """Hold ``size`` bytes less."""
        self.held -= size


class HeldAnswer:
    """The bytes that are held of one answer."""

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._size = 0

    @property
    def max_bytes(self) -> int:
        """The most that may be held of it."""
        return self._memory.max_answer_bytes

    def fits(self, size: int) -> bool:
        """Whether the answer may have ``size`` more bytes, if there is room."""
        return self._size + size <= self.max_bytes

    def take(self, size: int) -> bool:
        """Hold ``size`` more bytes; return False if they don't fit or have no room."""
        small = self._size + size <= SMALL_BYTES
        if not self.fits(size) or not self._memory.take(size, small=small):
            return False
        self._size += size
        return True

    def close(self) -> None:
        """Hold nothing of it any more."""
        self._memory.give_back(self._size)
        self._size = 0
