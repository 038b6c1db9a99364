"""The share of each workspace in a pool's capacity, over all gateways.

One object per process; no I/O.  Each gateway counts the tokens that it sent in the last
two seconds and those that wait, and reports its largest workspaces and the sum of the
rest.  The share is the weighted max-min level: capacity is what was sent, and what one
workspace leaves unused goes to the others.  While nothing waits, no workspace is over
its share.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from gooseberrydale.request.waiting.pace import Interval, Pace, name_hash
from gooseberrydale.version.peer_loads import OTHER_ZONES

WINDOW_S = 2.0
"""Time over which sent tokens count.  A burst of some seconds is noticed within it, and
it holds some dozens of requests of a workspace."""

BUCKET_S = 0.25
BUCKETS = round(WINDOW_S / BUCKET_S)

NAMED = 8
"""How many workspaces a gateway reports by name."""

SERVED_FRACTION = 0.8
"""Fraction of the level from which a workspace that wants more than the level is over
its share.  It then waits for the others before it has all of its share; with 1.0 it
would only do so once many requests of the others wait, as these lower the level."""

TOKEN_UNIT = 64
"""Tokens are reported in this unit, rounded up, which makes numbers shorter.  A request
without a prompt counts as one unit."""

LEVEL_TTL_S = 0.05
"""How long a computed level is used; reports are not more frequent."""

REPORT_INTERVAL = Interval(min_s=0.25, max_s=4.0, recipients_per_s=15.0)
"""The minimum is an eighth of the window.  Where it is long, the gateways are many and
each sends a small part of a workspace's tokens."""

MIN_TTL_S = 0.6
TTL_INTERVALS = 2.5
"""How long a report is used: two may be lost."""

MAX_POOLS = 64
MAX_TOKENS = 2**40
"""Bounds of what is accepted from another gateway."""

_Entry = tuple[int, int, int, int]
"""The hash of a workspace's name, units of tokens sent and waiting, weight."""

_PoolReport = tuple[int, list[_Entry], int, int]
"""The hash of a pool's name, its largest workspaces; units of tokens sent and waiting
of all others."""

_decoder = msgspec.msgpack.Decoder(list[_PoolReport])


class WaitingTokens(Protocol):
    """What waits here, and whether anything waits anywhere."""

    def tokens(self, pool: str) -> Mapping[str, int]:
        """Return the tokens of this gateway's waiting requests by workspace."""

    def any_waits(self, pool: str, now: float) -> bool:
        """Return whether a request of the pool waits at any gateway."""


@dataclass(slots=True)
class Use:
    """Tokens sent in the window and tokens that wait; a weight of 0 is unknown."""

    sent: int = 0
    waiting: int = 0
    weight: int = 0

    @property
    def demand(self) -> int:
        """Tokens that the workspace would have sent with enough capacity."""
        return self.sent + self.waiting

    def add(self, other: Use) -> None:
        """Add the use that another gateway reports."""
        self.sent += other.sent
        self.waiting += other.waiting
        self.weight = max(self.weight, other.weight)


@dataclass(slots=True)
class PoolUse:
    """The use of a pool: of workspaces by the hash of their names, and the rest."""

    named: dict[int, Use] = field(default_factory=dict)
    rest: Use = field(default_factory=Use)

    def add(self, other: PoolUse) -> None:
        """Add the use that another gateway reports."""
        for workspace, use in other.named.items():
            self.named.setdefault(workspace, Use()).add(use)
        self.rest.add(other.rest)

    def largest(self) -> PoolUse:
        """Return the same use with only the largest workspaces named."""
        by_demand = sorted(self.named.items(), key=lambda item: -item[1].demand)
        rest = Use(self.rest.sent, self.rest.waiting)
        for _, use in by_demand[NAMED:]:
            rest.add(Use(use.sent, use.waiting))
        return PoolUse(dict(by_demand[:NAMED]), rest)


def level(uses: Iterable[Use], capacity: float, mean_weight: float) -> float:
    """Return the weighted max-min level: tokens for each unit of weight.

    It is infinite if the capacity suffices for all demands.
    """
    weighted = sorted(
        (use.demand / (use.weight or mean_weight), use.weight or mean_weight)
        for use in uses
    )
    weight_left = sum(weight for _, weight in weighted)
    left = capacity
    for wanted, weight in weighted:
        if wanted * weight_left > left:
            return max(0.0, left) / weight_left
        left -= wanted * weight
        weight_left -= weight
    return float("inf")


def shares_of(use: PoolUse) -> dict[int, float]:
    """Return the share of each named workspace in tokens; empty if nothing waits."""
    named = use.named.values()
    waiting = use.rest.waiting + sum(one.waiting for one in named)
    if not waiting:
        return {}
    known = [one.weight for one in named if one.weight]
    mean_weight = sum(known) / len(known) if known else 1.0
    # What the unnamed workspaces still want is small for each of them, so it is
    # within their shares.
    capacity = sum(one.sent for one in named) - use.rest.waiting
    limit = level(named, capacity, mean_weight)
    return {
        workspace: limit * (one.weight or mean_weight)
        for workspace, one in use.named.items()
    }


def overs(use: PoolUse) -> frozenset[int]:
    """Return the workspaces over their share, by the hash of their names."""
    return frozenset(
        workspace
        for workspace, share in shares_of(use).items()
        if use.named[workspace].demand > share
        and use.named[workspace].sent > SERVED_FRACTION * share
    )


@dataclass(frozen=True, slots=True)
class WorkspaceUse:
    """What the fleet sent for a workspace, and its share, in tokens per second.

    ``share_per_s`` is infinite while nothing limits it.
    """

    over: bool
    sent_per_s: float
    share_per_s: float


class _Window:
    """Tokens that this gateway sent in the last seconds for one pool."""

    def __init__(self) -> None:
        self._buckets: dict[int, dict[str, int]] = {}
        self.weights: dict[str, int] = {}

    def add(self, workspace: str, tokens: int, now: float) -> None:
        bucket = self._buckets.setdefault(int(now / BUCKET_S), {})
        bucket[workspace] = bucket.get(workspace, 0) + tokens
        self._expire(now)

    def sums(self, now: float) -> dict[str, int]:
        self._expire(now)
        sums: dict[str, int] = {}
        for bucket in self._buckets.values():
            for workspace, tokens in bucket.items():
                sums[workspace] = sums.get(workspace, 0) + tokens
        return sums

    def _expire(self, now: float) -> None:
        oldest = int(now / BUCKET_S) - BUCKETS
        for number in [number for number in self._buckets if number <= oldest]:
            del self._buckets[number]


@dataclass(frozen=True, slots=True)
class _Reported:
    at: float
    pools: dict[int, PoolUse]


class WorkspaceShares:
    """Which workspaces are over their share of each pool.

    ``waiting`` says what waits; ``recipients`` how many gateways receive reports.
    """

    name = "shares"

    def __init__(self, waiting: WaitingTokens, recipients: Callable[[], int]) -> None:
        self._waiting = waiting
        self._recipients = recipients
        self._windows: dict[str, _Window] = {}
        self._gateways: dict[str, _Reported] = {}
        self._areas: dict[str, _Reported] = {}
        self._overs: dict[str, tuple[float, frozenset[int]]] = {}
        self._paces = {audience: Pace() for audience in ("own", "zone", "elsewhere")}

    def sent(
        self, pool: str, workspace: str, tokens: int, weight: int, now: float
    ) -> None:
        """Record that a request of a workspace was sent; ``weight`` 0 is unknown."""
        window = self._windows.setdefault(pool, _Window())
        window.add(workspace, max(TOKEN_UNIT, tokens), now)
        window.weights[workspace] = weight

    def is_over(self, pool: str, workspace: str, now: float) -> bool:
        """Return whether a workspace has more than its share while others wait."""
        return name_hash(workspace) in self.overs(pool, now)

    def overs(self, pool: str, now: float) -> frozenset[int]:
        """Return the workspaces over their share, by the hash of their names."""
        if not self._waiting.any_waits(pool, now):
            return frozenset()
        computed_at, known = self._overs.get(pool, (float("-inf"), frozenset()))
        if now >= computed_at + LEVEL_TTL_S:
            known = overs(self._total(pool, now))
            self._overs[pool] = now, known
        return known

    def workspaces(self, pool: str, now: float) -> set[str]:
        """Return the workspaces whose requests were sent or wait at this gateway."""
        window = self._windows.get(pool)
        sent = set() if window is None else set(window.sums(now))
        return sent | set(self._waiting.tokens(pool))

    def uses(
        self, pool: str, workspaces: Iterable[str], now: float
    ) -> dict[str, WorkspaceUse]:
        """Return the use of each workspace over the fleet, by name."""
        total, over = self._total(pool, now), self.overs(pool, now)
        shares = shares_of(total) if self._waiting.any_waits(pool, now) else {}
        found = {}
        for name in workspaces:
            key = name_hash(name)
            sent = total.named.get(key, Use()).sent
            share = shares.get(key, float("inf"))
            found[name] = WorkspaceUse(key in over, sent / WINDOW_S, share / WINDOW_S)
        return found

    def report_age_s(self, pool: str, now: float) -> float:
        """Return the age of the youngest report of a pool that counts; 0 if none."""
        key = name_hash(pool)
        reports = [
            report
            for table in (self._gateways, self._areas)
            for report in self._recent(table, now)
            if key in report.pools
        ]
        return min((now - report.at for report in reports), default=0.0)

    def mean_weight(self, pool: str) -> float:
        """Return the mean of the known weights of a pool's workspaces; else 1."""
        window = self._windows.get(pool)
        known = [] if window is None else [w for w in window.weights.values() if w]
        return sum(known) / len(known) if known else 1.0

    def own(self, now: float) -> bytes:
        """Return the use of this gateway, once it is due to be reported."""
        return self._encode("own", self._own_uses(now), now)

    def merge_own(self, gateway: str, data: bytes, now: float) -> None:
        """Merge the report of a nearby gateway."""
        pools = _decode(data)
        if pools is not None:
            self._gateways[gateway] = _Reported(now, pools)

    def zone(self, now: float) -> bytes:
        """Return the use of the gateways of this zone."""
        pools = self._own_uses(now)
        for report in self._recent(self._gateways, now):
            _add_to(pools, report)
        return self._encode("zone", pools, now)

    def elsewhere(self, now: float) -> bytes:
        """Return the use of the gateways of other zones."""
        pools: dict[int, PoolUse] = {}
        for report in self._recent(self._areas, now):
            _add_to(pools, report)
        return self._encode("elsewhere", pools, now)

    def merge_area(self, area: str, data: bytes, now: float) -> None:
        """Merge the sums of an area; one of all other zones replaces single ones."""
        pools = _decode(data)
        if pools is None:
            return
        for known in list(self._areas):
            if OTHER_ZONES in (area, known) and known != area:
                del self._areas[known]
        self._areas[area] = _Reported(now, pools)

    def _total(self, pool: str, now: float) -> PoolUse:
        total = self._own_use(pool, now)
        key = name_hash(pool)
        for table in (self._gateways, self._areas):
            for report in self._recent(table, now):
                if key in report.pools:
                    total.add(report.pools[key])
        return total

    def _own_uses(self, now: float) -> dict[int, PoolUse]:
        """Return the use of each pool for which any request waits."""
        return {
            name_hash(pool): self._own_use(pool, now)
            for pool in self._windows
            if self._waiting.any_waits(pool, now)
        }

    def _own_use(self, pool: str, now: float) -> PoolUse:
        use, window = PoolUse(), self._windows.get(pool)
        if window is not None:
            for name, sent in window.sums(now).items():
                weight = window.weights.get(name, 0)
                use.named[name_hash(name)] = Use(sent, 0, weight)
        for name, tokens in self._waiting.tokens(pool).items():
            use.named.setdefault(name_hash(name), Use()).waiting = tokens
        return use

    def _recent(self, table: dict[str, _Reported], now: float) -> list[_Reported]:
        """Return the reports that are not too old, and drop the others."""
        interval_s = REPORT_INTERVAL.of(self._recipients())
        ttl_s = max(MIN_TTL_S, TTL_INTERVALS * interval_s)
        for key in [key for key, known in table.items() if now >= known.at + ttl_s]:
            del table[key]
        return list(table.values())

    def _encode(self, audience: str, pools: dict[int, PoolUse], now: float) -> bytes:
        interval_s = REPORT_INTERVAL.of(self._recipients())
        if not self._paces[audience].is_due(bool(pools), interval_s, now):
            return b""
        return msgspec.msgpack.encode(
            [_pool_report(pool, use.largest()) for pool, use in pools.items()]
        )


def _add_to(pools: dict[int, PoolUse], report: _Reported) -> None:
    for pool, use in report.pools.items():
        pools.setdefault(pool, PoolUse()).add(use)


def _pool_report(pool: int, use: PoolUse) -> _PoolReport:
    named = [
        (key, _units(one.sent), _units(one.waiting), min(MAX_TOKENS, one.weight))
        for key, one in use.named.items()
    ]
    return pool, named, _units(use.rest.sent), _units(use.rest.waiting)


def _decode(data: bytes) -> dict[int, PoolUse] | None:
    """Return a decoded report; None if it is invalid or out of bounds."""
    try:
        report = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    if len(report) > MAX_POOLS or not all(map(_is_in_bounds, report)):
        return None
    return {
        pool: PoolUse(
            {key: _use(*counts) for key, *counts in named}, _use(sent, waiting)
        )
        for pool, named, sent, waiting in report
    }


def _units(tokens: int) -> int:
    return min(MAX_TOKENS, -(-tokens // TOKEN_UNIT))


def _use(sent: int, waiting: int, weight: int = 0) -> Use:
    return Use(sent * TOKEN_UNIT, waiting * TOKEN_UNIT, weight)


def _is_in_bounds(report: _PoolReport) -> bool:
    _, named, *rest = report
    counts = (*rest, *(count for _, *more in named for count in more))
    return len(named) <= NAMED and all(0 <= count <= MAX_TOKENS for count in counts)
