"""Directories that gossip over unreliable links, driven at random in simulated time.

Messages are delayed, repeated, reordered and lost; sidecars and receivers restart; each
process has a clock with another offset.  After each step, at every process: no name
returns to an older announcement, and no announcement is visible after the end of the
lease that started when its sidecar made it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.message_age import MessageAgeBound
from gooseberrydale.version.directory import Directory, new_incarnation
from tests.builders_mesh import LEASE_S, record

SIDECARS = 2
RECEIVERS = 3
NODES = SIDECARS + RECEIVERS
EPSILON_S = 1e-6


@dataclass(eq=False)
class Node:
    """One incarnation of a process: its directory and the offset of its clock."""

    index: int
    offset: float
    incarnation: str = ""
    directory: Directory = field(default_factory=Directory)
    seen: dict[str, tuple[str, int]] = field(default_factory=dict)


@dataclass(eq=False)
class End:
    """One end of a connection, at ``node``, with its estimate of the peer's clock."""

    node: Node
    transit: MessageAgeBound = field(default_factory=MessageAgeBound)
    sent_version: int = 0
    peer_sent_at: float | None = None
    peer_received_at: float = 0.0


@dataclass(frozen=True)
class Message:
    """Records in transit from one end of a connection to the other."""

    receiver: End
    sent_at: float
    echo_at: float | None
    records: tuple[UpstreamRecord, ...]


class GossipMachine(RuleBasedStateMachine):
    """Processes, the connections between them, and the messages in transit."""

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(7)
        self.now = 100.0
        self.in_transit: list[Message] = []
        self.made_at: dict[tuple[str, int], float] = {}
        self.ends: dict[tuple[int, int], End] = {}
        self.nodes = [self.new_node(index) for index in range(NODES)]

    def new_node(self, index: int) -> Node:
        node = Node(index, offset=self.rng.uniform(-1000, 1000))
        if index < SIDECARS:
            node.incarnation = new_incarnation(int(self.now * 1e9), self.rng)
        return node

    def clock(self, node: Node) -> float:
        return self.now + node.offset

    def connect(self, first: int, second: int, delay: float = 0.0) -> None:
        """Replace the connection of two processes; the handshake exchanges clocks."""
        pairs = [(first, second), (second, first)]
        for pair in pairs:
            self.ends[pair] = End(self.nodes[pair[0]])
        for pair in [*pairs, pairs[0]]:
            hello = self.make_message(*pair, records=())
            self.now += delay
            self.receive(hello)

    def make_message(
        self, sender: int, receiver: int, records: tuple[UpstreamRecord, ...]
    ) -> Message:
        end = self.ends[sender, receiver]
        now = self.clock(end.node)
        echo_at = None
        if end.peer_sent_at is not None:
            echo_at = end.peer_sent_at + now - end.peer_received_at
        return Message(self.ends[receiver, sender], now, echo_at, records)

    def send_changes(self, sender: int, receiver: int) -> None:
        """Send the records that changed since the last message on this connection."""
        end = self.ends[sender, receiver]
        now = self.clock(end.node)
        delta = end.node.directory.since(end.sent_version, now, exclude=end)
        end.sent_version = delta.version
        self.in_transit.append(self.make_message(sender, receiver, delta.records))

    def receive(self, msg: Message) -> None:
        """Deliver a message to its receiver, unless that process has restarted."""
        end = msg.receiver
        if self.nodes[end.node.index] is not end.node:
            return
        now = self.clock(end.node)
        end.transit.record(msg.sent_at, msg.echo_at, now)
        end.peer_sent_at, end.peer_received_at = msg.sent_at, now
        age_s = end.transit.age_s(msg.sent_at, now)
        for received in msg.records:
            end.node.directory.offer(received, now, age_s=age_s, source=end)

    @rule(seconds=st.sampled_from([0.01, 0.5, 2.0, LEASE_S / 2, LEASE_S, 3 * LEASE_S]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(index=st.integers(0, SIDECARS - 1))
    def announce(self, index: int) -> None:
        node = self.nodes[index]
        seq = sum(key[0] == node.incarnation for key in self.made_at) + 1
        own = record(f"u{index}", node.incarnation, seq=seq)
        self.made_at[node.incarnation, seq] = self.now
        assert node.directory.offer(own, self.clock(node))

    @rule(
        pair=st.tuples(st.integers(0, NODES - 1), st.integers(0, NODES - 1)),
        new=st.sampled_from([False, False, False, True]),
        handshake=st.sampled_from([0.0, 0.0, 1.0]),
    )
    def send(self, pair: tuple[int, int], new: bool, handshake: float) -> None:
        if pair[0] == pair[1]:
            return
        if new or pair not in self.ends:
            self.connect(*pair, delay=handshake)
        self.send_changes(*pair)

    @rule(at=st.integers(0, 30), keep=st.sampled_from([False, False, True]))
    def deliver(self, at: int, keep: bool) -> None:
        """Deliver any message in transit; with ``keep`` it is delivered again later."""
        if not self.in_transit:
            return
        index = at % len(self.in_transit)
        msg = self.in_transit[index] if keep else self.in_transit.pop(index)
        self.receive(msg)

    @rule(at=st.integers(0, 30))
    def lose(self, at: int) -> None:
        if self.in_transit:
            self.in_transit.pop(at % len(self.in_transit))

    @rule(index=st.integers(0, NODES - 1))
    def restart(self, index: int) -> None:
        self.nodes[index] = self.new_node(index)
        self.ends = {pair: e for pair, e in self.ends.items() if index not in pair}

    @rule(index=st.integers(0, NODES - 1))
    def expire(self, index: int) -> None:
        node = self.nodes[index]
        node.directory.expire(self.clock(node))

    @rule()
    def settle(self) -> None:
        """After a round over working links, all processes list all sidecars."""
        self.now += 0.001
        for index in range(SIDECARS):
            self.announce(index)
        for index in range(NODES):
            self.connect(index, (index + 1) % NODES)
        for _ in range(2 * NODES):
            for pair in [p for p in self.ends if (p[1] - p[0]) % NODES in (1, 4)]:
                self.send_changes(*pair)
                self.receive(self.in_transit.pop())
        for node in self.nodes:
            ready = node.directory.ready("p", self.clock(node))
            incarnations = [self.nodes[index].incarnation for index in range(SIDECARS)]
            assert [announced.incarnation for announced in ready] == incarnations

    @invariant()
    def no_record_outlives_its_lease_or_goes_back(self) -> None:
        for node in self.nodes:
            now = self.clock(node)
            shown = node.directory.records(now) + node.directory.ready("p", now)
            for visible in shown:
                age_s = self.now - self.made_at[visible.incarnation, visible.seq]
                assert (
                    age_s < LEASE_S
                ), f"{visible} is visible {age_s} s after it was made"
            for listed in node.directory.records(now):
                age_s = self.now - self.made_at[listed.incarnation, listed.seq]
                assert listed.lease_s <= LEASE_S - age_s + EPSILON_S
                newest = (listed.incarnation, listed.seq)
                assert newest >= node.seen.get(listed.name, newest)
                node.seen[listed.name] = newest


GossipMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    report_multiple_bugs=False,
)
TestGossip = GossipMachine.TestCase
