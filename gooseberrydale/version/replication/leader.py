"""The leader's side of replication, the commit index and the leader lease.

The lease starts at the sending time of the newest message that a quorum answered: each
answer implies the promise not to vote for another candidate within ``election_min_s``.
Only an entry of the leader's own term is committed by counting replicas; earlier
entries are committed with it.
"""

from __future__ import annotations

from gooseberrydale.errors import InvariantError
from gooseberrydale.version.replication.actions import (
    Accepted,
    Append,
    NotLeader,
    Propose,
    Synced,
)
from gooseberrydale.version.replication.core import Core, Progress, Role
from gooseberrydale.version.replication.messages import (
    AppendReply,
    AppendReq,
    Entry,
    EntryKind,
    Member,
    Membership,
    SnapshotReq,
)


def begin(core: Core, now: float) -> None:
    """Become the leader of the current term."""
    if core.role is not Role.CANDIDATE or core.state.vote != core.me.identity:
        raise InvariantError("only a candidate that voted for itself can become leader")
    core.role = Role.LEADER
    core.leader = core.me
    core.check_one_leader(core.me)
    core.elected_at = now
    core.progress = {}
    _track_members(core)
    append(core, [_entry(core, EntryKind.NOOP)], now)
    heartbeat(core, now)


def _track_members(core: Core) -> None:
    for member in core.log.membership.members:
        if member != core.me:
            track(core, member)


def track(core: Core, member: Member) -> Progress:
    """Return the progress of another replica; create it if it is new."""
    if member.identity not in core.progress:
        progress = Progress(member, next=core.log.last_index + 1)
        core.progress[member.identity] = progress
    return core.progress[member.identity]


def _entry(core: Core, kind: EntryKind, data: bytes = b"", ahead: int = 0) -> Entry:
    return Entry(core.log.last_index + 1 + ahead, core.state.term, kind, data)


def append(core: Core, entries: list[Entry], now: float) -> None:
    """Append entries of the own term and replicate them."""
    for entry in entries:
        core.log.append(entry)
    core.out.append(Append(tuple(entries)))
    for progress in core.progress.values():
        replicate(core, progress, now)


def change_members(core: Core, membership: Membership, now: float) -> None:
    """Append a membership change; the previous one must be committed."""
    if core.log.membership_index > core.commit:
        raise InvariantError("the previous membership change is not committed yet")
    sizes = len(core.log.membership.members), len(membership.members)
    if abs(sizes[0] - sizes[1]) != 1:
        raise InvariantError("only one member can be added or removed at a time")
    index = core.log.last_index + 1
    entry = Entry(index, core.state.term, EntryKind.MEMBERS, b"", membership)
    for member in membership.members:
        if member != core.me:
            track(core, member)
    append(core, [entry], now)


def propose(core: Core, event: Propose, now: float) -> None:
    """Append commands as one batch; refuse them without a valid lease."""
    if core.role is not Role.LEADER or now >= lease_expires_at(core):
        leader = None if core.role is Role.LEADER else core.leader
        core.out.extend(NotLeader(number, leader) for number, _ in event.commands)
        return
    entries = [
        _entry(core, EntryKind.COMMAND, data, ahead)
        for ahead, (_, data) in enumerate(event.commands)
    ]
    for (number, _), entry in zip(event.commands, entries):
        core.out.append(Accepted(number, entry.index, entry.term))
    append(core, entries, now)


def replicate(core: Core, progress: Progress, now: float) -> None:
    """Send missing entries, up to ``inflight_entries`` without a reply."""
    if progress.next <= core.log.base_index:
        _send_snapshot(core, progress, now)
        return
    if progress.probing:
        return
    while progress.next <= core.log.last_index:
        if progress.next - 1 - progress.match >= core.cfg.inflight_entries:
            return
        _send_entries(core, progress, now)


def _send_entries(core: Core, progress: Progress, now: float) -> None:
    """Send a batch of entries; an empty batch is a heartbeat."""
    prev = progress.next - 1
    term = core.log.term_at(prev)
    if term is None:
        raise InvariantError(f"entry {prev} before the batch to send is not in the log")
    entries = core.log.slice(progress.next, core.cfg.batch_entries)
    _send_append(core, progress.member, prev, term, entries, now)
    if progress.probing:
        progress.probed_at = now
    else:
        progress.next += len(entries)


def _send_append(
    core: Core,
    target: Member,
    prev: int,
    prev_term: int,
    entries: tuple[Entry, ...],
    now: float,
) -> None:
    term = core.state.term
    req = AppendReq(term, prev, prev_term, entries, core.commit, now)
    core.send(target, req, after_sync=False)


def _send_snapshot(core: Core, progress: Progress, now: float) -> None:
    retry_after_s = core.cfg.election_max_s
    if progress.snapshot_at is not None and now < progress.snapshot_at + retry_after_s:
        return
    progress.snapshot_at = now
    req = SnapshotReq(core.state.term, core.log.snapshot, now)
    core.send(progress.member, req, after_sync=False)


def heartbeat(core: Core, now: float) -> None:
    """Send a message to each other replica, with entries that it lacks."""
    core.heartbeat_at = now + core.cfg.heartbeat_s
    for progress in core.progress.values():
        probe(core, progress, now)


def probe(core: Core, progress: Progress, now: float) -> None:
    """Send one message, even if earlier ones are unanswered."""
    if progress.next <= core.log.base_index:
        _send_append(core, progress.member, 0, 0, (), now)
        _send_snapshot(core, progress, now)
    else:
        _send_entries(core, progress, now)


def tick(core: Core, now: float) -> None:
    """Step down if the lease has expired, else send heartbeats when due."""
    if core.role is not Role.LEADER:
        return
    grace = core.elected_at + core.cfg.lease_s
    if now >= max(lease_expires_at(core), grace):
        core.follow(core.state.term, None)
        core.defer_election(now)
    elif now >= core.heartbeat_at:
        heartbeat(core, now)


def lease_expires_at(core: Core) -> float:
    """When the lease expires; infinite in a cluster of one member."""
    membership = core.log.membership
    promises = sorted((_promise(core, m) for m in membership.members), reverse=True)
    return promises[membership.quorum - 1] + core.cfg.lease_s


def _promise(core: Core, member: Member) -> float:
    if member == core.me:
        return float("inf")
    progress = core.progress.get(member.identity)
    return progress.promised_at if progress else float("-inf")


def on_reply(core: Core, source: Member, reply: AppendReply, now: float) -> None:
    """Handle a follower's reply; step down if its term is later."""
    if reply.term > core.state.term:
        core.follow(reply.term, None)
        return
    progress = core.progress.get(source.identity)
    if core.role is not Role.LEADER or reply.term < core.state.term or not progress:
        return
    progress.promised_at = max(progress.promised_at, reply.sent_at)
    progress.replied_at = now
    progress.zone = reply.zone
    if reply.ok:
        _record_match(core, progress, reply.index)
        replicate(core, progress, now)
    elif reply.sent_at >= progress.probed_at:
        # Ignore refusals of messages sent before the last probe.
        progress.next = max(progress.match + 1, min(progress.next, reply.index + 1))
        progress.probing = True
        probe(core, progress, now)


def _record_match(core: Core, progress: Progress, index: int) -> None:
    if index > core.log.last_index:
        raise InvariantError(
            f"a follower acknowledged entry {index}, past the end of the log"
        )
    progress.match = max(progress.match, index)
    if progress.match + 1 >= progress.next:
        progress.probing = False
    progress.next = max(progress.next, progress.match + 1)
    if progress.next > core.log.base_index:
        progress.snapshot_at = None
    commit(core)


def on_synced(core: Core, event: Synced) -> None:
    """Count the leader's own copy of entries that are now on disk."""
    if core.log.term_at(event.index) == event.term:
        core.synced = event.index
        commit(core)


def commit(core: Core) -> None:
    """Commit up to the newest entry of the own term that a quorum has synced."""
    if core.role is not Role.LEADER:
        return
    membership = core.log.membership
    matches = sorted((_match(core, m) for m in membership.members), reverse=True)
    index = matches[membership.quorum - 1]
    if index > core.commit and core.log.term_at(index) == core.state.term:
        core.advance_commit(index)


def _match(core: Core, member: Member) -> int:
    if member == core.me:
        return min(core.synced, core.log.last_index)
    progress = core.progress.get(member.identity)
    return progress.match if progress else 0
