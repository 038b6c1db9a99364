"""Replacement of members: catch up, remove the lost identity, add the new one.

A replica whose own log doesn't name it asks everyone to join.  The leader catches
it up without a vote.  If its name belongs to another identity that has fallen
silent, that one is removed first; both changes are entries of their own, and the
second waits until the first is committed, so that quorums before and after a change
always overlap.

In an open log (``RaftCfg.open_to``) a replica under a new name becomes a member
while there are places, and takes the place of a voter that has been silent for long.
"""

from __future__ import annotations

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

JOIN_EVERY_HEARTBEATS = 2


class RepairState(StrEnum):
    """How a replica name stands, as its leader sees it."""

    DONE = "done"
    UNREACHABLE = "unreachable"
    CATCHING_UP = "catching_up"
    REPLACING = "replacing"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class Repair:
    """The state of one replica name, and the identity that holds or wants it."""

    name: str
    identity: str
    state: RepairState


def tick(core: Core, now: float) -> None:
    """Ask to join, or as leader carry replacements on."""
    if core.role is Role.LEADER:
        _forget_gone(core, now)
        _change_next(core, now)
    elif now >= core.join_at and wants_to_join(core):
        core.join_at = now + JOIN_EVERY_HEARTBEATS * core.cfg.heartbeat_s
        for name in sorted(core.known_names - {core.me.name}):
            core.send(Member(name, ""), JoinReq())


def wants_to_join(core: Core) -> bool:
    """Whether to ask the others for a place in the cluster."""
    # A voter without a leader may have been replaced without knowing it.
    return not core.is_voter or core.role is Role.PRE_CANDIDATE


def on_request(core: Core, source: Member, now: float) -> None:
    """Start or go on catching up a replica that isn't a member."""
    if core.role is not Role.LEADER:
        _pass_on(core, source)
        return
    if not core.may_join(source.name):
        return
    if core.log.membership.has(source.identity) or source.name == core.me.name:
        return
    known = source.identity in core.progress
    progress = leader.track(core, source)
    progress.joined_at = now
    if not known:
        leader.probe(core, progress, now)


def _pass_on(core: Core, source: Member) -> None:
    """Let the leader know of a replica that may not know it; open logs only."""
    leads = core.leader
    if (
        not core.cfg.open_to
        or leads is None
        or source.name in (leads.name, core.me.name)
    ):
        return
    # Under the name of its sender, to whom the leader answers.
    envelope = Envelope(core.state.cluster, source, leads.identity, JoinReq())
    core.out.append(Send(leads.name, envelope, after_sync=False))


def _learners(core: Core) -> list[Progress]:
    membership = core.log.membership
    found = [p for p in core.progress.values() if not membership.has(p.member.identity)]
    return sorted(found, key=lambda p: (p.member.name, p.member.identity))


def _forget_gone(core: Core, now: float) -> None:
    for progress in _learners(core):
        if progress.joined_at < now - core.cfg.election_max_s:
            del core.progress[progress.member.identity]


def _change_next(core: Core, now: float) -> None:
    committed = core.log.membership_index <= core.commit
    if not committed or core.log.term_at(core.commit) != core.state.term:
        return
    for progress in _learners(core):
        membership = _changed(core, progress, now)
        if membership is not None:
            leader.change_members(core, membership, now)
            return


def _changed(core: Core, progress: Progress, now: float) -> Membership | None:
    if progress.match < core.commit or _is_silent(core, progress, now):
        return None
    membership = core.log.membership
    old = membership.named(progress.member.name)
    if old is not None:
        if _is_silent(core, core.progress[old.identity], now):
            return membership.without(old)
        return None
    if not core.cfg.open_to or len(membership.members) < core.cfg.open_to:
        return membership.with_member(progress.member)
    gone = _longest_silent(core, now)
    return None if gone is None else membership.without(gone)


def _longest_silent(core: Core, now: float) -> Member | None:
    """The voter that was silent for longest, if for long enough to be replaced."""
    others = (m for m in core.log.membership.members if m != core.me)
    silent = [
        core.progress[member.identity]
        for member in others
        if _is_silent(
            core, core.progress[member.identity], now, core.cfg.replace_after_s
        )
    ]
    found = min(silent, key=lambda one: one.heard_at, default=None)
    return None if found is None else found.member


def _is_silent(
    core: Core, progress: Progress, now: float, bound_s: float | None = None
) -> bool:
    heard_at = max(progress.heard_at, core.elected_at)
    bound_s = core.cfg.election_min_s if bound_s is None else bound_s
    return heard_at < now - bound_s


def repairs(core: Core, now: float) -> tuple[Repair, ...]:
    """How each configured replica name stands; known to the leader only."""
    if core.role is not Role.LEADER:
        return ()
    return tuple(_repair(core, name, now) for name in sorted(core.known_names))


def _repair(core: Core, name: str, now: float) -> Repair:
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
