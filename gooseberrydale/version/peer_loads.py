"""The work that the other gateways have at each upstream, as they tell it.

Lives as long as the process; pure.  A gateway tells what has changed, and all its work
from time to time, so that a lost message is made up for; whoever falls silent is
forgotten.  Of gateways in other availability zones a relay tells sums.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from gooseberrydale.connection.codec import message

FORGET_S = 2.5
"""A gateway tells its work each second at least; two messages in a row may be lost."""


NAMES_LAST_S = 1.2
"""What a gateway said of upstreams that refuse or are silent holds until its next
message, which comes within a second."""

RELAY_KEEPS_S = 0.3
"""Sums of an area are taken from one relay until it says nothing for this long, some
six of its messages: two that both take themselves for the relay don't alternate."""

ELSEWHERE = ""
"""The area of all availability zones but the own one."""


class UpstreamWork(msgspec.Struct, frozen=True, array_like=True):
    """One gateway's work at one upstream: requests, and tokens.

    Without field names on the wire, as reports hold many of them.
    """

    upstream: str
    requests: int
    prefill_tokens: int
    kv_tokens: int


@message
@dataclass(frozen=True, slots=True)
class WorkReport:
    """Work of one gateway; ``seq`` rises within one ``incarnation``.

    ``works`` are those that changed, or all if the report is ``whole``; at an upstream
    that is not told of, a whole report says that there is none.  ``refusing`` names the
    upstreams that refused a request of it just now, ``silent`` those that it takes for
    dead.
    """

    name: str
    incarnation: str
    seq: int
    works: tuple[UpstreamWork, ...]
    refusing: tuple[str, ...] = ()
    whole: bool = True
    silent: tuple[str, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class AreaReport:
    """Work of all gateways of an area, summed by its ``relay``.

    ``area`` is an availability zone, or :data:`ELSEWHERE`.  The other fields are those
    of a :class:`WorkReport`.
    """

    area: str
    relay: str
    incarnation: str
    seq: int
    works: tuple[UpstreamWork, ...]
    refusing: tuple[str, ...] = ()
    whole: bool = True
    silent: tuple[str, ...] = ()


Report = WorkReport | AreaReport


@dataclass(slots=True)
class _Heard:
    sender: str
    incarnation: str
    seq: int
    at: float
    refusing: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    works: dict[str, UpstreamWork] = field(default_factory=dict)


@dataclass(slots=True)
class Totals:
    """Sums over gateways."""

    requests: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Summary:
    """What several gateways told, as one: sums of work, and all names."""

    works: Mapping[str, UpstreamWork]
    refusing: tuple[str, ...]
    silent: tuple[str, ...]


class PeerLoads:
    """Sums of the newest reports of all other gateways."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}
        self._areas: dict[str, _Heard] = {}
        self._totals: dict[str, Totals] = {}
        self._unheard = 0.0

    def __len__(self) -> int:
        return len(self._heard) + len(self._areas)

    @property
    def gateways(self) -> Iterable[str]:
        """The gateways that tell of themselves here."""
        return self._heard.keys()

    @property
    def unheard(self) -> float:
        """How many gateways are not heard, for each that is.

        Until sums of the other zones are heard, gateways there are taken to have as
        much work as those of the own one.  It answers the second after a loss of power,
        in which relays come back late: engines seemed to have a sixth of their work,
        and got too much.
        """
        return 0.0 if self._areas else self._unheard

    def note_unheard(self, gateways: int, heard: int) -> None:
        """Of the others ``gateways`` tell nothing here, and ``heard`` do."""
        self._unheard = gateways / max(1, heard)

    def take(self, report: WorkReport, now: float) -> bool:
        """Take a report in unless a newer one of that gateway was; say whether."""
        return self._take(self._heard, report.name, report.name, report, now)

    def take_area(self, report: AreaReport, now: float) -> bool:
        """Take sums in unless newer ones, or those of another relay, were."""
        known = self._areas.get(report.area)
        if known is not None and known.sender != report.relay:
            if now < known.at + RELAY_KEEPS_S:
                return False
            self._drop(self._areas, report.area)
        return self._take(self._areas, report.area, report.relay, report, now)

    def forget_areas(self) -> None:
        """This gateway is now told sums by others, or by nobody any more."""
        for area in list(self._areas):
            self._drop(self._areas, area)

    def expire(self, now: float) -> None:
        """Forget gateways and relays that have fallen silent."""
        for table in (self._heard, self._areas):
            for name in [n for n, one in table.items() if one.at + FORGET_S <= now]:
                self._drop(table, name)

    def near(self, now: float) -> Summary:
        """What the gateways that are heard directly told."""
        return _summary(self._heard.values(), now)

    def elsewhere(self, now: float) -> Summary:
        """What relays told."""
        return _summary(self._areas.values(), now)

    def _take(
        self,
        table: dict[str, _Heard],
        key: str,
        sender: str,
        report: Report,
        now: float,
    ) -> bool:
        known = table.get(key)
        if known is None:
            known = table[key] = _Heard(sender, "", 0, now)
        elif (report.incarnation, report.seq) <= (known.incarnation, known.seq):
            return False
        new_incarnation = report.incarnation != known.incarnation
        known.incarnation, known.seq, known.at = report.incarnation, report.seq, now
        known.refusing, known.silent = report.refusing, report.silent
        if report.whole or new_incarnation:
            told = {work.upstream for work in report.works}
            for name in known.works.keys() - told:
                self._replace(known.works, UpstreamWork(name, 0, 0, 0))
        for work in report.works:
            self._replace(known.works, work)
        return True

    def _drop(self, table: dict[str, _Heard], key: str) -> None:
        for work in table.pop(key).works.values():
            self._add(work, -1)

    def at(self, upstream: str) -> Totals:
        """The work of all other gateways at an upstream."""
        return self._totals.get(upstream, _NOTHING)

    def _replace(self, works: dict[str, UpstreamWork], work: UpstreamWork) -> None:
        """What one gateway has at an upstream is now ``work``."""
        old = works.pop(work.upstream, None)
        if old is not None:
            self._add(old, -1)
        if work.requests:
            works[work.upstream] = work
            self._add(work, 1)

    def _add(self, work: UpstreamWork, sign: int) -> None:
        totals = self._totals.setdefault(work.upstream, Totals())
        totals.requests += sign * work.requests
        totals.prefill_tokens += sign * work.prefill_tokens
        totals.kv_tokens += sign * work.kv_tokens
        if not totals.requests:
            del self._totals[work.upstream]


def add_up(works: Iterable[UpstreamWork]) -> dict[str, UpstreamWork]:
    """The sums of ``works`` by upstream."""
    found: dict[str, UpstreamWork] = {}
    for one in works:
        known = found.get(one.upstream)
        found[one.upstream] = (
            one
            if known is None
            else UpstreamWork(
                one.upstream,
                known.requests + one.requests,
                known.prefill_tokens + one.prefill_tokens,
                known.kv_tokens + one.kv_tokens,
            )
        )
    return found


def _summary(heard: Iterable[_Heard], now: float) -> Summary:
    known = list(heard)
    lately = [one for one in known if now < one.at + NAMES_LAST_S]
    return Summary(
        works=add_up(work for one in known for work in one.works.values()),
        refusing=_names(lately, lambda one: one.refusing),
        silent=_names(lately, lambda one: one.silent),
    )


def _names(
    heard: Iterable[_Heard], of: Callable[[_Heard], tuple[str, ...]]
) -> tuple[str, ...]:
    return tuple(sorted({name for one in heard for name in of(one)}))


def changes(
    told: Mapping[str, UpstreamWork], works: Mapping[str, UpstreamWork]
) -> tuple[UpstreamWork, ...]:
    """What differs in ``works`` from what was ``told``; ended work counts as 0."""
    ended = (UpstreamWork(name, 0, 0, 0) for name in told.keys() - works.keys())
    new = (work for name, work in works.items() if told.get(name) != work)
    return (*ended, *new)


_NOTHING = Totals()
