"""First start of a cluster, and recovery after the loss of a majority of disks.

Both require an operator: either an explicit command while the replica is stopped, or
a setting that applies only to the very first start.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from gooseberrydale.version.replication.messages import (
    Entry,
    EntryKind,
    HardState,
    Member,
    Membership,
)
from gooseberrydale.version.replication.raft import Stored

CLUSTER_BYTES = 8


@dataclass(frozen=True, slots=True)
class RecoveryReport:
    """What a forced recovery retains, and a warning of what may be lost."""

    last_index: int
    last_term: int
    snapshot_index: int
    former_members: tuple[str, ...]
    warning: str


def first_start(me: Member, cluster: str) -> Stored:
    """Return the log of a new cluster whose only member is ``me``.

    The other replicas join it one at a time.
    """
    entry = Entry(1, 1, EntryKind.MEMBERS, b"", Membership((me,)))
    return Stored(HardState(cluster, 1, me.identity), entries=(entry,))


def first_identity(name: str) -> str:
    """Identity of an initial replica; a replica that replaces it gets another one."""
    return f"first-{name}"


def common_start(names: Iterable[str]) -> Stored:
    """Return the log with which all replicas in ``names`` start a new cluster.

    Each replica computes the same log by itself, so they may start in any order.  The
    first election determines the leader.
    """
    members = tuple(Member(name, first_identity(name)) for name in sorted(set(names)))
    text = "|".join(member.name for member in members)
    cluster = hashlib.blake2b(text.encode(), digest_size=CLUSTER_BYTES).hexdigest()
    entry = Entry(1, 1, EntryKind.MEMBERS, b"", Membership(members))
    return Stored(HardState(cluster, 1, ""), entries=(entry,))


def describe(stored: Stored) -> RecoveryReport:
    """Report what a recovery from this disk would retain; changes nothing."""
    last = stored.entries[-1] if stored.entries else stored.snapshot
    memberships = [stored.snapshot.membership]
    memberships += [e.membership for e in stored.entries if e.membership is not None]
    return RecoveryReport(
        last_index=last.index,
        last_term=last.term,
        snapshot_index=stored.snapshot.index,
        former_members=tuple(m.name for m in memberships[-1].members),
        warning=(
            f"Entries after index {last.index} (term {last.term}) that were committed"
            " only on the lost disks are gone, and entries here that were never"
            " committed now count as committed. Recover on the surviving disk with"
            " the highest term, then index, and empty the other data folders."
        ),
    )


def force_single(stored: Stored, me: Member, cluster: str) -> Stored:
    """Return the log with ``me`` as the only member of a cluster with a new id.

    Everything on this disk is retained.  The new id excludes replicas of the former
    cluster until their data folders are emptied.
    """
    report = describe(stored)
    term = max(stored.state.term, report.last_term) + 1
    members = Membership((me,))
    entry = Entry(report.last_index + 1, term, EntryKind.MEMBERS, b"", members)
    state = HardState(cluster, term, me.identity)
    return Stored(state, stored.snapshot, (*stored.entries, entry))
