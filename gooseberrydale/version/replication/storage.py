"""What keeps a replica's log across restarts: the protocol and its errors.

Lives as long as the process; what it keeps lives as long as the disk.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from gooseberrydale.errors import ProblemError
from gooseberrydale.version.replication.messages import Entry, HardState, Snapshot


class StorageError(ProblemError):
    """The storage can't do what was asked."""


class DiskFullError(StorageError):
    """Out of space; nothing is lost, the same call may be made again."""


class DiskDamagedError(StorageError):
    """Synced data doesn't fit its checksum; the disk counts as lost."""


class DiskFailedError(StorageError):
    """The system refused an operation; the disk counts as lost."""


class Storage(Protocol):
    """Writes are collected; nothing may be acknowledged before ``sync`` returns.

    After :class:`DiskFullError` everything collected is kept for the next try.
    """

    def append(self, entries: Sequence[Entry]) -> None:
        """Collect entries that follow the last one."""
        ...

    def truncate(self, index: int) -> None:
        """Collect the removal of the entries from ``index`` on."""
        ...

    def note_commit(self, index: int) -> None:
        """Collect a note of what is committed; it need not survive."""
        ...

    def write_note(self) -> None:
        """Put the note on disk; call it only after a ``sync``."""
        ...

    def save_state(self, state: HardState) -> None:
        """Collect the hard state."""
        ...

    def sync(self) -> None:
        """Put everything collected on disk, with one sync."""
        ...

    def save_snapshot(
        self, snapshot: Snapshot, state: HardState, entries: Sequence[Entry]
    ) -> None:
        """Replace all that is stored, atomically and synced."""
        ...

    def close(self) -> None:
        """Close the files; what was not synced is forgotten."""
        ...
