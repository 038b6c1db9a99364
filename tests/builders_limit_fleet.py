"""Simulates a fleet of gateways and one upstream with a rate limit, without a network.

Time advances in steps.  Gateways use the real :class:`UpstreamLimits`; reports between
them are delayed and lost, gateways restart with no state, and each send is recorded.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.connection.limit_gossip import POLL_INTERVAL_S
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.upstream_limits import LimitReport, UpstreamLimits

STEP_S = 0.02
ANSWER_S = (0.05, 0.4)
BINDING_AFTER_S = 0.5
EXCUSED_S = 3.0
"""Time after a restart for which the sends of a gateway are not counted."""

ALONE_S = 1.0
"""Time after its start for which a gateway sees no other gateway."""

LEASE_S = 12.0
"""Time for which the others still see a gateway that has ended."""

SEEN_S = (0.05, 2.0)
"""Range of the time after which another gateway sees a new one, drawn for each."""

UPSTREAM = "u1"


@dataclass
class Node:
    """One gateway; ``known_at`` is when it first had the limit."""

    peer: GatewayPeer
    limits: UpstreamLimits
    started_at: float
    known_at: float | None = None


@dataclass
class LimitFleet:
    """Gateways, and an upstream that names ``per_s`` in its answers.

    ``callers`` returns the requests per second at a gateway at a given time.  ``sends``
    has the times of all sends, ``counted`` those of gateways that must keep the limit.
    From ``control_down_from`` on no announcement is renewed, as if all control replicas
    had failed.
    """

    size: int
    seed: int
    callers: Callable[[int, float], float]
    per_s: float | None = None
    loss: float = 0.0
    now: float = 0.0
    control_down_from: float = math.inf
    sends: list[float] = field(default_factory=list)
    counted: list[float] = field(default_factory=list)
    bytes_sent: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        # Every gateway so far, with the start and end of its announcements.
        self._announced: dict[GatewayPeer, tuple[float, float]] = {}
        self._names = 0
        self.nodes = [
            self._node(self._new_peer(-60.0), -60.0) for _ in range(self.size)
        ]
        self._answers: list[tuple[float, Node, float | None]] = []

    def _new_peer(self, since: float) -> GatewayPeer:
        name = f"g{self._names}"
        peer = GatewayPeer(name, f"{name}:1", f"z{self._names % 6}")
        self._names += 1
        self._announced[peer] = since, math.inf
        return peer

    def _node(self, peer: GatewayPeer, started_at: float) -> Node:
        lag_s = self.rng.uniform(*SEEN_S)
        known = Fleet(peer)

        def fleet() -> Fleet:
            nonlocal known
            if self.now < started_at + ALONE_S:
                return known
            others = tuple(
                other
                for other, (since, until) in self._announced.items()
                if other is not peer and since + lag_s <= self.now <= until
            )
            if self.now >= self.control_down_from + LEASE_S:
                others = ()
            if others != known.others:
                known = Fleet(peer, others)
            return known

        limits = UpstreamLimits(fleet, min(8, self.size))
        return Node(peer, limits, started_at)

    def restart(self, *numbers: int) -> None:
        """Restart gateways with no state."""
        for number in numbers:
            peer = self.nodes[number].peer
            self.nodes[number] = self._node(peer, self.now)

    def replace(self, *numbers: int) -> None:
        """Replace gateways, which end without deregistering, by new ones."""
        for number in numbers:
            ended = self.nodes[number].peer
            self._announced[ended] = self._announced[ended][0], self.now + LEASE_S
            self.nodes[number] = self._node(self._new_peer(self.now), self.now)

    def run(self, for_s: float) -> None:
        """Advance the time by ``for_s``."""
        end = self.now + for_s
        while self.now < end:
            self.now += STEP_S
            self._deliver_answers()
            for number, node in enumerate(self.nodes):
                self._report(number, node)
                expected = self.callers(number, self.now) * STEP_S
                while self.rng.random() < expected:
                    self._call(node)
                    expected -= 1.0

    def _call(self, node: Node) -> None:
        if node.limits.wait_s(UPSTREAM, self.now) > 0.0:
            return
        node.limits.sent(UPSTREAM, self.now)
        self.sends.append(self.now)
        bound = (
            node.known_at is not None and self.now >= node.known_at + BINDING_AFTER_S
        )
        if bound and self.now >= node.started_at + EXCUSED_S:
            self.counted.append(self.now)
        at = self.now + self.rng.uniform(*ANSWER_S)
        self._answers.append((at, node, self.per_s))

    def _deliver_answers(self) -> None:
        due = [answer for answer in self._answers if answer[0] <= self.now]
        self._answers = [answer for answer in self._answers if answer[0] > self.now]
        for _, node, per_s in due:
            if node in self.nodes:
                node.limits.answered(UPSTREAM, per_s, self.now)
                self._note_known(node)

    def _report(self, number: int, node: Node) -> None:
        offset = number % round(POLL_INTERVAL_S / STEP_S)
        if round(self.now / STEP_S) % round(POLL_INTERVAL_S / STEP_S) != offset:
            return
        node.limits.retain((UPSTREAM,), self.now)
        report = node.limits.next_report(self.now)
        if report is None:
            return
        data = encode(report)
        self.bytes_sent += len(data) * (self.size - 1)
        for other in self.nodes:
            if other is not node and self.rng.random() >= self.loss:
                received = decode(data)
                assert isinstance(received, LimitReport)
                other.limits.merge(received, self.now)
                self._note_known(other)

    def _note_known(self, node: Node) -> None:
        if node.known_at is None and node.limits.per_s(UPSTREAM) is not None:
            node.known_at = self.now
