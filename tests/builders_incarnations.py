"""Builders for the exchange of what ran at upstreams that ended, without sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from gooseberrydale.connection.codec import encode
from gooseberrydale.connection.mesh import Announce, EndedIncarnation
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import LostRuns

FASTEST_S, SLOWEST_S = 0.001, 0.4


def request(number: int) -> bytes:
    """A fingerprint."""
    return number.to_bytes(16, "big")


def lost(*waiting: int, answering: tuple[int, ...] = ()) -> LostRuns:
    """What ran at an upstream when it ended, by numbers of requests."""
    return LostRuns(
        tuple(request(one) for one in waiting),
        tuple(request(one) for one in answering),
    )


def told(name: str, *waiting: int, answering: tuple[int, ...] = ()) -> EndedIncarnation:
    """The same as another process tells it."""
    found = lost(*waiting, answering=answering)
    return EndedIncarnation(name, found.waiting, found.answering)


@dataclass(eq=False)
class End:
    """One end of a session: whose table it reads, and what it has sent."""

    node: Node
    sent: int = 0


@dataclass(eq=False)
class Node:
    """One process; ``up`` is False while it is gone or cannot be reached."""

    name: str
    relays: bool
    table: EndedIncarnations
    up: bool = True
    bytes_in: int = 0

    @staticmethod
    def of(name: str, *, relays: bool) -> Node:
        """A process that knows nothing yet."""
        return Node(name, relays, EndedIncarnations(relays=relays))


@dataclass
class Fleet:
    """Gateways with sessions to some controls, which have sessions to each other.

    Messages of a session arrive in order, late by a random time and at times twice;
    a session breaks at random, loses what is under way, and begins anew.
    """

    rng: random.Random
    gateways: list[Node]
    controls: list[Node]
    now: float = 0.0
    sessions: dict[tuple[Node, Node], tuple[End, End]] = field(default_factory=dict)
    under_way: list[
        tuple[float, int, End, End, bytes, tuple[EndedIncarnation, ...]]
    ] = field(default_factory=list)
    _number: int = 0

    @staticmethod
    def of(rng: random.Random, gateways: int, controls: int) -> Fleet:
        """A fleet whose sessions are all open."""
        found = Fleet(
            rng,
            [Node.of(f"g{n}", relays=False) for n in range(gateways)],
            [Node.of(f"c{n}", relays=True) for n in range(controls)],
        )
        for pair in found.pairs():
            found.open(pair)
        return found

    def pairs(self) -> list[tuple[Node, Node]]:
        """Who has a session to whom."""
        seeds = self.controls[:3]
        pairs = [(one, seed) for one in self.gateways for seed in seeds]
        pairs += [(c, s) for c in self.controls for s in seeds if c is not s]
        return pairs

    def open(self, pair: tuple[Node, Node]) -> None:
        """Begin a session anew."""
        self.sessions[pair] = End(pair[0]), End(pair[1])

    def step(self, seconds: float, *, breaking: float = 0.0) -> None:
        """Let all sessions send, then deliver what is due after ``seconds``."""
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
        news = here.node.table.since(here.sent, self.now, exclude=here)
        here.sent = news.version
        if not news.incarnations:
            return
        data = encode(Announce((), self.now, None, news.incarnations))
        for _ in range(1 + (self.rng.random() < 0.1)):
            at = self.now + self.rng.uniform(FASTEST_S, SLOWEST_S)
            self._number += 1
            self.under_way.append(
                (at, self._number, here, there, data, news.incarnations)
            )

    def _deliver(self) -> None:
        due = [one for one in self.under_way if one[0] <= self.now]
        self.under_way = [one for one in self.under_way if one[0] > self.now]
        self.rng.shuffle(due)
        open_ends = {end for ends in self.sessions.values() for end in ends}
        for _, _, here, there, data, incarnations in due:
            if here not in open_ends or not there.node.up:
                continue
            there.node.bytes_in += len(data)
            for incarnation in incarnations:
                there.node.table.offer(incarnation, self.now, source=there)

    def settle(self, bound_s: float) -> None:
        """Nothing happens for ``bound_s`` but that sessions go on."""
        end = self.now + bound_s
        while self.now < end:
            self.step(0.05)
