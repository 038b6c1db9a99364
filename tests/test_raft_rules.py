"""Rules of the Raft node that random runs rarely exercise."""

import random

import pytest

from gooseberrydale.version.replication import actions as act
from gooseberrydale.version.replication.core import Role
from gooseberrydale.version.replication.messages import (
    AppendReply,
    AppendReq,
    Entry,
    EntryKind,
    Envelope,
    HardState,
    JoinReq,
    Member,
    Membership,
    VoteReply,
    VoteReq,
)
from gooseberrydale.version.replication.raft import RaftNode, Stored
from tests.builders_replication import formed, membership, small_cfg

NAMES = ("c1", "c2", "c3")
ME, SECOND, THIRD = (Member(name, f"{name}-0") for name in NAMES)
NEW = Member("c3", "c3-1")
START = 10.0


def stored(members, *terms):
    """A log with ``members`` in term 1 and one more entry for each of ``terms``."""
    entries = [Entry(1, 1, EntryKind.MEMBERS, b"", members)]
    entries += [Entry(index, term) for index, term in enumerate(terms, start=2)]
    return Stored(HardState("x", entries[-1].term), entries=tuple(entries))


def node_with(content):
    return RaftNode(small_cfg(NAMES), ME, content, random.Random(1), START)


def receive(node, source, body, now):
    """Deliver a message; return the node's actions and the messages that it sends."""
    envelope = Envelope("x", source, ME.identity, body)
    actions = node.step(act.Received(envelope), now)
    return actions, [a.envelope.body for a in actions if isinstance(a, act.Send)]


def elect(node, now):
    """Make the node leader with the second replica's pre-vote and vote."""
    node.step(act.Tick(), now)
    term = node.state.term + 1
    receive(node, SECOND, VoteReply(term, True, pre=True), now)
    receive(node, SECOND, VoteReply(term, True, pre=False), now)
    assert node.role is Role.LEADER
    return term


def heartbeat(term, entries=(), prev=(1, 1)):
    return AppendReq(term, *prev, tuple(entries), 0, START)


@pytest.mark.parametrize("pre", [True, False])
@pytest.mark.parametrize("after_s, granted", [(0.9, False), (1.1, True)])
def test_follower_keeps_its_promise_to_the_leader(pre, after_s, granted):
    node = node_with(stored(membership(*NAMES)))
    receive(node, SECOND, heartbeat(1), START + 5)
    req = VoteReq(2, 9, 9, pre)
    _, (reply,) = receive(node, THIRD, req, START + 5 + after_s)
    assert reply.granted is granted
    assert node.state.term == (2 if granted and not pre else 1)


@pytest.mark.parametrize("after_s, granted", [(0.9, False), (1.1, True)])
def test_restarted_replica_refuses_votes_as_if_it_had_promised(after_s, granted):
    node = node_with(stored(membership(*NAMES)))
    _, (reply,) = receive(node, THIRD, VoteReq(2, 9, 9, False), START + after_s)
    assert reply.granted is granted


def test_entry_of_an_earlier_term_is_not_committed_by_counting_replicas():
    node = node_with(stored(membership(*NAMES), 2))
    term = elect(node, START + 3)
    receive(node, SECOND, AppendReply(term, True, 2, START + 3), START + 3)
    assert node.commit == 0
    receive(node, SECOND, AppendReply(term, True, 3, START + 3), START + 3)
    node.step(act.Synced(3, term), START + 3)
    assert node.commit == 3


def test_lease_starts_when_the_answered_message_was_sent():
    node = node_with(stored(membership(*NAMES)))
    term = elect(node, START + 3)
    node.step(act.Synced(2, term), START + 3)
    receive(node, SECOND, AppendReply(term, True, 2, START + 3), START + 3.7)
    assert node.may_lead(START + 3.79)
    assert not node.may_lead(START + 3.81)


def test_replica_that_is_not_a_member_never_votes():
    node = node_with(stored(Membership((SECOND, THIRD))))
    actions, _ = receive(node, THIRD, VoteReq(2, 9, 9, False), START + 5)
    assert not actions


def leader_with_joining_replica():
    """A leader of two members and a replica with a new identity that asks to join."""
    node = node_with(stored(membership("c1", "c2")))
    now = START + 3
    term = elect(node, now)
    node.step(act.Synced(2, term), now)
    receive(node, SECOND, AppendReply(term, True, 2, now), now)
    receive(node, NEW, JoinReq(), now)
    return node, term, now


def state_of(node, name, now):
    return next(r.state for r in node.repairs(now) if r.name == name)


def test_new_identity_joins_only_once_it_has_caught_up():
    node, term, now = leader_with_joining_replica()
    receive(node, NEW, AppendReply(term, True, 1, now), now)
    node.step(act.Tick(), now)
    assert not node.membership.has(NEW.identity)
    receive(node, NEW, AppendReply(term, True, 2, now), now)
    node.step(act.Tick(), now)
    assert node.membership.has(NEW.identity)


def test_repair_is_done_once_the_new_member_has_its_membership_entry():
    node, term, now = leader_with_joining_replica()
    receive(node, NEW, AppendReply(term, True, 2, now), now)
    node.step(act.Tick(), now)
    node.step(act.Synced(3, term), now)
    receive(node, SECOND, AppendReply(term, True, 3, now), now)
    assert node.commit == 3
    assert state_of(node, "c3", now) == "replacing"
    receive(node, NEW, AppendReply(term, True, 3, now), now)
    assert state_of(node, "c3", now) == "done"


def test_replacing_entry_counts_only_after_its_own_sync():
    node = node_with(stored(membership(*NAMES), 1, 1, 1))
    receive(node, SECOND, heartbeat(2, [Entry(2, 2)]), START)
    term = elect(node, START + 3)
    receive(node, SECOND, AppendReply(term, True, 3, START + 3), START + 3)
    assert node.commit == 0
    node.step(act.Synced(3, term), START + 3)
    assert node.commit == 3


def test_snapshot_contains_the_membership_at_its_index():
    node, term, now = leader_with_joining_replica()
    receive(node, NEW, AppendReply(term, True, 2, now), now)
    node.step(act.Tick(), now)
    actions = node.step(act.SnapshotTaken(2, b""), now)
    saved = next(a for a in actions if isinstance(a, act.SaveSnapshot))
    assert saved.snapshot.membership == membership("c1", "c2")
    assert saved.entries[0].membership.has(NEW.identity)


@pytest.mark.parametrize("cluster, target", [("x", "c1-9"), ("y", ME.identity)])
def test_message_for_another_identity_or_cluster_is_ignored(cluster, target):
    node = node_with(stored(membership(*NAMES)))
    envelope = Envelope(cluster, SECOND, target, heartbeat(5))
    assert not node.step(act.Received(envelope), START)
    assert node.state.term == 1


def test_member_without_a_leader_asks_to_join_as_it_may_be_replaced():
    node = node_with(stored(membership(*NAMES)))
    node.step(act.Tick(), START + 3)
    actions = node.step(act.Tick(), START + 4)
    sent = [a.envelope.body for a in actions if isinstance(a, act.Send)]
    assert JoinReq() in sent


def test_leader_without_a_lease_steps_down():
    node = node_with(stored(membership(*NAMES)))
    elect(node, START + 3)
    node.step(act.Tick(), START + 3.7)
    assert node.role is Role.LEADER
    node.step(act.Tick(), START + 3.9)
    assert node.role is Role.FOLLOWER


def test_replica_started_on_its_replaced_disk_becomes_a_member_again():
    cluster = formed(3)
    replica = cluster.replicas["c3"]
    former = replica.identity, replica.stored
    cluster.wipe(replica)
    cluster.restart(replica)
    cluster.run_until(cluster.full)
    cluster.crash(replica)
    replica.identity, replica.stored = former
    cluster.restart(replica)
    cluster.run_until(cluster.full)
