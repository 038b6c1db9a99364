"""Records that replicas store and messages that they exchange.

Indexes and terms start at 1; 0 means "before the first".
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
    """The set of replicas that vote."""

    members: tuple[Member, ...] = ()

    @property
    def quorum(self) -> int:
        """The number of members that form a majority."""
        return len(self.members) // 2 + 1

    def has(self, identity: str) -> bool:
        """Return whether the replica with this identity is a member."""
        return any(member.identity == identity for member in self.members)

    def named(self, name: str) -> Member | None:
        """Return the member with this name, if there is one."""
        return next((m for m in self.members if m.name == name), None)

    def with_member(self, member: Member) -> Membership:
        """Return this membership with ``member`` added."""
        return Membership((*self.members, member))

    def without(self, member: Member) -> Membership:
        """Return this membership with ``member`` removed."""
        return Membership(tuple(m for m in self.members if m != member))


class EntryKind(StrEnum):
    """The kind of a log entry.

    NOOP is appended by each new leader, COMMAND holds a command for the state machine,
    and MEMBERS a new membership.
    """

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
    """Term and vote; must be synced before any message that depends on them is sent.

    ``vote`` is the identity voted for in ``term``; empty if none.
    """

    cluster: str = ""
    term: int = 0
    vote: str = ""


@message
@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after ``index``, and the membership at that index."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


@message
@dataclass(frozen=True, slots=True)
class VoteReq:
    """Request for a vote in ``term``; with ``pre`` for a pre-vote."""

    term: int
    last_index: int
    last_term: int
    pre: bool


@message
@dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer to a :class:`VoteReq`.

    ``term`` is the requested term if granted, else the voter's current term.
    """

    term: int
    granted: bool
    pre: bool


@message
@dataclass(frozen=True, slots=True)
class AppendReq:
    """Entries that follow ``prev_index``; a heartbeat if there are none.

    ``sent_at`` is the leader's clock in seconds.  The reply repeats it, so the leader's
    lease starts before the follower's promise does.
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

    If ``ok``, the follower's log is synced and equal to the leader's up to ``index``;
    if not, the leader should try again with entries after ``index``.  ``zone`` is the
    follower's availability zone, empty if voters need not be spread over zones.
    """

    term: int
    ok: bool
    index: int
    sent_at: float
    zone: str = ""


@message
@dataclass(frozen=True, slots=True)
class SnapshotReq:
    """A snapshot for a follower whose next entry is compacted away."""

    term: int
    snapshot: Snapshot
    sent_at: float


@message
@dataclass(frozen=True, slots=True)
class JoinReq:
    """Request of a replica that isn't a member to become one."""


PeerMessage = VoteReq | VoteReply | AppendReq | AppendReply | SnapshotReq | JoinReq


@dataclass(frozen=True, slots=True)
class Envelope:
    """A peer message with its sender and receiver.

    An empty ``target`` addresses any identity that runs under the receiver's name; an
    empty ``cluster`` means that the sender doesn't belong to a cluster yet.
    """

    cluster: str
    source: Member
    target: str
    body: PeerMessage
