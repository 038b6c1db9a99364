"""Elections: pre-vote, vote, and the promise that protects a leader's lease.

A replica that received a message from a leader less than ``election_min_s`` ago
refuses pre-votes and votes, and doesn't adopt the candidate's term.  A replica that
isn't a member in its own log never votes.
"""

from __future__ import annotations

from gooseberrydale.version.replication import leader
from gooseberrydale.version.replication.core import Core, Role
from gooseberrydale.version.replication.messages import Member, VoteReply, VoteReq


def tick(core: Core, now: float) -> None:
    """Start a pre-vote if the election timeout has passed without a leader."""
    if core.role is Role.LEADER or not core.is_voter or now < core.election_at:
        return
    core.defer_election(now)
    core.leader = None
    _request_votes(core, now, pre=True)


def _request_votes(core: Core, now: float, *, pre: bool) -> None:
    core.role = Role.PRE_CANDIDATE if pre else Role.CANDIDATE
    core.votes = {core.me.identity}
    term = core.state.term + 1
    if not pre:
        core.save(term=term, vote=core.me.identity)
        core.term_leader = None
    req = VoteReq(term, core.log.last_index, core.log.last_term, pre)
    for member in core.log.membership.members:
        if member != core.me:
            core.send(member, req)
    _check_majority(core, now)


def _check_majority(core: Core, now: float) -> None:
    membership = core.log.membership
    votes = sum(membership.has(identity) for identity in core.votes)
    if votes < membership.quorum:
        return
    if core.role is Role.PRE_CANDIDATE:
        _request_votes(core, now, pre=False)
    else:
        leader.begin(core, now)


def on_request(core: Core, source: Member, req: VoteReq, now: float) -> None:
    """Answer a request for a vote; a replica that isn't a member doesn't answer."""
    if not core.is_voter:
        return
    if _promise_holds(core, now) or req.term < core.state.term:
        core.send(source, VoteReply(core.state.term, False, req.pre))
        return
    if not req.pre and req.term > core.state.term:
        core.follow(req.term, None)
    granted = _would_grant(core, source, req)
    if granted and not req.pre:
        core.save(vote=source.identity)
        core.defer_election(now)
    term = req.term if granted else core.state.term
    core.send(source, VoteReply(term, granted, req.pre))


def _promise_holds(core: Core, now: float) -> bool:
    if core.role is Role.LEADER:
        return now < leader.lease_expires_at(core)
    return now < core.leader_contact_at + core.cfg.election_min_s


def _would_grant(core: Core, source: Member, req: VoteReq) -> bool:
    log = core.log
    if (req.last_term, req.last_index) < (log.last_term, log.last_index):
        return False
    if req.pre:
        return req.term > core.state.term
    return core.state.vote in ("", source.identity)


def on_reply(core: Core, source: Member, reply: VoteReply, now: float) -> None:
    """Count a vote; a refusal from a later term ends the candidacy."""
    if not reply.granted:
        if reply.term > core.state.term:
            core.follow(reply.term, None)
        return
    expected_role = Role.PRE_CANDIDATE if reply.pre else Role.CANDIDATE
    term = core.state.term + 1 if reply.pre else core.state.term
    if core.role is expected_role and reply.term == term:
        core.votes.add(source.identity)
        _check_majority(core, now)
