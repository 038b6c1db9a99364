"""The Raft node of one replica: takes events, returns actions.

It does no IO and reads no clock.  Its owner executes the actions, which include writing
to disk all state that must survive a restart.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from gooseberrydale.version.replication import election, follower, joining, leader
from gooseberrydale.version.replication.actions import (
    Action,
    Event,
    Propose,
    Received,
    SaveSnapshot,
    SnapshotTaken,
    Synced,
    Tick,
)
from gooseberrydale.version.replication.core import Core, RaftCfg, Role
from gooseberrydale.version.replication.joining import Repair
from gooseberrydale.version.replication.log import RaftLog
from gooseberrydale.version.replication.messages import (
    AppendReply,
    AppendReq,
    Entry,
    Envelope,
    HardState,
    JoinReq,
    Member,
    Membership,
    Snapshot,
    SnapshotReq,
    VoteReply,
    VoteReq,
)


@dataclass(frozen=True, slots=True)
class Stored:
    """What a replica reads from its disk when it starts."""

    state: HardState = HardState()
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    commit: int = 0


class RaftNode:
    """The Raft node of one replica; times are seconds of the owner's clock."""

    def __init__(
        self,
        cfg: RaftCfg,
        me: Member,
        stored: Stored,
        rng: random.Random,
        now: float,
    ) -> None:
        log = RaftLog(stored.snapshot, stored.entries)
        self._core = Core(cfg, me, stored.state, log, rng, now)
        self._noted_commit = stored.commit

    def begin(self) -> list[Action]:
        """Return the actions that apply the entries committed before the start.

        The commit note is written after the entries up to it were synced, so log
        entries up to the note are the committed ones.  If the log ends before the
        note, the leader sends the missing entries again.
        """
        core = self._core
        core.advance_commit(max(core.commit, min(self._noted_commit, self.last_index)))
        actions, core.out = core.out, []
        return actions

    def step(self, event: Event, now: float) -> list[Action]:
        """Handle one event; return the actions to execute, in order."""
        core = self._core
        match event:
            case Tick():
                self._tick(now)
            case Received(envelope):
                self._receive(envelope, now)
            case Propose():
                leader.propose(core, event, now)
            case Synced():
                leader.on_synced(core, event)
            case SnapshotTaken(index, data):
                self._compact(index, data)
        actions, core.out = core.out, []
        return actions

    def may_lead(self, now: float) -> bool:
        """Whether this replica may act as leader and answer requests.

        It must have a valid lease and have committed an entry of its own term, because
        only then its state machine contains everything committed before.
        """
        core = self._core
        if core.role is not Role.LEADER or now >= leader.lease_expires_at(core):
            return False
        return core.log.term_at(core.commit) == core.state.term

    def next_tick(self) -> float:
        """When the next tick is needed, in seconds of the owner's clock."""
        core = self._core
        if core.role is Role.LEADER:
            return core.heartbeat_at
        if not core.is_voter:
            return core.join_at
        if joining.wants_to_join(core):
            return min(core.election_at, core.join_at)
        return core.election_at

    @property
    def role(self) -> Role:
        """The current role of the replica."""
        return self._core.role

    @property
    def leader(self) -> Member | None:
        """The current leader, if one is known."""
        return self._core.leader

    @property
    def state(self) -> HardState:
        """Cluster, term and vote."""
        return self._core.state

    @property
    def commit(self) -> int:
        """Index of the last entry known to be committed."""
        return self._core.commit

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self._core.log.last_index

    @property
    def last_term(self) -> int:
        """Term of the last entry of the log."""
        return self._core.log.last_term

    @property
    def membership(self) -> Membership:
        """The newest membership, committed or not."""
        return self._core.log.membership

    @property
    def caught_up(self) -> bool:
        """Whether all entries committed before this replica started are applied.

        Until then its state machine may be older than it was before the restart.
        """
        core = self._core
        if core.role is Role.LEADER:
            return core.log.term_at(core.commit) == core.state.term
        return core.caught_up

    @property
    def committed_membership(self) -> Membership:
        """The membership in force after the last committed entry."""
        return self._core.log.membership_at(self.commit)

    def report_names(self, names: Iterable[str]) -> None:
        """Record members that other processes have reported.

        A replica that was replaced while it was cut off finds none of the members in
        its own log.  It then joins through these.
        """
        self._core.reported_names = frozenset(names)

    def repairs(self, now: float) -> tuple[Repair, ...]:
        """The state of each known replica name; empty unless leading."""
        return joining.repairs(self._core, now)

    def _tick(self, now: float) -> None:
        leader.tick(self._core, now)
        election.tick(self._core, now)
        joining.tick(self._core, now)

    def _compact(self, index: int, data: bytes) -> None:
        core = self._core
        snapshot = core.make_snapshot(index, data)
        core.log.compact(snapshot, core.cfg.keep_entries, core.cfg.keep_bytes)
        core.applied_bytes = core.log.data_bytes(index + 1, core.applied)
        entries = core.log.slice(index + 1, core.log.last_index - index)
        core.out.append(SaveSnapshot(snapshot, core.state, entries))

    def _receive(self, envelope: Envelope, now: float) -> None:
        if not self._is_for_me(envelope):
            return
        core, source = self._core, envelope.source
        match envelope.body:
            case VoteReq() as body:
                election.on_request(core, source, body, now)
            case VoteReply() as body:
                election.on_reply(core, source, body, now)
            case AppendReq() as body:
                follower.on_append(core, source, body, now)
            case SnapshotReq() as body:
                follower.on_snapshot(core, source, body, now)
            case AppendReply() as body:
                leader.on_reply(core, source, body, now)
            case JoinReq():
                joining.on_request(core, source, now)

    def _is_for_me(self, envelope: Envelope) -> bool:
        """Reject messages of other clusters or to other identities.

        A new replica without a cluster adopts that of the first leader it receives a
        message from.
        """
        core, body = self._core, envelope.body
        if isinstance(body, JoinReq):
            return envelope.cluster in ("", core.state.cluster)
        if envelope.target != core.me.identity or not envelope.cluster:
            return False
        if not core.state.cluster and isinstance(body, (AppendReq, SnapshotReq)):
            core.save(cluster=envelope.cluster)
        return envelope.cluster == core.state.cluster
