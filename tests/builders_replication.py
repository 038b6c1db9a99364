"""A cluster of Raft nodes in memory, with disks that lose unsynced writes."""

import random
from collections import Counter
from dataclasses import dataclass, field, replace

from gooseberrydale.version.replication import actions as act
from gooseberrydale.version.replication.bootstrap import (
    common_start,
    first_identity,
    first_start,
)
from gooseberrydale.version.replication.core import RaftCfg, Role
from gooseberrydale.version.replication.messages import Member, Membership
from gooseberrydale.version.replication.raft import RaftNode, Stored

STEP_S = 0.05
NAMES = ("c1", "c2", "c3", "c4", "c5")
OPEN_NAMES = (*NAMES, "c6", "c7", "c8")
RATES = (1.0, 1.05, 0.95, 1.0, 1.05, 0.95, 1.0, 1.05)  # of the replicas' clocks


def small_cfg(names):
    """Settings with which logs are compacted every few entries."""
    return RaftCfg(
        frozenset(names), snapshot_entries=6, keep_entries=2, batch_entries=3
    )


def written(stored, write):
    """The content of the disk after one more write."""
    match write:
        case act.SaveState(state):
            return replace(stored, state=state)
        case act.Truncate(index):
            kept = tuple(e for e in stored.entries if e.index < index)
            return replace(stored, entries=kept)
        case act.Append(entries):
            return replace(stored, entries=stored.entries + entries)
        case act.SaveSnapshot(snapshot, state, entries):
            return replace(stored, state=state, snapshot=snapshot, entries=entries)
        case act.NoteCommit(index):
            return replace(stored, commit=index)


@dataclass
class FakeReplica:
    """A Raft node with its disk.

    ``queue`` holds the writes and messages that wait for a sync, ``open`` the own
    proposals that are not committed yet, by index.
    """

    name: str
    rate: float
    identity: str
    stored: Stored = Stored()
    node: RaftNode | None = None
    queue: list = field(default_factory=list)
    machine: tuple = (0, 0)  # index and hash of all that was applied
    open: dict = field(default_factory=dict)

    @property
    def me(self):
        return Member(self.name, self.identity)

    @property
    def membership(self):
        """The newest membership on disk or in memory."""
        if self.node is not None:
            return self.node.membership
        memberships = [self.stored.snapshot.membership]
        memberships += [e.membership for e in self.stored.entries if e.membership]
        return memberships[-1]


class FakeCluster:
    """Replicas with the messages between them and injected faults.

    Safety rules are checked at each step.
    """

    def __init__(self, size, seed=0, names=NAMES):
        assert size <= len(names)
        self.rng = random.Random(seed)
        self.names = names[:size]
        self.cfg = small_cfg(self.names)
        self.zones = {}
        self.now = 0.0
        self.cuts = set()
        self.frozen = set()
        self.wire = []
        self.lost = set()
        self.numbers = 0
        self.answered = {}
        self.committed = {}  # index -> (entry, hash after it)
        self.leaders = {}  # term -> identity
        self.replicas = {
            name: FakeReplica(name, rate, f"{name}-0")
            for name, rate in zip(self.names, RATES)
        }
        first = self.replicas["c1"]
        first.stored = first_start(first.me, "cluster")
        for replica in self.replicas.values():
            self.restart(replica)

    def clock(self, replica):
        return self.now * replica.rate

    # Faults.

    def crash(self, replica, kept_writes=0):
        """Stop a replica; only the first ``kept_writes`` unsynced writes remain."""
        for item in replica.queue[:kept_writes]:
            if not isinstance(item, act.Send):
                replica.stored = written(replica.stored, item)
        replica.node = None
        replica.queue = []
        replica.open = {}
        self.frozen.discard(replica.name)

    def restart(self, replica):
        stored = replica.stored
        rng = random.Random(self.rng.random())
        cfg = replace(self.cfg, zone=self.zones.get(replica.name, ""))
        replica.node = RaftNode(cfg, replica.me, stored, rng, self.clock(replica))
        replica.machine = (0, 0)
        if stored.snapshot.index:
            self._restore(replica, stored.snapshot)
        for action in replica.node.begin():
            self._execute(replica, action)

    def may_wipe(self, replica):
        """Whether every membership in use retains a majority without this disk."""
        lost = self.lost | {replica.identity}
        for other in self.replicas.values():
            members = other.membership.members if other is not replica else ()
            lost_members = sum(member.identity in lost for member in members)
            if members and lost_members > (len(members) - 1) // 2:
                return False
        return any(other.membership.members for other in self.others(replica))

    def others(self, replica):
        return [r for r in self.replicas.values() if r is not replica]

    def wipe(self, replica):
        self.crash(replica)
        self.lost.add(replica.identity)
        replica.identity = f"{replica.name}-{len(self.lost)}"
        replica.stored = Stored()

    # Simulated time.

    def run(
        self,
        seconds,
        loss=0.0,
        repeat=0.0,
        delay_s=0.02,
        sync=1.0,
        load=0.0,
        restarts=0.0,
    ):
        """Run the cluster for this time.

        ``sync``, ``load`` and ``restarts`` are the probabilities that in one step a
        replica syncs its disk, gets a proposal, or restarts.
        """
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            self._deliver(loss, repeat, delay_s)
            for replica in self.running():
                if self.rng.random() < load:
                    self.propose(replica)
                if self.rng.random() < restarts:
                    self.crash(replica, self.rng.randrange(3))
                    self.restart(replica)
            for replica in self.running():
                if self.rng.random() < 0.9:
                    self.step(replica, act.Tick())
            for replica in self.running():
                if self.rng.random() < sync:
                    self.sync(replica)
            self.check_leases()

    def running(self):
        return [
            r
            for r in self.replicas.values()
            if r.node is not None and r.name not in self.frozen
        ]

    def _deliver(self, loss, repeat, delay_s):
        due = [item for item in self.wire if item[0] <= self.now]
        self.wire = [item for item in self.wire if item[0] > self.now]
        self.rng.shuffle(due)
        for _, name, envelope in due:
            replica = self.replicas[name]
            if name in self.frozen:
                self.wire.append((self.now + STEP_S, name, envelope))
                continue
            if self.rng.random() < repeat:
                late = self.now + self.rng.random() * 20 * delay_s
                self.wire.append((late, name, envelope))
            cut = (envelope.source.name, name) in self.cuts
            if cut or replica.node is None or self.rng.random() < loss:
                continue
            self.step(replica, act.Received(envelope))
        self._delay_s = delay_s

    _delay_s = 0.02

    def propose(self, replica, padding=b""):
        self.numbers += 1
        command = b"%d%s" % (self.numbers, padding)
        self.step(replica, act.Propose(((self.numbers, command),)))

    # Actions.

    def step(self, replica, event):
        for action in replica.node.step(event, self.clock(replica)):
            self._execute(replica, action)
        self._check_leader(replica)
        if isinstance(event, act.Tick):
            next_tick = replica.node.next_tick()
            assert next_tick > self.clock(replica), "next_tick() is not in the future"

    def _execute(self, replica, action):
        match action:
            case act.Send(name, envelope, after_sync):
                if after_sync and replica.queue:
                    replica.queue.append(action)
                else:
                    self._transmit(name, envelope)
            case act.Apply(entries):
                for entry in entries:
                    self._apply(replica, entry)
            case act.Restore(snapshot):
                self._restore(replica, snapshot)
            case act.TakeSnapshot(index):
                assert replica.machine[0] == index
                data = b"%d %d" % replica.machine
                self.step(replica, act.SnapshotTaken(index, data))
            case act.Accepted(number, index, term):
                replica.open[index] = (number, term)
            case act.NotLeader() | act.MembersCommitted():
                pass
            case _:
                replica.queue.append(action)

    def _transmit(self, name, envelope):
        if name in self.replicas:
            due = self.now + self.rng.random() * self._delay_s
            self.wire.append((due, name, envelope))

    def sync(self, replica):
        queue, replica.queue = replica.queue, []
        for item in queue:
            if isinstance(item, act.Send):
                self._transmit(item.name, item.envelope)
            else:
                replica.stored = written(replica.stored, item)
        stored = replica.stored
        last = stored.entries[-1] if stored.entries else stored.snapshot
        self.step(replica, act.Synced(last.index, last.term))

    # Checks.

    def _apply(self, replica, entry):
        index, digest = replica.machine
        assert entry.index == index + 1, "entry applied out of order"
        digest = hash((digest, entry.index, entry.term, entry.data))
        known = self.committed.setdefault(entry.index, (entry, digest))
        assert known == (entry, digest), "a committed entry changed"
        replica.machine = (entry.index, digest)
        number, term = replica.open.pop(entry.index, (None, None))
        may_lead = replica.node.may_lead(self.clock(replica))
        if number is not None and term == entry.term and may_lead:
            self.answered[number] = entry.index

    def _restore(self, replica, snapshot):
        index, digest = (int(part) for part in snapshot.data.split())
        assert index == snapshot.index
        assert (
            self.committed[index][1] == digest
        ), "a snapshot differs from the committed entries"
        replica.machine = (index, digest)

    def _check_leader(self, replica):
        if replica.node.role is Role.LEADER:
            term = replica.node.state.term
            known = self.leaders.setdefault(term, replica.identity)
            assert known == replica.identity, f"two leaders in term {term}"

    def check_leases(self):
        """At most one replica may answer, and it has all committed entries."""
        alive = [r for r in self.replicas.values() if r.node is not None]
        leading = [r for r in alive if r.node.may_lead(self.clock(r))]
        assert len(leading) <= 1, "two replicas may answer"
        for leader in leading:
            newest = max(r.node.commit for r in alive)
            assert leader.node.commit >= newest, "an outdated leader may answer"

    def leader(self):
        leading = [r for r in self.running() if r.node.may_lead(self.clock(r))]
        return leading[0] if leading else None

    def heal(self):
        self.cuts.clear()
        self.frozen.clear()
        for replica in self.replicas.values():
            if replica.node is None:
                self.restart(replica)

    def full(self):
        """Whether a leader reports each replica's current identity as repaired.

        It may not have noticed yet that an identity was lost just now.
        """
        leader = self.leader()
        if leader is None:
            return False
        repairs = leader.node.repairs(self.clock(leader))
        done = {repair.identity for repair in repairs if repair.state == "done"}
        return done == {replica.identity for replica in self.replicas.values()}

    def run_until(self, condition, seconds=60.0):
        deadline = self.now + seconds
        while not condition():
            assert self.now < deadline, f"condition not met within {seconds} s"
            self.run(STEP_S)


def formed(size, seed=0):
    """A cluster of which every replica has become a member."""
    cluster = FakeCluster(size, seed)
    cluster.run_until(cluster.full)
    return cluster


def membership(*names):
    return Membership(tuple(Member(name, f"{name}-0") for name in names))


class OpenCluster(FakeCluster):
    """An open group: seeds that start together, and other replicas that join.

    Names are addresses, so a replica can reach any other whose name it receives.
    """

    def __init__(self, size, seed=0, seeds=3, zones=(), max_voters=3):
        """Create the group; ``zones`` has the zones of the replicas, if they matter."""
        super().__init__(size, seed, OPEN_NAMES)
        names = self.names[:seeds]
        self.cfg = replace(small_cfg(names), max_voters=max_voters)
        self.zones = dict(zip(self.names, zones))
        self.wire = []
        for replica in self.replicas.values():
            self.crash(replica)
            replica.stored = Stored()
            if replica.name in names:
                replica.identity = first_identity(replica.name)
                replica.stored = common_start(names)
            self.restart(replica)

    def voters(self):
        """Names of the voters in the leader's membership; empty without a leader."""
        leader = self.leader()
        members = leader.node.membership.members if leader else ()
        return {member.name for member in members}

    def voters_by_zone(self):
        """Number of voters in each zone, as the leader knows them."""
        return Counter(self.zones[name] for name in self.voters())

    def commit(self):
        """Propose to the leader; wait until all running replicas have applied it."""
        self.run_until(lambda: self.leader() is not None)
        self.propose(self.leader())
        index = self.leader().node.last_index
        self.run_until(lambda: all(r.machine[0] >= index for r in self.running()))
        return index
