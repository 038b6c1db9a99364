"""Simulates many entries and upstreams under one routing policy.

The simulation computes on simulated time, without processes or messages.  An upstream
computes one prompt after the other and caches prefixes, of which it evicts the least
recently used.  A reply reaches its entry with the first token; heartbeats report the
load until then.  A prompt begins with its workspace's guide, a long text, and a "lot",
one of several shorter texts; only the question after them is new.  Few workspaces get
most of the requests.  The same seed gives the same result.
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
class ModelSize:
    """Counts and durations of a simulation; defaults are a fifth of a full fleet."""

    upstreams: int = 148
    entries: int = 70
    workspaces: int = 360
    requests_per_s: float = 980.0
    warm_up_s: float = 12.0
    measured_s: float = 18.0


@dataclass(frozen=True, slots=True)
class RefreshMode:
    """How entries receive load reports besides replies.

    Each entry receives the load of all upstreams within ``interval_s``, in
    ``partitions`` reports; with 0 partitions it receives none.
    """

    name: str
    interval_s: float = 0.0
    partitions: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request, its arrival time and the entry that receives it."""

    at: float
    entry: int
    req: RouteReq


@dataclass(frozen=True, slots=True)
class Figures:
    """Times to the first token, and the fraction of prompt tokens that were cached."""

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
    """Computes one prompt after the other and caches prefixes (LRU)."""

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
        """Queue a prompt; return the time of its first token and its cached tokens."""
        cached = 0
        for piece in itertools.takewhile(lambda p: p.chain in self._cache, pieces):
            cached += piece.tokens
        total = sum(piece.tokens for piece in pieces)
        begins_at = max(now, self._free_at)
        self._free_at = begins_at + (total - cached) / PREFILL_TPS
        self._cache_prefix(pieces)
        return self._free_at, cached

    def _cache_prefix(self, pieces: tuple[Piece, ...]) -> None:
        # The first piece becomes the most recently used, so that a prefix is evicted
        # only after the pieces that follow it.
        for piece in reversed(pieces):
            if piece.chain not in self._cache:
                self._cache[piece.chain] = piece.tokens
                self._cached_tokens += piece.tokens
            self._cache.move_to_end(piece.chain)
        while self._cached_tokens > CACHE_TOKENS:
            self._cached_tokens -= self._cache.popitem(last=False)[1]


REPLIES_ONLY = RefreshMode("replies only")


class Simulation:
    """Simulates one sequence of requests under one policy and refresh mode."""

    def __init__(
        self,
        size: ModelSize,
        seed: int,
        policy: str = "affinity",
        refresh: RefreshMode = REPLIES_ONLY,
    ) -> None:
        self._size = size
        self._refresh_mode = refresh
        rng = random.Random(f"routers {seed}")
        self._upstreams = [Upstream(record) for record in records(size.upstreams)]
        self._by_name = {u.record.name: u for u in self._upstreams}
        self._records = tuple(u.record for u in self._upstreams)
        self._routers = [
            make_policy(policy, random.Random(rng.random()))
            for _ in range(size.entries)
        ]
        self._refresh_offsets = [rng.random() for _ in range(size.entries)]
        self._replies: list[tuple[float, int, int, Choice, int | None]] = []
        self._reply_numbers = itertools.count()
        self._first_token_times: list[float] = []
        self._cached_prompt_tokens = self._prompt_tokens = 0

    def run(self, arrivals: list[Arrival]) -> Figures:
        """Serve all arrivals; return the figures of those after the warm-up."""
        refreshes = self._refreshes()
        next_refresh = next(refreshes, None)
        for arrival in arrivals:
            while next_refresh is not None and next_refresh[0] <= arrival.at:
                self._refresh(*next_refresh)
                next_refresh = next(refreshes, None)
            self._deliver_replies(arrival.at)
            self._serve(arrival)
        self._first_token_times.sort()
        count = len(self._first_token_times)
        return Figures(
            statistics.fmean(self._first_token_times),
            self._first_token_times[int(count * 0.95)],
            self._first_token_times[int(count * 0.99)],
            self._cached_prompt_tokens / self._prompt_tokens,
        )

    def _serve(self, arrival: Arrival) -> None:
        now = arrival.at
        router = self._routers[arrival.entry]
        choice = router.choose(arrival.req, self._records, now).unwrap()
        router.dispatched(choice, now)
        upstream = self._by_name[choice.record.name]
        first_at, cached = upstream.serve(arrival.req.pieces, now + TRANSFER_S)
        reply_at = first_at + TRANSFER_S
        self._schedule_reply(reply_at, arrival.entry, choice, cached)
        beat_at = now + HEARTBEAT_S
        while beat_at < reply_at:
            self._schedule_reply(beat_at, arrival.entry, choice, None)
            beat_at += HEARTBEAT_S
        if now >= self._size.warm_up_s:
            self._first_token_times.append(reply_at - now)
            self._cached_prompt_tokens += cached
            self._prompt_tokens += sum(piece.tokens for piece in arrival.req.pieces)

    def _schedule_reply(
        self, at: float, entry: int, choice: Choice, cached: int | None
    ) -> None:
        reply = (at, next(self._reply_numbers), entry, choice, cached)
        heapq.heappush(self._replies, reply)

    def _deliver_replies(self, until: float) -> None:
        while self._replies and self._replies[0][0] <= until:
            at, _, entry, choice, cached = heapq.heappop(self._replies)
            load = self._by_name[choice.record.name].load(at - TRANSFER_S)
            frame: Frame = Heartbeat("r", load)
            if cached is not None:
                frame = Accepted("r", 1, "1", 0, 200, (), load, 0, cached)
            self._routers[entry].observe(choice, frame, at)

    def _refreshes(self) -> Iterator[tuple[float, int, int]]:
        """Yield the time, entry and partition of each refresh, ordered by time."""
        if not self._refresh_mode.partitions:
            return
        step_s = self._refresh_mode.interval_s / self._refresh_mode.partitions
        for step in itertools.count():
            partition = step % self._refresh_mode.partitions
            order = sorted(
                (offset, entry) for entry, offset in enumerate(self._refresh_offsets)
            )
            for offset, entry in order:
                yield (step + offset) * step_s, entry, partition

    def _refresh(self, at: float, entry: int, partition: int) -> None:
        for upstream in self._upstreams[partition :: self._refresh_mode.partitions]:
            load = upstream.load(at - TRANSFER_S)
            self._routers[entry].observe_load(upstream.record, load, at)


def records(count: int) -> list[UpstreamRecord]:
    """Return the upstreams of one pool, spread over the zones."""
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


def draw_arrivals(size: ModelSize, seed: int) -> list[Arrival]:
    """Return the arrivals of a seed.

    Few workspaces get most of the requests; which ones changes every
    ``HOT_SHIFT_S`` seconds.
    """
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
        req = RouteReq(
            f"w{workspace}",
            PROFILE,
            pieces,
            zone=f"zone-{entry % ZONES}",
            entries=size.entries,
        )
        arrivals.append(Arrival(now, entry, req))
    return arrivals


def prompt(workspace: int, lot: int, question: bytes) -> tuple[Piece, ...]:
    """Return a guide of several pieces, a lot and a new question."""
    names = [f"{workspace}/{number}" for number in range(GUIDE_PIECES)]
    names.append(f"{workspace}/lot/{lot}")
    tokens = [PIECE_TOKENS] * GUIDE_PIECES + [LOT_TOKENS]
    shared = [Piece(name.encode().rjust(16), t) for name, t in zip(names, tokens)]
    return (*shared, Piece(question, QUESTION_TOKENS))
