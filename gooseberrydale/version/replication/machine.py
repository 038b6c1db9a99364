"""What the replicated log drives.  Lives as long as the process."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """State that follows from the committed commands alone.

    Every replica applies the same commands in the same order, so nothing here may
    read a clock, random numbers or IO.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command; the answer goes to its proposer."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the whole state by what ``snapshot`` returned."""
        ...
