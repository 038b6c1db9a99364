"""State of one Raft node, and operations that all its roles share.

The modules ``election``, ``follower``, ``leader`` and ``joining`` are functions over a
:class:`Core`; they append the actions to execute to ``Core.out``.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from enum import StrEnum

from gooseberrydale.errors import InvariantError
from gooseberrydale.version.replication.actions import (
    Action,
    Apply,
    MembersCommitted,
    NoteCommit,
    SaveState,
    Send,
    TakeSnapshot,
)
from gooseberrydale.version.replication.log import RaftLog
from gooseberrydale.version.replication.messages import (
    Entry,
    Envelope,
    HardState,
    Member,
    PeerMessage,
    Snapshot,
)


class Role(StrEnum):
    """The current Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


MIB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class RaftCfg:
    """Times in seconds, sizes in entries unless they are called bytes.

    A snapshot is taken after ``snapshot_entries`` applied entries, or once their data
    has ``snapshot_bytes``.  Of the entries before a snapshot ``keep_entries`` remain
    for replicas that are behind, with ``keep_bytes`` of data at most.

    ``names`` are the replica names that may become members.  ``lease_s`` must be below
    ``election_min_s``, so a leader stops before another can be elected, even if the
    clocks run at slightly different rates.

    With ``max_voters`` above 0 the group is open: any replica may become a member, its
    name is its address, ``names`` are the replicas to send join requests to, and no
    more than ``max_voters`` replicas vote.  The others receive the log without a vote;
    one of them replaces a voter that has been silent for ``replace_after_s``.  With a
    ``zone``, which is that of this replica, the voters are spread evenly over zones.
    """

    names: frozenset[str]
    heartbeat_s: float = 0.25
    election_min_s: float = 1.0
    election_max_s: float = 2.0
    lease_s: float = 0.8
    batch_entries: int = 256
    inflight_entries: int = 1024
    snapshot_entries: int = 1_000
    keep_entries: int = 200
    snapshot_bytes: int = 4 * MIB
    keep_bytes: int = 4 * MIB
    max_voters: int = 0
    replace_after_s: float = 2.5
    zone: str = ""

    def __post_init__(self) -> None:
        if not self.heartbeat_s < self.lease_s < self.election_min_s:
            raise ValueError("set heartbeat_s < lease_s < election_min_s")
        if self.election_min_s >= self.election_max_s:
            raise ValueError("election_max_s must exceed election_min_s")


@dataclass(slots=True)
class Progress:
    """The leader's record of how far another replica's log has been replicated.

    ``next`` is the index of the next entry to send, ``match`` the highest index known
    to be on the replica's disk.  ``promised_at`` is the sending time of the newest
    message that it answered, ``replied_at`` when its last answer was received,
    ``joined_at`` when it last asked to join, and ``snapshot_at`` when a snapshot was
    sent that is not answered yet.  While ``probing``, one batch is sent at a time to
    find the last common entry of the logs; ``probed_at`` is when the last was sent.
    ``zone`` is the replica's availability zone, empty while it is not known.
    """

    member: Member
    next: int
    match: int = 0
    promised_at: float = float("-inf")
    replied_at: float = float("-inf")
    joined_at: float = float("-inf")
    snapshot_at: float | None = None
    probing: bool = True
    probed_at: float = float("-inf")
    zone: str = ""


class Core:
    """The Raft state of one replica; ``me`` is its name and identity.

    ``synced`` is the index up to which the own log is on disk, ``applied_bytes`` the
    size of the data applied since the last snapshot.
    """

    def __init__(
        self,
        cfg: RaftCfg,
        me: Member,
        state: HardState,
        log: RaftLog,
        rng: random.Random,
        now: float,
    ) -> None:
        self.cfg = cfg
        self.me = me
        self.state = state
        self.log = log
        self.rng = rng
        self.commit = log.snapshot.index
        self.applied = log.snapshot.index
        self.applied_bytes = 0
        self.caught_up = False
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.term_leader: Member | None = None
        self.votes: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.synced = log.last_index
        self.elected_at = now
        self.heartbeat_at = now
        self.join_at = now
        # Its promise to the last leader is not on disk, so a restarted replica acts as
        # if it had just received a message from a leader.
        self.leader_contact_at = now
        self.election_at = now
        self.defer_election(now)
        self.reported_names: frozenset[str] = frozenset()
        self.out: list[Action] = []

    def may_join(self, name: str) -> bool:
        """Whether a replica with this name may become a member."""
        return self.cfg.max_voters > 0 or name in self.cfg.names

    @property
    def known_names(self) -> frozenset[str]:
        """The names of configured replicas, of the members in the own log, and of the
        members that other processes have reported."""
        members = (member.name for member in self.log.membership.members)
        return self.cfg.names.union(members, self.reported_names)

    @property
    def is_voter(self) -> bool:
        """Whether this replica's own log names it as a member."""
        return self.log.membership.has(self.me.identity)

    def defer_election(self, now: float) -> None:
        """Reset the election timeout to a new random time."""
        cfg = self.cfg
        self.election_at = now + self.rng.uniform(
            cfg.election_min_s, cfg.election_max_s
        )

    def send(
        self, target: Member, body: PeerMessage, *, after_sync: bool = True
    ) -> None:
        """Add the action that sends a message to ``target``."""
        envelope = Envelope(self.state.cluster, self.me, target.identity, body)
        self.out.append(Send(target.name, envelope, after_sync))

    def save(
        self,
        *,
        term: int | None = None,
        vote: str | None = None,
        cluster: str | None = None,
    ) -> None:
        """Change the hard state and add the action that writes it."""
        old = self.state
        term = old.term if term is None else term
        if term < old.term:
            raise InvariantError(f"term would decrease from {old.term} to {term}")
        if vote is None:
            vote = old.vote if term == old.term else ""
        if term == old.term and old.vote and vote != old.vote:
            raise InvariantError(f"replica would vote twice in term {term}")
        if cluster is not None and old.cluster not in ("", cluster):
            raise InvariantError(
                "replica would change its cluster; empty its data folder first"
            )
        new = replace(old, term=term, vote=vote)
        if cluster is not None:
            new = replace(new, cluster=cluster)
        if new != old:
            self.state = new
            self.out.append(SaveState(new))

    def follow(self, term: int, leader: Member | None) -> None:
        """Become a follower in ``term``, with ``leader`` if it is known."""
        if term > self.state.term:
            self.save(term=term)
            self.leader = None
            self.term_leader = None
        if leader is not None:
            self.check_one_leader(leader)
            self.leader = leader
        elif self.role is Role.LEADER:
            self.leader = None
        self.role = Role.FOLLOWER
        self.votes.clear()
        self.progress.clear()

    def check_one_leader(self, leader: Member) -> None:
        """Record the leader of this term; raise if another one was recorded."""
        if self.term_leader not in (None, leader):
            raise InvariantError(f"two leaders in term {self.state.term}")
        self.term_leader = leader

    def clamp_synced(self) -> None:
        """Lower ``synced`` after a truncation: new entries are not on disk yet."""
        self.synced = min(self.synced, self.log.last_index)

    def advance_commit(self, index: int) -> None:
        """Commit up to ``index`` and add the action that applies the new entries."""
        if index < self.commit:
            raise InvariantError(
                f"commit index would decrease from {self.commit} to {index}"
            )
        if index > self.log.last_index:
            raise InvariantError(f"commit index {index} is past the end of the log")
        if index == self.commit:
            return
        entries = self.log.slice(self.applied + 1, index - self.applied)
        self.commit = index
        self.applied = index
        self.out.append(Apply(entries))
        self.out.append(NoteCommit(index))
        self._report_members(entries)
        self.applied_bytes += sum(len(entry.data) for entry in entries)
        if (
            index - self.log.snapshot.index >= self.cfg.snapshot_entries
            or self.applied_bytes >= self.cfg.snapshot_bytes
        ):
            self.out.append(TakeSnapshot(index))

    def _report_members(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            if entry.membership is not None:
                self.out.append(MembersCommitted(entry.index, entry.membership))

    def make_snapshot(self, index: int, data: bytes) -> Snapshot:
        """Return a snapshot at ``index`` from the encoded state machine."""
        term = self.log.term_at(index)
        if term is None or index > self.applied:
            raise InvariantError(
                f"entry {index} is not applied or not in the log; can't snapshot it"
            )
        return Snapshot(index, term, self.log.membership_at(index), data)
