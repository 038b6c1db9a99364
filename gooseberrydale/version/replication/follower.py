"""The follower's side of replication: handles entries and snapshots.

A reply is sent only after the data that it acknowledges is synced.
"""

from __future__ import annotations

from gooseberrydale.errors import InvariantError
from gooseberrydale.version.replication.actions import (
    Append,
    Restore,
    SaveSnapshot,
    Truncate,
)
from gooseberrydale.version.replication.core import Core
from gooseberrydale.version.replication.messages import (
    AppendReply,
    AppendReq,
    Entry,
    Member,
    SnapshotReq,
)


def on_append(core: Core, source: Member, req: AppendReq, now: float) -> None:
    """Append the leader's entries, or reply where the logs may still agree."""
    if not _accept_leader(core, source, req.term, req.sent_at, now):
        return
    match = req.prev_index + len(req.entries)
    if not _matches_log(core, req):
        hint = _last_possible_match(core, req.prev_index)
        core.send(source, _reply(core, False, hint, req.sent_at))
        return
    _store(core, req.entries)
    core.advance_commit(max(core.commit, min(req.commit, match)))
    core.caught_up = core.caught_up or core.commit >= req.commit
    core.send(source, _reply(core, True, match, req.sent_at))


def _accept_leader(
    core: Core, source: Member, term: int, sent_at: float, now: float
) -> bool:
    if term < core.state.term:
        core.send(source, _reply(core, False, 0, sent_at))
        return False
    core.follow(term, source)
    core.leader_contact_at = now
    core.defer_election(now)
    return True


def _matches_log(core: Core, req: AppendReq) -> bool:
    if req.prev_index <= core.commit:
        # Committed entries are equal on all replicas; here some may be compacted.
        return True
    return core.log.term_at(req.prev_index) == req.prev_term


def _last_possible_match(core: Core, prev_index: int) -> int:
    """The highest index at which the logs may agree.

    It skips all entries of the term in which they conflict.
    """
    hint = min(core.log.last_index, prev_index - 1)
    conflicting_term = core.log.term_at(prev_index)
    while hint > core.commit and core.log.term_at(hint) == conflicting_term:
        hint -= 1
    return max(hint, core.commit)


def _store(core: Core, entries: tuple[Entry, ...]) -> None:
    """Append new entries; truncate only at a conflicting entry."""
    new = _new_entries(core, entries)
    if not new:
        return
    if new[0].index <= core.log.last_index:
        core.log.truncate(new[0].index, core.commit)
        core.clamp_synced()
        core.out.append(Truncate(new[0].index))
    for entry in new:
        core.log.append(entry)
    core.out.append(Append(new))


def _new_entries(core: Core, entries: tuple[Entry, ...]) -> tuple[Entry, ...]:
    for number, entry in enumerate(entries):
        if entry.index <= core.log.base_index:
            continue
        term = core.log.term_at(entry.index)
        if term == entry.term:
            continue
        if entry.index <= core.commit:
            raise InvariantError(f"committed entry {entry.index} would be overwritten")
        return entries[number:]
    return ()


def on_snapshot(core: Core, source: Member, req: SnapshotReq, now: float) -> None:
    """Install the leader's snapshot if it is newer than the commit index."""
    if not _accept_leader(core, source, req.term, req.sent_at, now):
        return
    snapshot = req.snapshot
    if snapshot.index > core.commit:
        suffix = _entries_after_snapshot(core, snapshot.index, snapshot.term)
        core.log.reset(snapshot)
        core.clamp_synced()
        for entry in suffix:
            core.log.append(entry)
        core.commit = snapshot.index
        core.applied = snapshot.index
        core.applied_bytes = 0
        core.out.append(Restore(snapshot))
        core.out.append(SaveSnapshot(snapshot, core.state, suffix))
    reply = _reply(core, True, snapshot.index, req.sent_at)
    core.send(source, reply)


def _entries_after_snapshot(core: Core, index: int, term: int) -> tuple[Entry, ...]:
    log = core.log
    if log.term_at(index) != term:
        return ()
    return log.slice(index + 1, log.last_index - index)


def _reply(core: Core, ok: bool, index: int, sent_at: float) -> AppendReply:
    return AppendReply(core.state.term, ok, index, sent_at, core.cfg.zone)
