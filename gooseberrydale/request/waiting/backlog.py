"""What waits for capacity at all gateways, by pool, rank and class.

One object per process; no I/O.  It is exchanged with the reports of work.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import msgspec

from gooseberrydale.request.capacity_ports import Ahead
from gooseberrydale.request.waiting.pace import Interval, Pace, name_hash
from gooseberrydale.request.waiting.queue import WaitClass, Waiting
from gooseberrydale.version.peer_loads import OTHER_ZONES

REPORT_TTL_S = 0.5
"""How long a report is used.  No request waits longer than this for a gateway that has
stopped or can't be reached."""

REPORT_INTERVAL = Interval(min_s=0.05, max_s=0.4, recipients_per_s=60.0)
"""A request waits for about that long until others know of it, so the minimum is the
interval of sums between zones.  The maximum is below the time for which a report is
used."""

MAX_ZONE_INTERVAL_S = 0.2
"""Longest interval of sums for the few relays of other zones.  It adds to the age of
what they forward."""

MAX_POOLS = 64
MAX_CLASSES = 64
MAX_REQUESTS = 100_000
MAX_TOKENS = 2**40
MAX_WAIT_S = 600.0
"""Bounds of what is accepted from another gateway."""

CS_PER_S = 100.0
CLASSES_PER_RANK = 4

PoolWaiting = Mapping[WaitClass, Waiting]

_Entry = tuple[int, int, int, int]
"""The number of a class, requests, tokens, oldest wait in hundredths of a second."""

_Report = list[tuple[int, list[_Entry]]]
"""The hash of a pool's name, and an entry for each class."""

_decoder = msgspec.msgpack.Decoder(_Report)


@dataclass(frozen=True, slots=True)
class _Reported:
    at: float
    pools: dict[int, dict[WaitClass, Waiting]]

    def age_s(self, now: float) -> float:
        """Return how long ago the report was received."""
        return now - self.at


_Aged = tuple[float, PoolWaiting]
"""What waits for a pool, and the time in seconds since it was reported."""


class FleetBacklog:
    """The waiting work of this gateway and what the others report of theirs.

    ``own`` returns what waits here, by the name of its pool; ``recipients`` how many
    gateways receive the reports of this one.
    """

    name = "backlog"

    def __init__(
        self,
        own: Callable[[float], Mapping[str, PoolWaiting]],
        recipients: Callable[[], int],
    ) -> None:
        self._own = own
        self._recipients = recipients
        self._gateways: dict[str, _Reported] = {}
        self._areas: dict[str, _Reported] = {}
        self._paces = {audience: Pace() for audience in ("own", "zone", "elsewhere")}

    def ahead_of(
        self, pool: str, rank: int, over_share: bool, waited_s: float, now: float
    ) -> Ahead:
        """Return the waiting work that is served before such a request.

        The request is assumed to meet its objective still.
        """
        key = WaitClass(rank, over_share)
        here = 0.0, self._own(now).get(pool, {})
        return _ahead([here, *self._elsewhere(pool, now)], key, waited_s)

    def ahead_elsewhere(
        self, pool: str, key: WaitClass, waited_s: float, now: float
    ) -> Ahead:
        """Return the work at other gateways that may still be served before a request.

        Work counts for less the older its report is, as some of it was served since.
        Counted in full, it kept 600 requests of 70 gateways waiting for a second after
        a burst while most slots of engines were free.
        """
        requests = tokens = 0.0
        for report in self._elsewhere(pool, now):
            ahead, left = (
                _ahead([report], key, waited_s),
                1.0 - report[0] / REPORT_TTL_S,
            )
            requests += ahead.requests * left
            tokens += ahead.tokens * left
        return Ahead(requests, tokens)

    def has_elsewhere(self, pool: str, now: float) -> bool:
        """Return whether any request waits for a pool at another gateway."""
        return bool(self._elsewhere(pool, now))

    def more_urgent_elsewhere(self, pool: str, rank: int, now: float) -> bool:
        """Return whether a more urgent request waits at another gateway."""
        reports = self._elsewhere(pool, now)
        return any(key.rank < rank for _, sums in reports for key in sums)

    def first_rank(self, pool: str, now: float) -> int | None:
        """Return the most urgent rank that waits at any gateway; None if none does."""
        here = {key.rank for key in self._own(now).get(pool, {})}
        elsewhere = {key.rank for _, sums in self._elsewhere(pool, now) for key in sums}
        return min(here | elsewhere, default=None)

    def own(self, now: float) -> bytes:
        """Return what waits here, once it is due to be reported."""
        pools = {name_hash(pool): sums for pool, sums in self._own(now).items() if sums}
        return self._encode("own", pools, now)

    def merge_own(self, gateway: str, data: bytes, now: float) -> None:
        """Merge the report of a nearby gateway."""
        pools = _decode(data)
        if pools:
            self._gateways[gateway] = _Reported(now, pools)
        elif pools is not None:
            self._gateways.pop(gateway, None)
        self._expire(now)

    def zone(self, now: float) -> bytes:
        """Return what waits at the gateways of this zone."""
        pools = _add_up(self._gateways.values(), now)
        for pool, sums in self._own(now).items():
            _add_to(pools.setdefault(name_hash(pool), {}), sums)
        return self._encode("zone", pools, now)

    def elsewhere(self, now: float) -> bytes:
        """Return what waits at the gateways of other zones."""
        return self._encode("elsewhere", _add_up(self._areas.values(), now), now)

    def merge_area(self, area: str, data: bytes, now: float) -> None:
        """Merge the sums of an area; one of all other zones replaces single ones."""
        pools = _decode(data)
        if pools is None:
            return
        for known in list(self._areas):
            if OTHER_ZONES in (area, known) and known != area:
                del self._areas[known]
        self._areas[area] = _Reported(now, pools)

    def _elsewhere(self, pool: str, now: float) -> list[_Aged]:
        if not self._gateways and not self._areas:
            return []
        key, since = name_hash(pool), now - REPORT_TTL_S
        return [
            (report.age_s(now), report.pools[key])
            for table in (self._gateways, self._areas)
            for report in table.values()
            if report.at > since and key in report.pools
        ]

    def _encode(
        self, audience: str, pools: Mapping[int, PoolWaiting], now: float
    ) -> bytes:
        content = {pool: sums for pool, sums in pools.items() if sums}
        interval_s = REPORT_INTERVAL.of(self._recipients())
        if audience == "zone":
            interval_s = min(interval_s, MAX_ZONE_INTERVAL_S)
        if not self._paces[audience].is_due(bool(content), interval_s, now):
            return b""
        report: _Report = [
            (pool, [_entry(key, waiting) for key, waiting in sorted(sums.items())])
            for pool, sums in content.items()
        ]
        return msgspec.msgpack.encode(report)

    def _expire(self, now: float) -> None:
        if any(now >= r.at + REPORT_TTL_S for r in self._gateways.values()):
            self._gateways = {
                gateway: report
                for gateway, report in self._gateways.items()
                if now < report.at + REPORT_TTL_S
            }


def _ahead(reports: Iterable[_Aged], key: WaitClass, waited_s: float) -> Ahead:
    requests = tokens = 0.0
    for age_s, sums in reports:
        for other, one in sums.items():
            part, oldest_s = 0.0, one.oldest_s + age_s
            if other < key:
                part = 1.0
            elif other == key and oldest_s > waited_s:
                # Waits are assumed to be spread evenly up to the longest one.
                part = max(1.0 - waited_s / oldest_s, 1.0 / one.requests)
            requests += part * one.requests
            tokens += part * one.tokens
    return Ahead(requests, tokens)


def _add_up(
    reports: Iterable[_Reported], now: float
) -> dict[int, dict[WaitClass, Waiting]]:
    pools: dict[int, dict[WaitClass, Waiting]] = {}
    for report in reports:
        for pool, sums in report.pools.items():
            _add_to(pools.setdefault(pool, {}), _aged(sums, report.age_s(now)))
    return pools


def _aged(sums: PoolWaiting, age_s: float) -> dict[WaitClass, Waiting]:
    """Return what of a report is forwarded, less the older it is.

    A forwarded sum does not show the ages of its parts, so those of a gateway that has
    stopped must fade.
    """
    left = 1.0 - age_s / REPORT_TTL_S
    if left <= 0.0:
        return {}
    return {
        key: Waiting(
            math.ceil(one.requests * left),
            math.ceil(one.tokens * left),
            one.oldest_s + age_s,
        )
        for key, one in sums.items()
    }


def _add_to(sums: dict[WaitClass, Waiting], more: PoolWaiting) -> None:
    for key, waiting in more.items():
        sums[key] = sums[key] + waiting if key in sums else waiting


def _entry(key: WaitClass, waiting: Waiting) -> _Entry:
    number = max(0, key.rank) * CLASSES_PER_RANK + 2 * key.over_share + key.late
    oldest_cs = int(min(MAX_WAIT_S, waiting.oldest_s) * CS_PER_S)
    requests = min(MAX_REQUESTS, waiting.requests)
    return number, requests, min(MAX_TOKENS, waiting.tokens), oldest_cs


def _decode(data: bytes) -> dict[int, dict[WaitClass, Waiting]] | None:
    """Return a decoded report; None if it is invalid or out of bounds."""
    try:
        report = _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    if len(report) > MAX_POOLS or any(len(rest) > MAX_CLASSES for _, rest in report):
        return None
    entries = [entry for _, rest in report for entry in rest]
    if not all(_is_in_bounds(entry) for entry in entries):
        return None
    return {pool: {_class(e[0]): _waiting(e) for e in rest} for pool, rest in report}


def _is_in_bounds(entry: _Entry) -> bool:
    number, requests, tokens, oldest_cs = entry
    return (
        number >= 0
        and 0 < requests <= MAX_REQUESTS
        and 0 <= tokens <= MAX_TOKENS
        and 0 <= oldest_cs <= MAX_WAIT_S * CS_PER_S
    )


def _class(number: int) -> WaitClass:
    rank, bits = divmod(number, CLASSES_PER_RANK)
    return WaitClass(rank, bits >= 2, bits % 2 == 1)


def _waiting(entry: _Entry) -> Waiting:
    return Waiting(entry[1], entry[2], entry[3] / CS_PER_S)
