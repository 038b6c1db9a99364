"""Rate limits that upstreams announce, and the allowance of this gateway under each.

An upstream names its limit in its answers; the limit covers the requests of all
gateways together.  All gateways pick the same few senders for an upstream by rendezvous
hashing.  Each sender gets an equal share of the rate; the other gateways send nothing
to that upstream and use other ones.  The limit therefore holds for any number of
gateways without a message before each request.

Only senders see answers, so each gateway reports the limits that it reads to the
others.  The most recent answer wins; reports carry the age of the answer.  This module
does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass

import msgspec

from gooseberrydale.connection.codec import message
from gooseberrydale.request.start_limiter import BURST_STARTS, MIN_STARTS_PER_S
from gooseberrydale.version.gateway_peers import FLEET_RETENTION_S, Fleet
from gooseberrydale.version.stores import first_by_hash

REPORT_INTERVAL_S = 1.0
"""Minimum time between two reports of an unchanged limit."""

SENDER_TIMEOUT_S = 3.0
"""Time without a reported answer, beyond that of two requests of each sender at the
limited rate, after which the next gateways in hash order become the senders.  The
previous ones probably have no callers."""

LIFTED_RETENTION_S = 10.0
"""Time for which answers without a limit are still reported after a limit was lifted,
for gateways that missed the first report."""

LIMIT_RETENTION_S = 60.0
"""Time for which the limit of an upstream without an announcement is kept.  A lapsed
announcement is renewed within this time, and the limit applies in between."""


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """Limit in an answer of ``upstream``, ``age_ms`` ago; None if it named none."""

    upstream: str
    per_s: float | None
    age_ms: int


@message
class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Limits that one gateway recently read from answers."""

    notices: tuple[LimitNotice, ...]


@dataclass(frozen=True, slots=True)
class _Allowance:
    """What this gateway may send: requests per second, and the size of a burst."""

    per_s: float
    capacity: float


_NO_ALLOWANCE = _Allowance(0.0, 0.0)


@dataclass(slots=True)
class _Limit:
    """One upstream's limit and the token bucket of this gateway for it.

    ``per_s`` is None once the limit was lifted.  ``answered_at`` is the time of the
    most recent answer, ``reported_at`` that of the most recent answer which this or
    another gateway reported to all.  ``level`` is the number of requests that the
    bucket allows, as of ``filled_at``.  ``order`` has the names of the gateways of
    ``fleet`` in hash order.
    """

    per_s: float | None
    answered_at: float
    reported_at: float = -math.inf
    changed: bool = True
    level: float = 0.0
    filled_at: float = 0.0
    allowance: _Allowance = _NO_ALLOWANCE
    fleet: Fleet | None = None
    order: tuple[str, ...] = ()


class UpstreamLimits:
    """The limits of all upstreams; times are seconds of the event loop's clock.

    At least ``least_gateways`` gateways are assumed to exist, as a process that has
    just started has not yet seen all others.
    """

    def __init__(self, fleet: Callable[[], Fleet], least_gateways: int = 1) -> None:
        self._fleet = fleet
        self._least_gateways = least_gateways
        self._limits: dict[str, _Limit] = {}
        self._shared_with: Fleet | None = None
        self._shared_at = -math.inf

    def __len__(self) -> int:
        return sum(limit.per_s is not None for limit in self._limits.values())

    def per_s(self, upstream: str) -> float | None:
        """Return the known limit of ``upstream`` in requests per second, if any."""
        limit = self._limits.get(upstream)
        return None if limit is None else limit.per_s

    def answered(self, upstream: str, per_s: float | None, now: float) -> None:
        """Record the limit, or None, in an answer of ``upstream`` to this gateway."""
        if per_s is None and upstream not in self._limits:
            return
        self._note(upstream, per_s, now, now)

    def merge(self, report: LimitReport, now: float) -> None:
        """Merge the report of another gateway."""
        for notice in report.notices:
            answered_at = now - notice.age_ms / 1_000.0
            known = self._limits.get(notice.upstream)
            if known is None and notice.per_s is None:
                continue
            if known is not None and answered_at <= known.answered_at:
                continue
            limit = self._note(notice.upstream, notice.per_s, answered_at, now)
            limit.reported_at, limit.changed = answered_at, False

    def next_report(self, now: float) -> LimitReport | None:
        """Return the report to send to all other gateways now, None if none is due."""
        notices = []
        for upstream, limit in list(self._limits.items()):
            if limit.per_s is None and now > limit.filled_at + LIFTED_RETENTION_S:
                del self._limits[upstream]
            elif (
                limit.changed
                or limit.answered_at >= limit.reported_at + REPORT_INTERVAL_S
            ):
                age_ms = round((now - limit.answered_at) * 1_000.0)
                notices.append(LimitNotice(upstream, limit.per_s, age_ms))
                limit.reported_at, limit.changed = limit.answered_at, False
        return LimitReport(tuple(notices)) if notices else None

    def wait_s(self, upstream: str, now: float) -> float:
        """Return the seconds until a request may be sent to ``upstream``.

        Infinite if this gateway is not among the senders.
        """
        limit = self._limits.get(upstream)
        if limit is None or limit.per_s is None:
            return 0.0
        allowance = self._fill(upstream, limit, now)
        if limit.level >= 1.0:
            return 0.0
        return (1.0 - limit.level) / allowance.per_s if allowance.per_s else math.inf

    def sent(self, upstream: str, now: float) -> None:
        """Record that a request is sent to ``upstream``."""
        limit = self._limits.get(upstream)
        if limit is not None and limit.per_s is not None:
            self._fill(upstream, limit, now)
            limit.level -= 1.0

    def retain(self, upstreams: Collection[str], now: float) -> None:
        """Drop limits that are old and whose upstreams are not in ``upstreams``."""
        self._sharing_fleet(now)
        for name in self._limits.keys() - set(upstreams):
            if now > self._limits[name].answered_at + LIMIT_RETENTION_S:
                del self._limits[name]

    def forget(self, upstream: str) -> None:
        """Drop the limit of an upstream that has started again."""
        self._limits.pop(upstream, None)

    def _note(
        self, upstream: str, per_s: float | None, answered_at: float, now: float
    ) -> _Limit:
        limit = self._limits.get(upstream)
        if limit is None:
            limit = self._limits[upstream] = _Limit(per_s, answered_at, filled_at=now)
        elif limit.per_s != per_s:
            self._fill(upstream, limit, now)
            if limit.per_s is None:
                limit.level = 0.0
            limit.per_s, limit.changed = per_s, True
        limit.answered_at = answered_at
        return limit

    def _fill(self, upstream: str, limit: _Limit, now: float) -> _Allowance:
        """Fill this gateway's token bucket up to ``now``; return its allowance.

        The lower of the old and the new rate counts for the time in between, so a
        gateway that becomes a sender starts with nothing saved up.
        """
        allowance = self._allowance(upstream, limit, now)
        per_s = min(limit.allowance.per_s, allowance.per_s)
        filled = limit.level + (now - limit.filled_at) * per_s
        limit.level = min(allowance.capacity, filled)
        limit.allowance, limit.filled_at = allowance, now
        return allowance

    def _allowance(self, upstream: str, limit: _Limit, now: float) -> _Allowance:
        if limit.per_s is None:
            return _NO_ALLOWANCE
        per_s = max(MIN_STARTS_PER_S, limit.per_s)
        fleet = self._sharing_fleet(now)
        if fleet is not limit.fleet:
            names = [fleet.own.name, *(peer.name for peer in fleet.others)]
            limit.order = tuple(first_by_hash(names, upstream))
            limit.fleet = fleet
        burst = BURST_STARTS + per_s
        senders = min(int(burst), max(self._least_gateways, len(limit.order)))
        if not self._is_sender(limit, senders, per_s, now):
            return _NO_ALLOWANCE
        return _Allowance(per_s / senders, burst / senders)

    def _sharing_fleet(self, now: float) -> Fleet:
        """Return the gateways that divide limits among themselves."""
        fleet = self._fleet()
        if fleet.others:
            self._shared_with, self._shared_at = fleet, now
        elif (
            self._shared_with is not None and now < self._shared_at + FLEET_RETENTION_S
        ):
            return self._shared_with
        return fleet

    def _is_sender(self, limit: _Limit, senders: int, per_s: float, now: float) -> bool:
        """Return whether this gateway is among the ``senders`` current senders.

        While no answer is reported, the senders rotate through the hash order.
        """
        assert limit.fleet is not None
        rank = limit.order.index(limit.fleet.own.name)
        rotation_s = SENDER_TIMEOUT_S + 2.0 * senders / per_s
        shift = int(max(0.0, now - limit.answered_at) / rotation_s) * senders
        return (rank - shift) % len(limit.order) < senders
