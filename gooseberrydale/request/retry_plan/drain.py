"""Counts the requests that begin and the retries that are promised, over the fleet.

One object per process; no I/O.  Gateways exchange both counts with their reports of
work.  What a gateway reported is dropped once it stops reporting.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import zip_longest

import msgspec

from gooseberrydale.version.peer_loads import OTHER_ZONES

RATE_WINDOW_S = 1.0
"""Requests that began within this time give the drain rate: about two run times, and
short enough to follow a burst of five seconds."""

REPORT_INTERVAL_S = 0.25
"""Interval between two reports of the counts, a quarter of the time they cover."""

REPORT_TTL_S = 1.5
"""Time for which a report is used.  Several in a row may be lost within it."""

REFRESH_S = 0.05
"""Interval at which the counts of other gateways are summed up."""

DRAIN_TTL_S = 0.02
"""Time for which the drain of a pool is used.  Many requests wait at once, and each is
decided on at about such intervals."""

BUCKET_S = 0.25
"""Length of the intervals by which promised retries are counted."""

MAX_BUCKETS = 24
"""Intervals that are told apart; retries that are due later count in the last one.
Callers that wait 24 seconds are asked to retry within them."""

MAX_POOLS = 64
MAX_RANKS = 16
MAX_COUNT = 1_000_000
"""Bounds of a report: pools, ranks of a pool, and the value of a count."""

_Key = tuple[str, int]


class DrainCount(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one rank of a pool.

    ``began`` are the requests that began in the last second, ``promised`` the retries
    that are due in each interval of ``BUCKET_S``, from that of the report on.
    """

    pool: str
    rank: int
    began: int
    promised: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class PoolDrain:
    """The drain of one pool at one time, for a request of one rank.

    ``per_s`` are the requests that begin in a second, by rank.  ``promised`` are the
    retries of this rank and more urgent ones that are due in each interval of
    ``BUCKET_S``; the first one contains the present.
    """

    per_s: Mapping[int, int]
    promised: tuple[int, ...] = ()


_decoder = msgspec.msgpack.Decoder(list[DrainCount])


class _Recent:
    """Counts of the reports of some senders, each used for a limited time."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, list[DrainCount]]] = {}

    def merge(self, sender: str, data: bytes, now: float) -> None:
        """Replace the counts of a sender; data that can't be decoded is ignored."""
        counts = _decode(data)
        if counts is not None:
            self._reports[sender] = now, counts

    def retain(self, senders: Iterable[str]) -> None:
        """Drop the counts of all other senders."""
        kept = set(senders)
        self._reports = {k: v for k, v in self._reports.items() if k in kept}

    def counts(self, now: float) -> list[DrainCount]:
        """Return the counts of all senders that reported recently."""
        for sender, (at, _) in list(self._reports.items()):
            if at + REPORT_TTL_S <= now:
                del self._reports[sender]
        return [
            _aged(count, now - at)
            for at, counts in self._reports.values()
            for count in counts
        ]

    @property
    def senders(self) -> list[str]:
        """The senders whose counts are kept."""
        return list(self._reports)


class _Interval:
    """Limits how often one kind of report is sent."""

    def __init__(self) -> None:
        self._due = 0.0
        self._was_empty = True

    def next(self, counts: Iterable[DrainCount], now: float) -> bytes:
        """Return the encoded counts; empty if they are not due or remain zero."""
        if now < self._due:
            return b""
        sums = [c for c in _sums(counts) if c.began or any(c.promised)]
        if not sums and self._was_empty:
            return b""
        self._due, self._was_empty = now + REPORT_INTERVAL_S, not sums
        return msgspec.msgpack.encode(sums[: MAX_POOLS * MAX_RANKS])


class FleetDrain:
    """The drain of each pool; times are seconds of the event loop's clock.

    A :class:`ReportExtra` of the gateways' reports of work.
    """

    name = "drain"

    def __init__(self) -> None:
        self._began: dict[_Key, deque[float]] = {}
        # By the number of the interval in which they are due, counted from time 0.
        self._promised: dict[_Key, Counter[int]] = {}
        self._gateways, self._areas = _Recent(), _Recent()
        self._drains: dict[_Key, tuple[float, PoolDrain]] = {}
        self._others: list[DrainCount] = []
        self._refresh_at = 0.0
        self._own, self._zone, self._elsewhere = _Interval(), _Interval(), _Interval()

    def began(self, pool: str, rank: int, now: float) -> None:
        """Record that a request of this gateway was sent to an upstream."""
        times = self._began.setdefault((pool, rank), deque())
        times.append(now)
        _drop_until(times, now - RATE_WINDOW_S)

    def promised(self, pool: str, rank: int, due: float) -> None:
        """Record that a refused caller may retry at ``due``."""
        self._promised.setdefault((pool, rank), Counter())[int(due / BUCKET_S)] += 1
        self._drains.clear()

    def of(self, pool: str, rank: int, now: float) -> PoolDrain:
        """Return the drain of a pool at all gateways, for a request of ``rank``."""
        at, known = self._drains.get((pool, rank), (0.0, None))
        if known is None or now >= at + DRAIN_TTL_S:
            known = self._sum(pool, rank, now)
            self._drains[pool, rank] = now, known
        return known

    def _sum(self, pool: str, rank: int, now: float) -> PoolDrain:
        per_s: Counter[int] = Counter()
        promised: list[tuple[int, ...]] = []
        for count in self._all(now):
            if count.pool == pool:
                per_s[count.rank] += count.began
                if count.rank <= rank:
                    promised.append(count.promised)
        return PoolDrain(per_s, _add_buckets(promised))

    # The methods of a ReportExtra.

    def own(self, now: float) -> bytes:
        """Return the counts of this gateway."""
        return self._own.next(self._own_counts(now), now)

    def merge_own(self, gateway: str, data: bytes, now: float) -> None:
        """Merge the counts of a nearby gateway."""
        self._gateways.merge(gateway, data, now)

    def zone(self, now: float) -> bytes:
        """Return the sums of this zone."""
        counts = [*self._own_counts(now), *self._gateways.counts(now)]
        return self._zone.next(counts, now)

    def elsewhere(self, now: float) -> bytes:
        """Return the sums of the other zones."""
        return self._elsewhere.next(self._areas.counts(now), now)

    def merge_area(self, area: str, data: bytes, now: float) -> None:
        """Merge the sums of one zone, or those of all other zones.

        A relay receives the former and other gateways the latter; after a change of
        role, the earlier ones would be counted twice.
        """
        known = set(self._areas.senders)
        self._areas.retain(
            {OTHER_ZONES} if area == OTHER_ZONES else known - {OTHER_ZONES}
        )
        self._areas.merge(area, data, now)

    def _all(self, now: float) -> list[DrainCount]:
        if now >= self._refresh_at:
            others = (*self._gateways.counts(now), *self._areas.counts(now))
            self._others, self._refresh_at = _sums(others), now + REFRESH_S
        return [*self._own_counts(now), *self._others]

    def _own_counts(self, now: float) -> list[DrainCount]:
        counts = []
        for key in self._began.keys() | self._promised.keys():
            began = self._began.get(key, deque())
            _drop_until(began, now - RATE_WINDOW_S)
            due = self._promised.get(key, Counter())
            counts.append(DrainCount(*key, len(began), _buckets(due, now)))
        return counts


def _drop_until(times: deque[float], until: float) -> None:
    while times and times[0] <= until:
        times.popleft()


def _buckets(due: Counter[int], now: float) -> tuple[int, ...]:
    """Return the counts from the current interval on; drop those that are past."""
    current = int(now / BUCKET_S)
    for number in [number for number in due if number < current]:
        del due[number]
    if not due:
        return ()
    counts = [0] * min(MAX_BUCKETS, max(due) - current + 1)
    for number, count in due.items():
        counts[min(MAX_BUCKETS - 1, number - current)] += count
    return tuple(counts)


def _aged(count: DrainCount, age_s: float) -> DrainCount:
    """Return a count as it is ``age_s`` after its report."""
    elapsed = round(age_s / BUCKET_S)
    if not elapsed:
        return count
    return msgspec.structs.replace(count, promised=count.promised[elapsed:])


def _add_buckets(promised: Iterable[tuple[int, ...]]) -> tuple[int, ...]:
    return tuple(map(sum, zip_longest(*promised, fillvalue=0)))


def _sums(counts: Iterable[DrainCount]) -> list[DrainCount]:
    began: Counter[_Key] = Counter()
    promised: defaultdict[_Key, list[tuple[int, ...]]] = defaultdict(list)
    for count in counts:
        key = count.pool, count.rank
        began[key] += count.began
        promised[key].append(count.promised)
    return [DrainCount(*key, began[key], _add_buckets(promised[key])) for key in began]


def _decode(data: bytes) -> list[DrainCount] | None:
    try:
        counts = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    if len(counts) > MAX_POOLS * MAX_RANKS:
        return None
    if any(len(count.promised) > MAX_BUCKETS for count in counts):
        return None
    values = (n for c in counts for n in (c.began, *c.promised))
    if any(not 0 <= n <= MAX_COUNT for n in values):
        return None
    return counts
