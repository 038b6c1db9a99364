"""A model of many entries and upstreams under one routing policy.

Plain arithmetic on simulated time, no processes and no messages: an upstream
computes one prompt after the other and caches prefixes, least used out first; a
reply reaches its entry with the first token, heartbeats with the load before.
Requests share guides of workspaces, few of which are hot, and lots within them.  A
run depends on nothing but its seed.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import statistics
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import Accepted, Frame, Heartbeat, Load, Piece
from gooseberrydale.request.baselines import make_policy
from gooseberrydale.request.routing import Choice, RouteReq
from gooseberrydale.version.declarations import Profile, ProfileKind

ZONES = 8
PREFILL_TPS = 30_000.0
CACHE_TOKENS = 160_000
TRANSFER_S = 0.003
HEARTBEAT_S = 1.0
HOT_SHIFT_S = 6.0
GUIDE_PIECES = 4
PIECE_TOKENS = 4_000
LOT_TOKENS = 1_500
LOTS = 6
QUESTION_TOKENS = 200
PROFILE = Profile("summary", ProfileKind.COMPLETION, "engines", model="m")


@dataclass(frozen=True, slots=True)
class Size:
    """How many there are of each, and seconds; by default a fifth of the target."""

    upstreams: int = 148
    entries: int = 70
    workspaces: int = 360
    requests_per_s: float = 980.0
    warm_up_s: float = 12.0
    measured_s: float = 18.0


@dataclass(frozen=True, slots=True)
class Way:
    """A way to refresh views: ``interval_s`` for all of it, in ``partitions``."""

    name: str
    interval_s: float = 0.0
    partitions: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request and the entry that it comes to."""

    at: float
    entry: int
    req: RouteReq


@dataclass(frozen=True, slots=True)
class Figures:
    """Seconds to the first token, and the part of prompt tokens found cached."""

    mean_s: float
    p95_s: float
    p99_s: float
    hit_rate: float

    @staticmethod
    def mean(runs: list[Figures]) -> Figures:
        """Return the mean of each figure over several runs."""
        columns = zip(*(dataclasses.astuple(run) for run in runs))
        return Figures(*map(statistics.fmean, columns))

    def __str__(self) -> str:
        return (
            f"mean {self.mean_s * 1e3:7.1f}  p95 {self.p95_s * 1e3:8.1f}"
            f"  p99 {self.p99_s * 1e3:8.1f} ms  hits {self.hit_rate:.3f}"
        )


class Upstream:
    """Computes one prompt after the other; caches prefixes, least used out first."""

    def __init__(self, record: UpstreamRecord) -> None:
        self.record = record
        self._free_at = 0.0
        self._cache: OrderedDict[bytes, int] = OrderedDict()
        self._cached_tokens = 0

    def load(self, now: float) -> Load:
        """Return the load as a sidecar reports it."""
        queue_s = max(0.0, self._free_at - now)
        return Load(queue_s=queue_s, prefill_tps=PREFILL_TPS)

    def serve(self, pieces: tuple[Piece, ...], now: float) -> tuple[float, int]:
        """Take a prompt; return the time of its first token and tokens cached."""
        cached = 0
        for piece in itertools.takewhile(lambda p: p.chain in self._cache, pieces):
            cached += piece.tokens
        total = sum(piece.tokens for piece in pieces)
        begins_at = max(now, self._free_at)
        self._free_at = begins_at + (total - cached) / PREFILL_TPS
        self._keep(pieces)
        return self._free_at, cached

    def _keep(self, pieces: tuple[Piece, ...]) -> None:
        # The outermost piece last, so that a prefix outlives what builds on it.
        for piece in reversed(pieces):
            if piece.chain not in self._cache:
                self._cache[piece.chain] = piece.tokens
                self._cached_tokens += piece.tokens
            self._cache.move_to_end(piece.chain)
        while self._cached_tokens > CACHE_TOKENS:
            self._cached_tokens -= self._cache.popitem(last=False)[1]


REPLIES_ONLY = Way("replies only")


class Run:
    """One sequence of requests under one policy and one way of refreshing views."""

    def __init__(
        self, size: Size, seed: int, policy: str = "affinity", way: Way = REPLIES_ONLY
    ) -> None:
        self._size = size
        self._way = way
        rng = random.Random(f"routers {seed}")
        self._upstreams = [Upstream(record) for record in records(size.upstreams)]
        self._by_name = {u.record.name: u for u in self._upstreams}
        self._records = tuple(u.record for u in self._upstreams)
        self._routers = [
            make_policy(policy, random.Random(rng.random()))
            for _ in range(size.entries)
        ]
        self._phases = [rng.random() for _ in range(size.entries)]
        self._replies: list[tuple[float, int, int, Choice, int | None]] = []
        self._serial = itertools.count()
        self._waits: list[float] = []
        self._cached = self._total = 0

    def play(self, arrivals: list[Arrival]) -> Figures:
        """Serve all arrivals; return the figures after the warm-up."""
        refreshes = self._refreshes()
        due = next(refreshes, None)
        for arrival in arrivals:
            while due is not None and due[0] <= arrival.at:
                self._refresh(*due)
                due = next(refreshes, None)
            self._answer(arrival.at)
            self._serve(arrival)
        self._waits.sort()
        count = len(self._waits)
        return Figures(
            statistics.fmean(self._waits),
            self._waits[int(count * 0.95)],
            self._waits[int(count * 0.99)],
            self._cached / self._total,
        )

    def _serve(self, arrival: Arrival) -> None:
        now = arrival.at
        router = self._routers[arrival.entry]
        choice = router.choose(arrival.req, self._records, now).unwrap()
        router.dispatched(choice, now)
        upstream = self._by_name[choice.record.name]
        first_at, cached = upstream.serve(arrival.req.pieces, now + TRANSFER_S)
        reply_at = first_at + TRANSFER_S
        self._reply(reply_at, arrival.entry, choice, cached)
        beat_at = now + HEARTBEAT_S
        while beat_at < reply_at:
            self._reply(beat_at, arrival.entry, choice, None)
            beat_at += HEARTBEAT_S
        if now >= self._size.warm_up_s:
            self._waits.append(reply_at - now)
            self._cached += cached
            self._total += sum(piece.tokens for piece in arrival.req.pieces)

    def _reply(self, at: float, entry: int, choice: Choice, cached: int | None) -> None:
        reply = (at, next(self._serial), entry, choice, cached)
        heapq.heappush(self._replies, reply)

    def _answer(self, until: float) -> None:
        while self._replies and self._replies[0][0] <= until:
            at, _, entry, choice, cached = heapq.heappop(self._replies)
            load = self._by_name[choice.record.name].load(at - TRANSFER_S)
            frame: Frame = Heartbeat("r", load)
            if cached is not None:
                frame = Accepted("r", 1, "1", 0, 200, (), load, 0, cached)
            self._routers[entry].observe(choice, frame, at)

    def _refreshes(self) -> Iterator[tuple[float, int, int]]:
        """Yield time, entry and partition of each refresh, in order of time."""
        if not self._way.partitions:
            return
        step_s = self._way.interval_s / self._way.partitions
        for turn in itertools.count():
            partition = turn % self._way.partitions
            order = sorted((phase, entry) for entry, phase in enumerate(self._phases))
            for phase, entry in order:
                yield (turn + phase) * step_s, entry, partition

    def _refresh(self, at: float, entry: int, partition: int) -> None:
        for upstream in self._upstreams[partition :: self._way.partitions]:
            load = upstream.load(at - TRANSFER_S)
            self._routers[entry].observe_load(upstream.record, load, at)


def records(count: int) -> list[UpstreamRecord]:
    """Return the upstreams of one pool over the zones."""
    return [
        UpstreamRecord(
            name=f"upstream-{number}",
            incarnation="1",
            seq=1,
            address="",
            zone=f"zone-{number % ZONES}",
            region="r",
            pool=PROFILE.pool,
            kind="completion",
            model=PROFILE.model,
        )
        for number in range(count)
    ]


def draw(size: Size, seed: int) -> list[Arrival]:
    """Return the arrivals of one seed: few workspaces are hot, and these change."""
    rng = random.Random(f"arrivals {seed}")
    weights = [1 / (rank + 1) for rank in range(size.workspaces)]
    ranked = list(range(size.workspaces))
    arrivals: list[Arrival] = []
    now, shift_at = 0.0, 0.0
    while now < size.warm_up_s + size.measured_s:
        if now >= shift_at:
            rng.shuffle(ranked)
            shift_at += HOT_SHIFT_S
        now += rng.expovariate(size.requests_per_s)
        workspace = rng.choices(ranked, weights)[0]
        entry = rng.randrange(size.entries)
        pieces = prompt(workspace, rng.randrange(LOTS), rng.randbytes(16))
        req = RouteReq(f"w{workspace}", PROFILE, pieces, zone=f"zone-{entry % ZONES}")
        arrivals.append(Arrival(now, entry, req))
    return arrivals


def prompt(workspace: int, lot: int, question: bytes) -> tuple[Piece, ...]:
    """Return a guide of several pieces, a lot and a question that is new."""
    names = [f"{workspace}/{number}" for number in range(GUIDE_PIECES)]
    names.append(f"{workspace}/lot/{lot}")
    tokens = [PIECE_TOKENS] * GUIDE_PIECES + [LOT_TOKENS]
    known = [Piece(name.encode().rjust(16), t) for name, t in zip(names, tokens)]
    return (*known, Piece(question, QUESTION_TOKENS))
