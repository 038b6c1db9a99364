"""What replicas store and send: members, entries, snapshots and peer messages.

Indexes and terms count from 1; 0 stands for "before the first".  The messages live
for one exchange, entries and snapshots for as long as the log.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gooseberrydale.connection.codec import message


@message
@dataclass(frozen=True, slots=True)
class Member:
    """A replica: its configured name, and the random identity on its disk."""

    name: str
    identity: str


@message
@dataclass(frozen=True, slots=True)
class Membership:
    """The replicas that vote."""

    members: tuple[Member, ...] = ()

    @property
    def quorum(self) -> int:
        """How many members make a majority."""
        return len(self.members) // 2 + 1

    def has(self, identity: str) -> bool:
        """Say whether the replica with this identity votes."""
        return any(member.identity == identity for member in self.members)

    def named(self, name: str) -> Member | None:
        """Return the member under a replica name, if there is one."""
        return next((m for m in self.members if m.name == name), None)

    def with_member(self, member: Member) -> Membership:
        """Return this membership and one more member."""
        return Membership((*self.members, member))

    def without(self, member: Member) -> Membership:
        """Return this membership less one member."""
        return Membership(tuple(m for m in self.members if m != member))


class EntryKind(StrEnum):
    """What an entry carries."""

    NOOP = "noop"
    COMMAND = "command"
    MEMBERS = "members"


@message
@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log; ``membership`` is set only in a MEMBERS entry."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b""
    membership: Membership | None = None


@message
@dataclass(frozen=True, slots=True)
class HardState:
    """What must be on disk before any message that follows from it is sent."""

    cluster: str = ""
    term: int = 0
    vote: str = ""


@message
@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after ``index``, and the membership in force there."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


@message
@dataclass(frozen=True, slots=True)
class VoteReq:
    """Ask for a vote in ``term``; with ``pre`` only whether it would be given."""

    term: int
    last_index: int
    last_term: int
    pre: bool


@message
@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a :class:`VoteReq`.

    ``term`` is the term asked for if granted, else the voter's own.
    """

    term: int
    granted: bool
    pre: bool


@message
@dataclass(frozen=True, slots=True)
class AppendReq:
    """Entries after ``prev_index``; without entries a heartbeat.

    ``sent_at`` is the leader's own clock in seconds; the reply returns it, so that
    the lease counts from before the follower's promise.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: tuple[Entry, ...]
    commit: int
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class AppendReply:
    """Answer to an :class:`AppendReq` or a :class:`SnapshotReq`.

    If ``ok``, the follower's log is synced and equal to the leader's up to
    ``index``; if not, ``index`` is where the leader should try next.
    """

    term: int
    ok: bool
    index: int
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class SnapshotReq:
    """A whole snapshot, for a follower whose next entry is compacted away."""

    term: int
    snapshot: Snapshot
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class JoinReq:
    """A replica with an identity that is no member asks to be caught up."""


PeerMessage = VoteReq | VoteReply | AppendReq | AppendReply | SnapshotReq | JoinReq


@dataclass(frozen=True, slots=True)
class Envelope:
    """A peer message with its addresses.

    An empty ``target`` reaches whoever runs under the name; an empty ``cluster``
    comes from a replica that belongs to none yet.
    """

    cluster: str
    source: Member
    target: str
    body: PeerMessage
