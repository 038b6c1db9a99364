"""The protocol of the storage that retains a replica's log across restarts."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from gooseberrydale.errors import ProblemError
from gooseberrydale.version.replication.messages import Entry, HardState, Snapshot


class StorageError(ProblemError):
    """Base class of storage errors."""


class DiskFullError(StorageError):
    """The disk is full; nothing is lost and the same call may be repeated."""


class DiskDamagedError(StorageError):
    """Synced data has a wrong checksum; the disk must be treated as lost."""


class DiskFailedError(StorageError):
    """The system failed an operation; the disk must be treated as lost."""


class Storage(Protocol):
    """Buffers writes until ``sync``; acknowledge them only after it returns.

    After :class:`DiskFullError` all buffered writes are retained for the next ``sync``.
    """

    def append(self, entries: Sequence[Entry]) -> None:
        """Buffer entries to append to the log."""
        ...

    def truncate(self, index: int) -> None:
        """Buffer the removal of the entries from ``index`` on."""
        ...

    def note_commit(self, index: int) -> None:
        """Record the commit index for ``write_note``; it may be lost in a crash."""
        ...

    def write_note(self) -> None:
        """Write the recorded commit index to disk; call only after ``sync``."""
        ...

    def save_state(self, state: HardState) -> None:
        """Buffer the hard state."""
        ...

    def sync(self) -> None:
        """Write everything buffered to disk, with one sync."""
        ...

    def save_snapshot(
        self, snapshot: Snapshot, state: HardState, entries: Sequence[Entry]
    ) -> None:
        """Replace the snapshot and the log; both are synced."""
        ...

    def close(self) -> None:
        """Close the files; what was not synced is discarded."""
        ...
