"""Simulates the exchange of reports of ended upstreams, without sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from gooseberrydale.connection.codec import encode
from gooseberrydale.connection.mesh import Announce, EndedIncarnation
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import LostRuns

MIN_DELAY_S, MAX_DELAY_S = 0.001, 0.4


def request(number: int) -> bytes:
    """Return a fingerprint for a number."""
    return number.to_bytes(16, "big")


def lost(*waiting: int, answering: tuple[int, ...] = ()) -> LostRuns:
    """Return the runs at an upstream when it ended, from numbers of requests."""
    return LostRuns(
        tuple(request(number) for number in waiting),
        tuple(request(number) for number in answering),
    )


def reported(
    name: str, *waiting: int, answering: tuple[int, ...] = ()
) -> EndedIncarnation:
    """Return the same as a report of another process."""
    runs = lost(*waiting, answering=answering)
    return EndedIncarnation(name, runs.waiting, runs.answering)


@dataclass(eq=False)
class End:
    """One end of a session: its process, and the version that it has sent."""

    node: Node
    sent: int = 0


@dataclass(eq=False)
class Node:
    """One process; ``up`` is False while it is down or can't be reached."""

    name: str
    relays: bool
    table: EndedIncarnations
    up: bool = True
    bytes_in: int = 0

    @staticmethod
    def of(name: str, *, relays: bool) -> Node:
        """Return a process with an empty table."""
        return Node(name, relays, EndedIncarnations(relays=relays))


@dataclass
class Fleet:
    """Gateways with sessions to some controls, which have sessions to each other.

    Messages are delayed by a random time, and some are repeated.  Sessions break at
    random, lose their messages in flight, and are opened again.
    """

    rng: random.Random
    gateways: list[Node]
    controls: list[Node]
    now: float = 0.0
    sessions: dict[tuple[Node, Node], tuple[End, End]] = field(default_factory=dict)
    in_flight: list[
        tuple[float, int, End, End, bytes, tuple[EndedIncarnation, ...]]
    ] = field(default_factory=list)
    _number: int = 0

    @staticmethod
    def of(rng: random.Random, gateways: int, controls: int) -> Fleet:
        """Return a fleet whose sessions are all open."""
        fleet = Fleet(
            rng,
            [Node.of(f"g{n}", relays=False) for n in range(gateways)],
            [Node.of(f"c{n}", relays=True) for n in range(controls)],
        )
        for pair in fleet.pairs():
            fleet.open(pair)
        return fleet

    def pairs(self) -> list[tuple[Node, Node]]:
        """Return the pairs of processes with a session."""
        seeds = self.controls[:3]
        pairs = [(gateway, seed) for gateway in self.gateways for seed in seeds]
        pairs += [(c, s) for c in self.controls for s in seeds if c is not s]
        return pairs

    def open(self, pair: tuple[Node, Node]) -> None:
        """Open a session, or replace it by a new one."""
        self.sessions[pair] = End(pair[0]), End(pair[1])

    def step(self, seconds: float, *, breaking: float = 0.0) -> None:
        """Send on all sessions, then deliver the messages due after ``seconds``."""
        for pair, (here, there) in list(self.sessions.items()):
            if self.rng.random() < breaking:
                self.open(pair)
                continue
            if pair[0].up and pair[1].up:
                self._send(here, there)
                self._send(there, here)
        self.now += seconds
        self._deliver()

    def _send(self, here: End, there: End) -> None:
        update = here.node.table.since(here.sent, self.now, exclude=here)
        here.sent = update.version
        if not update.incarnations:
            return
        data = encode(Announce((), self.now, None, update.incarnations))
        for _ in range(1 + (self.rng.random() < 0.1)):
            at = self.now + self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S)
            self._number += 1
            self.in_flight.append(
                (at, self._number, here, there, data, update.incarnations)
            )

    def _deliver(self) -> None:
        due = [message for message in self.in_flight if message[0] <= self.now]
        self.in_flight = [
            message for message in self.in_flight if message[0] > self.now
        ]
        self.rng.shuffle(due)
        open_ends = {end for ends in self.sessions.values() for end in ends}
        for _, _, here, there, data, incarnations in due:
            if here not in open_ends or not there.node.up:
                continue
            there.node.bytes_in += len(data)
            for incarnation in incarnations:
                there.node.table.offer(incarnation, self.now, source=there)

    def settle(self, bound_s: float) -> None:
        """Run the sessions for ``bound_s`` without new ends or breaks."""
        end = self.now + bound_s
        while self.now < end:
            self.step(0.05)
