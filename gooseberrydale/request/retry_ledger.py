"""What all gateways have spent on retries within the window. Pure.

One per process.  Each gateway reports its requests and retries of the window by pool,
as a ``ReportExtra``.  Peers keep the last report of each incarnation of a gateway until
what it states has left the window, so the spending of a process is not forgotten when
it ends.

The limit of the fleet is the sum of the parts of its gateways.  A gateway may have
spent more than its part is now: its callers went to another one, or it has ended and
another process has its part of the slack.  Then all gateways use the same fraction of
their parts, the level, at which the sum of what was spent and of what may still be
spent is the limit: of a part, the larger one of what was spent and of what the level
allows counts.  Retries that the level allows don't change it, so gateways that spend at
the same time, on reports that are a little old, together stay within the limit.

For other zones a relay reports sums, for a few levels.

A process that ends without a report that it closes may have spent all of its part since
its last report, so all of it counts as spent.  This is what a lost last report costs:
the part of one gateway for one window.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

REPORT_INTERVAL_S = 0.25
"""Minimum time between two reports, as they repeat all counts.  Within it the counts of
a window of ten seconds change by a fortieth if traffic is steady."""

SILENT_AFTER_S = 1.3
"""Time without a report after which a gateway counts as unknown.  Reports come at least
every second.  Its callers may be moving to other gateways meanwhile, and their requests
pay for retries a second time."""

BUSY_SILENT_AFTER_S = 0.6
"""The same for a gateway with ``BUSY_REQUESTS`` in the last tenth of the window, which
reports at each ``REPORT_INTERVAL_S``; one report may be lost.  Callers of a gateway
that ends pay for retries elsewhere until its end is noticed."""

BUSY_REQUESTS = 4
"""Requests after which a gateway reports without waiting for the next second."""

CLOSED_RETENTION_S = 80.0
"""Time for which a gateway that has closed is not taken for an unknown one.  Others
count it for a minute after its announcement lapses, which takes 12 s."""

BUCKETS = 10
"""Number of parts of the window in which reports count separately.  What an ended
process has spent is counted for up to a tenth of the window too long."""

LEVELS = 8
"""Number of steps between the levels 0 and 1 for which sums are reported."""

MAX_POOLS = 32
"""Most pools in a report, those with most retries; about 40 bytes each."""

MAX_ENDED = 64
"""Most ended processes in a report, those that spent most; about 60 bytes each for one
pool.  A process that can't report all does not vouch for the window."""


class PoolCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests and retries of one pool in each part of the window, latest first."""

    pool: str
    requests: tuple[int, ...]
    retries: tuple[int, ...]


class EndedCounts(msgspec.Struct, frozen=True, array_like=True):
    """The last report of an ended process, and its age.

    It is ``exact`` if the process sent it when it closed.
    """

    gateway: str
    incarnation: str
    age_s: float
    exact: bool
    pools: tuple[PoolCounts, ...]


class OwnReport(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one gateway, and of the ended processes that it knows.

    It ``vouches`` if it knows of all processes that ended within the window.  ``heard``
    identifies the processes whose reports it has: a process that it doesn't name yet
    may have had a predecessor, which is not among the ended ones.
    """

    incarnation: str
    closed: bool
    vouches: bool
    pools: tuple[PoolCounts, ...]
    ended: tuple[EndedCounts, ...] = ()
    heard: tuple[int, ...] = ()


class PoolSums(msgspec.Struct, frozen=True, array_like=True):
    """Sums of one pool over gateways: the retries that their requests pay for, and what
    is spent, at most, if all use each of the levels from 0 to 1."""

    pool: str
    paid: float
    used: tuple[int, ...]


class AreaSums(msgspec.Struct, frozen=True, array_like=True):
    """Sums over the gateways of an area.

    ``gateways`` counts those that report, ``shares`` also the ended ones that have no
    successor.  The sums ``vouch`` if their sender knows what was spent in the window;
    other sums are not used, so an area that was killed counts as not reporting.
    """

    gateways: int
    shares: int
    vouch: bool
    pools: tuple[PoolSums, ...]


@dataclass(frozen=True, slots=True)
class Part:
    """One gateway's part of the limit, and what it has spent."""

    paid: float
    slack: float
    spent: float

    def used(self, level: float) -> float:
        """Return what is spent if the gateway uses ``level`` of its part."""
        return max(self.spent, level * (self.paid + self.slack))


@dataclass(frozen=True, slots=True)
class _NearSums:
    """Sums over the gateways that report directly, and those that have ended.

    ``spent`` is that of the ended ones, ``shares`` the number of shares of the slack.
    """

    paid: float
    parts: Sequence[Part]
    spent: int
    shares: int

    def used(self, step: int) -> float:
        """Return what is spent if all use the level of a step."""
        level = step / LEVELS
        return self.spent + sum(part.used(level) for part in self.parts)


@dataclass(frozen=True, slots=True)
class _Known:
    """The last report of a process that has not ended, when it came, and until when it
    counts without another one."""

    incarnation: str
    at: float
    until: float
    pools: Mapping[str, PoolCounts]


@dataclass(frozen=True, slots=True)
class _Ended:
    """The last report of a process that has ended, and when it was sent."""

    at: float
    exact: bool
    pools: Mapping[str, PoolCounts]


@dataclass(frozen=True, slots=True)
class _Area:
    """The last sums of an area, and when they came."""

    at: float
    sums: AreaSums
    pools: Mapping[str, PoolSums]


_own_decoder = msgspec.msgpack.Decoder(OwnReport)
_area_decoder = msgspec.msgpack.Decoder(AreaSums)


class RetryLedger:
    """Exchanges counts of retries with the other gateways; a ``ReportExtra``.

    ``ratio`` is what a request pays for, ``slack`` returns the part of the slack that
    each gateway has now, and ``counts`` the own counts.
    """

    name = "retries"

    def __init__(
        self,
        ratio: float,
        window_s: float,
        incarnation: str,
        slack: Callable[[], float],
        counts: Callable[[float], tuple[PoolCounts, ...]],
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._incarnation = incarnation
        self._slack = slack
        self._counts = counts
        self._started_at = -math.inf
        self._told = False
        self._closed = False
        self._due_at = -math.inf
        self._zone_due_at = -math.inf
        self._elsewhere_due_at = -math.inf
        self._expire_at = -math.inf
        self._known: dict[str, _Known] = {}
        self._ended: dict[tuple[str, str], _Ended] = {}
        self._closed_at: dict[str, float] = {}
        self._areas: dict[str, _Area] = {}

    def start(self, now: float) -> None:
        """Record that the process starts now, and knows of no window before."""
        self._started_at = now

    def report_soon(self) -> None:
        """Make the next report due at once."""
        self._due_at = -math.inf

    def close(self) -> None:
        """Let the next reports state that this process spends no more."""
        self._closed = True
        self.report_soon()

    def age_s(self, now: float) -> float:
        """Return for how long this process has run."""
        return now - self._started_at

    def vouches(self, now: float) -> bool:
        """Whether this process knows what was spent in the window: it has lived through
        it, or another one that knows has reported."""
        return self._told or self.age_s(now) >= self._window_s

    def reporting(self, now: float) -> int:
        """Return how many other gateways report, or have closed."""
        live = set(self._live(now))
        closed = {
            name
            for name, at in self._closed_at.items()
            if name not in self._known and now < at + CLOSED_RETENTION_S
        }
        far = sum(area.sums.gateways for area in self._live_areas(now))
        return len(live | closed) + far

    def mean_requests(self, pool: str, own: int, now: float) -> float:
        """Return the mean number of requests of the gateways that report nearby."""
        known = [k.pools.get(pool) for k in self._live(now).values()]
        total = own + sum(sum(counts.requests) for counts in known if counts)
        return total / (1 + len(known))

    def level(self, pool: str, own: Part, gateways: int, now: float) -> float:
        """Return the fraction of its part that each gateway may use now.

        The slack is divided among ``gateways``.
        """
        near = self._near_sums(pool, own, now)
        far_paid, far_used, far_shares = self._far_sums(pool, now)
        shares = min(near.shares + far_shares, max(1, gateways))
        limit = near.paid + far_paid + shares * self._slack()
        return _highest_level(lambda step: near.used(step) + far_used[step], limit)

    def own(self, now: float) -> bytes:
        """Return the report of this gateway; empty if none is due."""
        if now < self._due_at and not self._closed:
            return b""
        self._expire(now)
        self._due_at = now + REPORT_INTERVAL_S
        ended = sorted(self._ended.items(), key=lambda item: -_retries(item[1]))
        return msgspec.msgpack.encode(
            OwnReport(
                self._incarnation,
                self._closed,
                self.vouches(now) and len(ended) <= MAX_ENDED,
                _most_retries(self._counts(now)),
                tuple(
                    EndedCounts(name, inc, now - e.at, e.exact, tuple(e.pools.values()))
                    for (name, inc), e in ended[:MAX_ENDED]
                ),
                tuple(_short(known.incarnation) for known in self._live(now).values()),
            )
        )

    def merge_own(self, gateway: str, data: bytes, now: float) -> None:
        """Merge the report of a nearby gateway; unreadable ones are ignored."""
        try:
            report = _own_decoder.decode(data)
        except msgspec.MsgspecError:
            return
        self._expire(now)
        pools = {counts.pool: counts for counts in report.pools if _is_valid(counts)}
        before = self._known.pop(gateway, None)
        if before is not None and before.incarnation != report.incarnation:
            self._end(gateway, before)
        if report.closed:
            self._closed_at[gateway] = now
            ended = _Ended(now, True, _spending(pools))
            self._add_ended((gateway, report.incarnation), ended)
        else:
            until = now + _silent_after_s(pools.values())
            self._known[gateway] = _Known(report.incarnation, now, until, pools)
            self._ended.pop((gateway, report.incarnation), None)
        for counts in report.ended:
            self._merge_ended(counts, now)
        if report.vouches and _short(self._incarnation) in report.heard:
            self._told = True

    def zone(self, now: float) -> bytes:
        """Return the sums over all gateways of this zone; empty if not due.

        A relay that has just started may not have heard all of them yet.
        """
        is_new = self.age_s(now) < SILENT_AFTER_S and not self.vouches(now)
        if is_new or now < self._zone_due_at:
            return b""
        self._expire(now)
        self._zone_due_at = now + REPORT_INTERVAL_S
        own = {counts.pool: counts for counts in self._counts(now)}
        pools = set(own).union(*(k.pools for k in self._live(now).values()))
        pools.update(pool for ended in self._ended.values() for pool in ended.pools)
        sums, shares = [], 1
        for pool in pools:
            part = self._part(own.get(pool))
            near = self._near_sums(pool, part, now)
            used = tuple(math.ceil(near.used(step)) for step in range(LEVELS + 1))
            sums.append(PoolSums(pool, near.paid, used))
            shares = max(shares, near.shares)
        gateways = 1 + len(self._live(now))
        return _encode_area(gateways, max(gateways, shares), self.vouches(now), sums)

    def elsewhere(self, now: float) -> bytes:
        """Return the sums over all other zones; empty if none or not due."""
        areas = self._live_areas(now)
        if not areas or now < self._elsewhere_due_at:
            return b""
        self._elsewhere_due_at = now + REPORT_INTERVAL_S
        pools: dict[str, PoolSums] = {}
        for area in areas:
            for sums in area.pools.values():
                known = pools.get(sums.pool)
                pools[sums.pool] = sums if known is None else _add(known, sums)
        return _encode_area(
            sum(area.sums.gateways for area in areas),
            sum(area.sums.shares for area in areas),
            True,
            pools.values(),
        )

    def merge_area(self, area: str, data: bytes, now: float) -> None:
        """Merge the sums of an area; unreadable ones are ignored."""
        try:
            sums = _area_decoder.decode(data)
        except msgspec.MsgspecError:
            return
        # A relay receives the sums of single zones, the other gateways their sum.
        for other in [a for a in self._areas if (a == "") != (area == "")]:
            del self._areas[other]
        pools = {p.pool: p for p in sums.pools if len(p.used) == LEVELS + 1}
        self._areas[area] = _Area(now, sums, pools)

    def _near_sums(self, pool: str, own: Part, now: float) -> _NearSums:
        """Return the sums of the gateways that report directly and the ended ones."""
        live = self._live(now)
        parts = [own, *(self._part(known.pools.get(pool)) for known in live.values())]
        paid, spent, names = sum(part.paid for part in parts), 0, set(live)
        for (name, _), ended in self._ended.items():
            counts = ended.pools.get(pool)
            if counts is not None:
                paid += self._ratio * self._requests_left(counts, now - ended.at)
                spent += self._retries_left(counts, now - ended.at)
                names.add(name)
        return _NearSums(paid, parts, spent, 1 + len(names))

    def _far_sums(self, pool: str, now: float) -> tuple[float, list[float], int]:
        """Return, for all other zones, what requests pay for, what is used at each
        level, and the number of shares of the slack."""
        paid, used, shares = 0.0, [0.0] * (LEVELS + 1), 0
        for area in self._live_areas(now):
            shares += area.sums.shares
            sums = area.pools.get(pool)
            if sums is not None:
                paid += sums.paid
                used = [a + b for a, b in zip(used, sums.used, strict=True)]
            else:
                share = area.sums.shares * self._slack()
                used = [u + step / LEVELS * share for step, u in enumerate(used)]
        return paid, used, shares

    def _part(self, counts: PoolCounts | None) -> Part:
        if counts is None:
            return Part(0.0, self._slack(), 0.0)
        return Part(
            self._ratio * sum(counts.requests), self._slack(), sum(counts.retries)
        )

    def _requests_left(self, counts: PoolCounts, age_s: float) -> float:
        """Return how many requests of a report are still within the window."""
        width_s = self._window_s / BUCKETS
        return sum(
            count * min(1.0, max(0.0, (self._window_s - age_s) / width_s - index))
            for index, count in enumerate(counts.requests)
        )

    def _retries_left(self, counts: PoolCounts, age_s: float) -> int:
        """Return how many retries of a report may still be within the window."""
        width_s = self._window_s / BUCKETS
        return sum(
            count
            for index, count in enumerate(counts.retries)
            if age_s + index * width_s < self._window_s
        )

    def _live(self, now: float) -> Mapping[str, _Known]:
        return {name: known for name, known in self._known.items() if now < known.until}

    def _live_areas(self, now: float) -> list[_Area]:
        """Return the areas whose sums are known, and what was spent before them."""
        return [
            area
            for area in self._areas.values()
            if area.sums.vouch and now < area.at + SILENT_AFTER_S
        ]

    def _end(self, gateway: str, known: _Known) -> None:
        """Record the end of a process that did not report that it closes."""
        pools = {pool: self._all_spent(counts) for pool, counts in known.pools.items()}
        ended = _Ended(known.at, False, _spending(pools))
        self._add_ended((gateway, known.incarnation), ended)

    def _all_spent(self, counts: PoolCounts) -> PoolCounts:
        """Return the counts of a process that has spent its part after its report."""
        part = self._part(counts)
        unreported = max(0, int(part.paid + part.slack - part.spent))
        latest, *earlier = counts.retries
        return msgspec.structs.replace(counts, retries=(latest + unreported, *earlier))

    def _merge_ended(self, counts: EndedCounts, now: float) -> None:
        known = self._known.get(counts.gateway)
        is_own = counts.incarnation == self._incarnation
        if is_own or (known is not None and known.incarnation == counts.incarnation):
            return
        pools = {pool.pool: pool for pool in counts.pools if _is_valid(pool)}
        ended = _Ended(now - max(0.0, counts.age_s), counts.exact, pools)
        self._add_ended((counts.gateway, counts.incarnation), ended)
        if counts.exact:
            self._closed_at.setdefault(counts.gateway, ended.at)

    def _add_ended(self, key: tuple[str, str], ended: _Ended) -> None:
        """Keep the report of an ended process, unless a better one is known."""
        known = self._ended.get(key)
        if known is None or (ended.exact and not known.exact):
            self._ended[key] = ended

    def _expire(self, now: float) -> None:
        """Drop ended processes of which nothing is within the window."""
        if now < self._expire_at:
            return
        self._expire_at = now + REPORT_INTERVAL_S
        self._ended = {
            key: ended
            for key, ended in self._ended.items()
            if now < ended.at + self._window_s
        }
        for name in [
            name
            for name, at in self._closed_at.items()
            if now >= at + CLOSED_RETENTION_S
        ]:
            del self._closed_at[name]
        for name in [
            name
            for name, known in self._known.items()
            if now >= known.at + CLOSED_RETENTION_S
        ]:
            del self._known[name]


def _highest_level(used: Callable[[int], float], limit: float) -> float:
    """Return the highest level at which at most ``limit`` is used; 0 if there is none.

    ``used`` returns what is used at a step of the levels.  It rises ever faster, so
    between two steps it is at most the value interpolated.
    """
    above = math.inf
    for step in range(LEVELS, -1, -1):
        here = used(step)
        if here <= limit + 1e-9:
            if step == LEVELS:
                return 1.0
            return max(0.0, (step + (limit - here) / (above - here)) / LEVELS)
        above = here
    return 0.0


def _silent_after_s(pools: Iterable[PoolCounts]) -> float:
    latest = sum(counts.requests[0] for counts in pools)
    return BUSY_SILENT_AFTER_S if latest >= BUSY_REQUESTS else SILENT_AFTER_S


def _short(incarnation: str) -> int:
    """Return an identifier of four bytes."""
    return zlib.crc32(incarnation.encode())


def _most_retries(pools: Iterable[PoolCounts]) -> tuple[PoolCounts, ...]:
    """Return the pools that fit a report: first those with most retries."""
    order = sorted(pools, key=lambda c: (-sum(c.retries), -sum(c.requests)))
    return tuple(order[:MAX_POOLS])


def _encode_area(
    gateways: int, shares: int, vouch: bool, pools: Iterable[PoolSums]
) -> bytes:
    order = sorted(pools, key=lambda sums: -sums.used[0])
    return msgspec.msgpack.encode(
        AreaSums(gateways, shares, vouch, tuple(order[:MAX_POOLS]))
    )


def _add(one: PoolSums, other: PoolSums) -> PoolSums:
    used = tuple(a + b for a, b in zip(one.used, other.used, strict=True))
    return PoolSums(one.pool, one.paid + other.paid, used)


def _spending(pools: Mapping[str, PoolCounts]) -> dict[str, PoolCounts]:
    """Return the pools with retries; the others need no retention."""
    return {name: counts for name, counts in pools.items() if any(counts.retries)}


def _retries(ended: _Ended) -> int:
    return sum(sum(counts.retries) for counts in ended.pools.values())


def _is_valid(counts: PoolCounts) -> bool:
    return len(counts.requests) == len(counts.retries) == BUCKETS
