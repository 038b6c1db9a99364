"""The rates to which upstreams limit themselves, and a gateway's part of each.  Pure.

An upstream names its limit in answers; it holds over all gateways together.  Every
gateway finds the same few senders of an upstream by rendezvous hashing.  Each of them
has an equal part of the rate; the others send nothing there and choose other upstreams.
So the limit holds at any number of gateways, without a message before a send.

What a gateway reads of answers it reports to the others, as only senders see when a
limit changes or ends.  The newest answer counts, by its age when it was reported.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass

import msgspec

from gooseberrydale.connection.codec import message
from gooseberrydale.request.pace import AT_ONCE, LEAST_PER_S
from gooseberrydale.version.gateway_peers import Fleet
from gooseberrydale.version.stores import first_by_hash

CONFIRM_S = 1.0
"""Answers that name the same limit are reported this often."""

UNCONFIRMED_S = 3.0
"""Senders that nobody heard of for so long, and for two turns of theirs, have no
callers: the next ones take their place."""

LIFTED_KEPT_S = 10.0
"""For so long answers without a limit are reported to gateways that may have missed the
first report."""

FORGET_S = 60.0
"""Announcements that lapsed come back within this time; a limit holds all the while."""

ALONE_AFTER_S = 60.0
"""A gateway that hears of no other one any more still shares with those it knew for so
long: all announcements lapse while control is away."""


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """What an answer of ``upstream`` named ``age_ms`` ago, None if no limit."""

    upstream: str
    per_s: float | None
    age_ms: int


@message
class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway read of answers lately."""

    notices: tuple[LimitNotice, ...]


@dataclass(frozen=True, slots=True)
class _Part:
    """What one gateway may send: requests a second, and requests saved up."""

    per_s: float
    capacity: float


_NO_PART = _Part(0.0, 0.0)


@dataclass(slots=True)
class _Limit:
    """One upstream's limit; ``per_s`` is None once it was lifted.

    ``heard_at`` is the time of the newest answer, ``reported_at`` that of the newest
    one that was reported to all, here or by another gateway.
    """

    per_s: float | None
    heard_at: float
    reported_at: float = -math.inf
    changed: bool = True
    level: float = 0.0
    filled_at: float = 0.0
    part: _Part = _NO_PART
    fleet: Fleet | None = None
    order: tuple[str, ...] = ()


class UpstreamLimits:
    """The limits of all upstreams; times are seconds of the loop.

    ``least_gateways`` are counted at least, as a process that has just started does not
    know all others.
    """

    def __init__(self, fleet: Callable[[], Fleet], least_gateways: int = 1) -> None:
        self._fleet = fleet
        self._least_gateways = least_gateways
        self._limits: dict[str, _Limit] = {}
        self._shared_with: Fleet | None = None
        self._shared_at = -math.inf

    def __len__(self) -> int:
        return sum(one.per_s is not None for one in self._limits.values())

    def per_s(self, upstream: str) -> float | None:
        """The limit of ``upstream`` as far as it is known; None without one."""
        one = self._limits.get(upstream)
        return None if one is None else one.per_s

    def answered(self, upstream: str, per_s: float | None, now: float) -> None:
        """An answer of ``upstream`` to this gateway names a limit, or none."""
        if per_s is None and upstream not in self._limits:
            return
        self._note(upstream, per_s, now, now)

    def take(self, report: LimitReport, now: float) -> None:
        """Take the report of another gateway in."""
        for notice in report.notices:
            heard_at = now - notice.age_ms / 1_000.0
            known = self._limits.get(notice.upstream)
            if known is None and notice.per_s is None:
                continue
            if known is not None and heard_at <= known.heard_at:
                continue
            one = self._note(notice.upstream, notice.per_s, heard_at, now)
            one.reported_at, one.changed = heard_at, False

    def due(self, now: float) -> LimitReport | None:
        """What to report to all other gateways now; None if they know it."""
        notices = []
        for upstream, one in list(self._limits.items()):
            if one.per_s is None and now > one.filled_at + LIFTED_KEPT_S:
                del self._limits[upstream]
            elif one.changed or one.heard_at >= one.reported_at + CONFIRM_S:
                age_ms = round((now - one.heard_at) * 1_000.0)
                notices.append(LimitNotice(upstream, one.per_s, age_ms))
                one.reported_at, one.changed = one.heard_at, False
        return LimitReport(tuple(notices)) if notices else None

    def wait_s(self, upstream: str, now: float) -> float:
        """Seconds until a request may be sent to ``upstream``; infinite if others
        send there."""
        one = self._limits.get(upstream)
        if one is None or one.per_s is None:
            return 0.0
        part = self._fill(upstream, one, now)
        if one.level >= 1.0:
            return 0.0
        return (1.0 - one.level) / part.per_s if part.per_s else math.inf

    def sent(self, upstream: str, now: float) -> None:
        """A request is sent to ``upstream``."""
        one = self._limits.get(upstream)
        if one is not None and one.per_s is not None:
            self._fill(upstream, one, now)
            one.level -= 1.0

    def retain(self, upstreams: Collection[str], now: float) -> None:
        """Forget the limits of upstreams that are not among these for some time."""
        self._sharing_fleet(now)
        for name in self._limits.keys() - set(upstreams):
            if now > self._limits[name].heard_at + FORGET_S:
                del self._limits[name]

    def forget(self, upstream: str) -> None:
        """Another incarnation of an upstream has begun."""
        self._limits.pop(upstream, None)

    def _note(
        self, upstream: str, per_s: float | None, heard_at: float, now: float
    ) -> _Limit:
        one = self._limits.get(upstream)
        if one is None:
            one = self._limits[upstream] = _Limit(per_s, heard_at, filled_at=now)
        elif one.per_s != per_s:
            self._fill(upstream, one, now)
            if one.per_s is None:
                one.level = 0.0
            one.per_s, one.changed = per_s, True
        one.heard_at = heard_at
        return one

    def _fill(self, upstream: str, one: _Limit, now: float) -> _Part:
        """Add what this gateway may send since the last look.

        One that was no sender then begins with nothing saved up.
        """
        part = self._part(upstream, one, now)
        per_s = min(one.part.per_s, part.per_s)
        filled = one.level + (now - one.filled_at) * per_s
        one.level = min(part.capacity, filled)
        one.part, one.filled_at = part, now
        return part

    def _part(self, upstream: str, one: _Limit, now: float) -> _Part:
        if one.per_s is None:
            return _NO_PART
        per_s = max(LEAST_PER_S, one.per_s)
        fleet = self._sharing_fleet(now)
        if fleet is not one.fleet:
            names = [fleet.own.name, *(peer.name for peer in fleet.others)]
            one.order = tuple(first_by_hash(names, upstream))
            one.fleet = fleet
        at_once = AT_ONCE + per_s
        senders = min(int(at_once), max(self._least_gateways, len(one.order)))
        if not self._is_sender(one, senders, per_s, now):
            return _NO_PART
        return _Part(per_s / senders, at_once / senders)

    def _sharing_fleet(self, now: float) -> Fleet:
        """The gateways to share limits with."""
        fleet = self._fleet()
        if fleet.others:
            self._shared_with, self._shared_at = fleet, now
        elif self._shared_with is not None and now < self._shared_at + ALONE_AFTER_S:
            return self._shared_with
        return fleet

    def _is_sender(self, one: _Limit, senders: int, per_s: float, now: float) -> bool:
        """Whether this gateway is among the ``senders`` whose turn it is."""
        assert one.fleet is not None
        rank = one.order.index(one.fleet.own.name)
        turn_s = UNCONFIRMED_S + 2.0 * senders / per_s
        shift = int(max(0.0, now - one.heard_at) / turn_s) * senders
        return (rank - shift) % len(one.order) < senders
