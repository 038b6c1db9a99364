"""Replacement of members: catch up, remove the lost identity, add the new one.

A replica that isn't a member in its own log sends join requests to all others.  The
leader replicates the log to it without a vote, as a learner.  If the replica's name
belongs to another identity that is silent, that identity is removed first.  Both
changes are separate entries, and the second waits until the first is committed, so
quorums before and after a change always overlap.

In an open group (``RaftCfg.open_to``) a replica with a new name becomes a member while
there are fewer voters than allowed, or replaces a voter that was silent for too long.
If voters are to be spread over zones, it also joins in place of a voter of a zone that
has at least two more of them than its own: it is added before that one is removed, so
that the group tolerates a loss meanwhile.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

from gooseberrydale.version.replication import leader
from gooseberrydale.version.replication.actions import Send
from gooseberrydale.version.replication.core import Core, Progress, Role
from gooseberrydale.version.replication.messages import (
    Envelope,
    JoinReq,
    Member,
    Membership,
)

HEARTBEATS_PER_JOIN_REQUEST = 2


class RepairState(StrEnum):
    """State of a replica name: whether a caught-up member has it.

    DONE: its member has its membership entry.  UNREACHABLE: its member is silent.
    CATCHING_UP: a learner joins beside a member of that name.  REPLACING: a learner
    joins without such a member, or the member lacks its membership entry.  ABSENT: it
    has neither a member nor a learner.
    """

    DONE = "done"
    UNREACHABLE = "unreachable"
    CATCHING_UP = "catching_up"
    REPLACING = "replacing"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class Repair:
    """The state of one replica name, and the identity that has it or joins with it."""

    name: str
    identity: str
    state: RepairState


def tick(core: Core, now: float) -> None:
    """Request to join if needed; as leader, make the next membership change."""
    if core.role is Role.LEADER:
        _drop_inactive_learners(core, now)
        _change_members(core, now)
    elif now >= core.join_at and wants_to_join(core):
        core.join_at = now + HEARTBEATS_PER_JOIN_REQUEST * core.cfg.heartbeat_s
        for name in sorted(core.known_names - {core.me.name}):
            core.send(Member(name, ""), JoinReq())


def wants_to_join(core: Core) -> bool:
    """Whether to send join requests to the other replicas."""
    # A voter without a leader may have been replaced while it was disconnected.
    return not core.is_voter or core.role is Role.PRE_CANDIDATE


def on_request(core: Core, source: Member, now: float) -> None:
    """Start or continue to replicate the log to a replica that isn't a member."""
    if core.role is not Role.LEADER:
        _forward_to_leader(core, source)
        return
    if not core.may_join(source.name):
        return
    if core.log.membership.has(source.identity) or source.name == core.me.name:
        return
    is_tracked = source.identity in core.progress
    progress = leader.track(core, source)
    progress.joined_at = now
    if not is_tracked:
        leader.probe(core, progress, now)


def _forward_to_leader(core: Core, source: Member) -> None:
    """Forward a join request to the leader; in open groups only.

    The joining replica may not know the leader.
    """
    current_leader = core.leader
    if (
        not core.cfg.max_voters
        or current_leader is None
        or source.name in (current_leader.name, core.me.name)
    ):
        return
    # The source stays the joining replica: the leader answers to it.
    envelope = Envelope(core.state.cluster, source, current_leader.identity, JoinReq())
    core.out.append(Send(current_leader.name, envelope, after_sync=False))


def _learners(core: Core) -> list[Progress]:
    membership = core.log.membership
    learners = [
        p for p in core.progress.values() if not membership.has(p.member.identity)
    ]
    zones = _zones_of_voters(core)
    counts = Counter(zones.values())
    return sorted(
        learners, key=lambda p: (counts[p.zone], p.member.name, p.member.identity)
    )


def _drop_inactive_learners(core: Core, now: float) -> None:
    for progress in _learners(core):
        if progress.joined_at < now - core.cfg.election_max_s:
            del core.progress[progress.member.identity]


def _change_members(core: Core, now: float) -> None:
    committed = core.log.membership_index <= core.commit
    if not committed or core.log.term_at(core.commit) != core.state.term:
        return
    surplus = _surplus_voter(core)
    if surplus is not None:
        leader.change_members(core, core.log.membership.without(surplus), now)
        return
    for progress in _learners(core):
        membership = _next_membership(core, progress, now)
        if membership is not None:
            leader.change_members(core, membership, now)
            return


def _next_membership(core: Core, progress: Progress, now: float) -> Membership | None:
    if progress.match < core.commit or _is_silent(core, progress, now):
        return None
    membership = core.log.membership
    old = membership.named(progress.member.name)
    if old is not None:
        if _is_silent(core, core.progress[old.identity], now):
            return membership.without(old)
        return None
    if not core.cfg.max_voters or len(membership.members) < core.cfg.max_voters:
        return membership.with_member(progress.member)
    silent = _longest_silent(core, now)
    if silent is not None:
        return membership.without(silent)
    if _spreads_voters(core, progress):
        return membership.with_member(progress.member)
    return None


def _zones_of_voters(core: Core) -> dict[str, str]:
    """Map the identity of each voter to its zone, which may be unknown (empty)."""
    zones = {core.me.identity: core.cfg.zone}
    for member in core.log.membership.members:
        if member != core.me:
            zones[member.identity] = core.progress[member.identity].zone
    return zones


def _spreads_voters(core: Core, learner: Progress) -> bool:
    """Whether the learner's zone has at least two voters less than another one."""
    zones = _zones_of_voters(core).values()
    if not core.cfg.zone or not learner.zone or "" in zones:
        return False
    counts = Counter(zones)
    return max(counts.values()) - counts[learner.zone] >= 2


def _surplus_voter(core: Core) -> Member | None:
    """A voter of the zone with the most voters, if there are more than allowed."""
    members = core.log.membership.members
    if not core.cfg.zone or len(members) <= core.cfg.max_voters:
        return None
    zones = _zones_of_voters(core)
    counts = Counter(zones.values())
    others = [member for member in members if member != core.me]
    return max(others, key=lambda member: (counts[zones[member.identity]], member.name))


def _longest_silent(core: Core, now: float) -> Member | None:
    """The voter that has been silent longest, if longer than ``replace_after_s``."""
    others = (m for m in core.log.membership.members if m != core.me)
    silent = [
        core.progress[member.identity]
        for member in others
        if _is_silent(
            core, core.progress[member.identity], now, core.cfg.replace_after_s
        )
    ]
    longest = min(silent, key=lambda progress: progress.replied_at, default=None)
    return None if longest is None else longest.member


def _is_silent(
    core: Core, progress: Progress, now: float, bound_s: float | None = None
) -> bool:
    replied_at = max(progress.replied_at, core.elected_at)
    bound_s = core.cfg.election_min_s if bound_s is None else bound_s
    return replied_at < now - bound_s


def repairs(core: Core, now: float) -> tuple[Repair, ...]:
    """The state of each known replica name; empty unless leading."""
    if core.role is not Role.LEADER:
        return ()
    return tuple(_repair_of(core, name, now) for name in sorted(core.known_names))


def _repair_of(core: Core, name: str, now: float) -> Repair:
    member = core.log.membership.named(name)
    joining = [p for p in _learners(core) if p.member.name == name]
    if joining:
        state = RepairState.REPLACING if member is None else RepairState.CATCHING_UP
        return Repair(name, joining[-1].member.identity, state)
    if member is None:
        return Repair(name, "", RepairState.ABSENT)
    return Repair(name, member.identity, _member_state(core, member, now))


def _member_state(core: Core, member: Member, now: float) -> RepairState:
    if member != core.me and _is_silent(core, core.progress[member.identity], now):
        return RepairState.UNREACHABLE
    match = core.synced if member == core.me else core.progress[member.identity].match
    if min(match, core.commit) < core.log.membership_index:
        return RepairState.REPLACING
    return RepairState.DONE
