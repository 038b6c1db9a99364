"""Events that a replica's log takes in, and the actions that it asks for.

The owner carries the actions out in order.  Writes (``SaveState``, ``Truncate``,
``Append``, ``SaveSnapshot``) may wait for a common sync; a ``Send`` with
``after_sync`` goes out only after every write asked for before it is synced, and
then the owner reports :class:`Synced`.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.version.replication.messages import (
    Entry,
    Envelope,
    HardState,
    Member,
    Membership,
    Snapshot,
)


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Received:
    """A peer message has arrived."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class Propose:
    """Commands to append as one batch, each with the owner's number for it."""

    commands: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class Synced:
    """The log is on disk up to the entry with this index and term."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The state machine's bytes after ``index``, as :class:`TakeSnapshot` asked."""

    index: int
    data: bytes


Event = Tick | Received | Propose | Synced | SnapshotTaken


@dataclass(frozen=True, slots=True)
class SaveState:
    """Write the hard state."""

    state: HardState


@dataclass(frozen=True, slots=True)
class Truncate:
    """Drop the entries from ``index`` on."""

    index: int


@dataclass(frozen=True, slots=True)
class Append:
    """Write entries after the last one."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replace snapshot and log on disk by these, atomically."""

    snapshot: Snapshot
    state: HardState
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a peer message to the replica under a name."""

    name: str
    envelope: Envelope
    after_sync: bool


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries to the state machine, in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state machine by a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take the state machine's snapshot now; it stands after ``index``."""

    index: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The proposal stands in the log, not yet committed."""

    number: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The proposal was not taken; ``leader`` may lead."""

    number: int
    leader: Member | None


@dataclass(frozen=True, slots=True)
class MembersCommitted:
    """This membership is committed."""

    membership: Membership


@dataclass(frozen=True, slots=True)
class NoteCommit:
    """Note that entries up to ``index`` are committed.

    Written after every write asked for before it is synced, and not waited for: a note
    that is lost costs time after a restart, nothing else.
    """

    index: int


Write = SaveState | Truncate | Append | SaveSnapshot | NoteCommit
Action = (
    Write
    | Send
    | Apply
    | Restore
    | TakeSnapshot
    | Accepted
    | NotLeader
    | MembersCommitted
)
