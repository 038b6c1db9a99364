"""Input events of a replica's Raft node, and the actions that it returns.

The owner of the node executes the actions in order.  Writes (``SaveState``,
``Truncate``, ``Append``, ``SaveSnapshot``) may be batched for one sync.  A ``Send``
with ``after_sync`` must wait until all writes requested before it are synced.  After a
sync the owner reports :class:`Synced`.
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
    """Commands to append as one batch, each with a number that the owner assigned."""

    commands: tuple[tuple[int, bytes], ...]


@dataclass(frozen=True, slots=True)
class Synced:
    """The log is on disk up to the entry with this index and term."""

    index: int
    term: int


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """The encoded state machine after ``index``, requested by :class:`TakeSnapshot`."""

    index: int
    data: bytes


Event = Tick | Received | Propose | Synced | SnapshotTaken


@dataclass(frozen=True, slots=True)
class SaveState:
    """Write the hard state."""

    state: HardState


@dataclass(frozen=True, slots=True)
class Truncate:
    """Remove the entries from ``index`` on."""

    index: int


@dataclass(frozen=True, slots=True)
class Append:
    """Write entries at the end of the log."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Replace the snapshot and the log on disk atomically."""

    snapshot: Snapshot
    state: HardState
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Send:
    """Send a peer message to the replica with this name."""

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
    """Take a snapshot of the state machine, which has applied up to ``index``."""

    index: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The proposal was appended to the log; it is not committed yet."""

    number: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The proposal was refused; ``leader`` is the leader, if one is known."""

    number: int
    leader: Member | None


@dataclass(frozen=True, slots=True)
class MembersCommitted:
    """This membership is committed; the entry ``index`` of the log set it."""

    index: int
    membership: Membership


@dataclass(frozen=True, slots=True)
class NoteCommit:
    """Write a note that entries up to ``index`` are committed.

    It is written after all writes requested before it are synced, and nothing waits
    for it: a lost note only makes the next restart take longer.
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
