"""A simulated pool whose engines differ in speed, and gateways that learn it."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from gooseberrydale.request.members import Members
from gooseberrydale.request.placement import Candidate, Demand, choose
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.speeds.reports import SpeedReports
from gooseberrydale.version.speeds.speed import NEUTRAL, Speed
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from gooseberrydale.version.upstream_load import Load
from tests.builders_gateway import record

POOL = "p"
TOKENS_PER_S = 51_100.0
FETCH_TOKENS_PER_S = 300_000.0
START_S = 0.008
PER_S = 153.0
DEMANDS = (Demand(2_890, 6_300, new_tokens=10), Demand(628, 198, new_tokens=58))
LARGE_FRACTION = 0.39
PREFIXES = 78
SPELL_S = 0.6
SLOW_FRACTION = 0.15
SLOWNESS = 2.5
WAIT_FRACTION = 0.8
"""Part of the queued work that is done before a request that arrives behind it."""
TICK_S = 0.02
"""Interval between the work reports of a gateway."""


@dataclass
class SimulatedEngine:
    """Computes prompts one after the other."""

    name: str
    factor: float
    free_at: float = 0.0
    tokens: int = 0
    requests: int = 0
    answers: int = 0


@dataclass
class Node:
    """One gateway: its speeds, and its reports to the others."""

    speeds: UpstreamSpeeds
    reports: SpeedReports
    sent_bytes: int = 0


def node(gateways: int = 2) -> Node:
    """Return a gateway in a fleet whose gateways all report to each other."""
    speeds = UpstreamSpeeds()
    return Node(speeds, SpeedReports(speeds, fleet_of(gateways)))


def fleet_of(gateways: int) -> Callable[[], Fleet]:
    """Return the view that one gateway has of a zone of ``gateways``."""
    peers = tuple(GatewayPeer(f"g{n}", f"h:{n}", "z") for n in range(gateways))
    fleet = Fleet(peers[0], peers[1:])
    return lambda: fleet


@dataclass
class Play:
    """Requests to 23 engines through several gateways; ``times`` are (at, seconds).

    ``speed_of`` replaces what a gateway has learned; ``lost`` is the fraction of
    reports that are lost.  Without ``announced`` engines always state 1.0.
    """

    seed: int = 1
    announced: bool = True
    gateways: int = 9
    lost: float = 0.0
    speed_of: Callable[[Node, str, float], Speed] | None = None
    times: list[tuple[float, float]] = field(default_factory=list)
    now: float = 0.0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        names = [f"e{number}" for number in range(23)]
        slow = set(self.rng.sample(names, 6))
        self.engines = {
            name: SimulatedEngine(name, 0.55 if name in slow else 1.2) for name in names
        }
        self.nodes = [node(self.gateways) for _ in range(self.gateways)]
        self._members = Members("", "")
        self._members.refresh(tuple(record(name, pool="") for name in names))
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._spells: dict[int, set[str]] = {}
        self._at(0.0, self._arrive)
        self._at(TICK_S, self._report)

    def run_until(self, end: float) -> None:
        while self._events[0][0] < end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def mean_s(self, since: float) -> float:
        """Return the mean time to the first event of requests after ``since``."""
        times = [took_s for at, took_s in self.times if at >= since]
        return sum(times) / len(times)

    def slowness(self, name: str) -> float:
        spell = int(self.now / SPELL_S)
        if spell not in self._spells:
            size = round(SLOW_FRACTION * len(self.engines))
            self._spells[spell] = set(self.rng.sample(list(self.engines), size))
        return SLOWNESS if name in self._spells[spell] else 1.0

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _speed(self, gateway: Node, name: str) -> Speed:
        if self.speed_of is not None:
            return self.speed_of(gateway, name, self.now)
        return gateway.speeds.of(POOL, name, self.now)

    def _arrive(self) -> None:
        self._at(self.now + self.rng.expovariate(PER_S), self._arrive)
        gateway = self.rng.choice(self.nodes)
        demand = DEMANDS[self.rng.random() > LARGE_FRACTION]
        if self.speed_of is None:
            self._members.weigh(gateway.speeds.weights(POOL))
        prefix = b"prefix %d" % self.rng.randrange(PREFIXES)
        candidates = [
            Candidate(
                name,
                Load(engine.requests, engine.tokens, 0),
                preference_rank=rank,
                stored=True,
                speed=self._speed(gateway, name),
            )
            for rank, name in enumerate(self._members.preferred(prefix))
            for engine in [self.engines[name]]
        ]
        chosen = choose(candidates, demand, self.rng)
        assert chosen is not None
        self._serve(gateway, self.engines[chosen.name], chosen, demand)

    def _serve(
        self, gateway: Node, engine: SimulatedEngine, chosen: Candidate, demand: Demand
    ) -> None:
        sent_at, prefill = self.now, demand.prefill_at(chosen)
        rate = TOKENS_PER_S * engine.factor / self.slowness(engine.name)
        begin = max(self.now, engine.free_at)
        engine.free_at = begin + prefill.own / rate
        took_s = WAIT_FRACTION * (begin - self.now) + prefill.own / rate
        took_s += START_S * TOKENS_PER_S / rate + prefill.fetched / FETCH_TOKENS_PER_S
        took_s *= self.rng.lognormvariate(0.0, 0.1)
        engine.tokens += prefill.own
        engine.requests += 1

        def begun() -> None:
            engine.tokens -= prefill.own
            engine.requests -= 1
            engine.answers += 1
            stated = self.slowness(engine.name) if self.announced else 1.0
            gateway.speeds.stated(POOL, engine.name, stated, self.now)
            took = self.now - sent_at
            gateway.speeds.first_event(POOL, engine.name, prefill, took, self.now)
            self.times.append((sent_at, took))

        self._at(self.now + took_s, begun)

    def _report(self) -> None:
        self._at(self.now + TICK_S, self._report)
        for number, sender in enumerate(self.nodes):
            data = sender.reports.own(self.now)
            sender.sent_bytes += len(data)
            for receiver in self.nodes:
                is_lost = self.rng.random() < self.lost
                if data and receiver is not sender and not is_lost:
                    receiver.reports.merge_own(f"g{number}", data, self.now)


def neutral(_gateway: Node, _name: str, _now: float) -> Speed:
    return NEUTRAL
