"""The protocol of the state machine that the replicated log is applied to."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """State that is determined by the committed commands only.

    All replicas apply the same commands in the same order and must reach the same
    state, so methods must not use a clock, random numbers or IO.
    """

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command; return the reply to its proposer."""
        ...

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state by one that ``snapshot`` returned."""
        ...
