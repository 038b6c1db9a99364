"""Work that the other gateways report for each upstream.

One object per process; no I/O.  A gateway reports what has changed, and from time to
time all its work, which makes up for lost messages.  The work of a gateway that stops
reporting is dropped.  For other availability zones a relay reports sums.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from gooseberrydale.connection.codec import message

REPORT_RETENTION_S = 2.5
"""Time after its last report for which a gateway's work is kept.  Reports come at least
every second, so two in a row may be lost."""


NAMES_TTL_S = 1.2
"""Time for which a gateway's lists of refusing and silent upstreams are used; its next
report comes within a second."""

RELAY_TIMEOUT_S = 0.3
"""Time without a report, about six of them, after which another relay may report the
sums of an area.  This keeps two gateways that both consider themselves the relay from
alternating."""

OTHER_ZONES = ""
"""Name of the area that consists of all availability zones but the own one."""


RankWork = tuple[int, int, int, int]
"""Work of one rank: the rank, requests, tokens to compute, tokens of memory."""


class UpstreamWork(msgspec.Struct, frozen=True, array_like=True):
    """One gateway's work at one upstream: requests, and tokens.

    ``ranks`` divides it by rank; what it does not list counts as most urgent.
    ``unshared_tokens`` are the tokens of memory that no other request shares.  Encoded
    without field names, as reports contain many of them.
    """

    upstream: str
    requests: int
    prefill_tokens: int
    kv_tokens: int
    ranks: tuple[RankWork, ...] = ()
    unshared_tokens: int = 0


@message
@dataclass(frozen=True, slots=True)
class WorkReport:
    """Work of one gateway; ``seq`` rises within one ``incarnation``.

    ``works`` are the entries that changed, or all of them if the report is ``whole``;
    an upstream that is missing from a whole report has no work of the gateway.
    ``refusing`` names upstreams that just refused a request of the gateway, ``silent``
    those that it considers dead.  ``extras`` holds encoded data of other kinds by name.
    """

    name: str
    incarnation: str
    seq: int
    works: tuple[UpstreamWork, ...]
    refusing: tuple[str, ...] = ()
    whole: bool = True
    silent: tuple[str, ...] = ()
    extras: dict[str, bytes] = field(default_factory=dict)


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
    extras: dict[str, bytes] = field(default_factory=dict)


Report = WorkReport | AreaReport


class ReportExtra(Protocol):
    """Data of one kind that gateways exchange with their reports of work.

    ``name`` identifies the kind in messages.  A report may be lost, so its data must
    not depend on that of an earlier one.
    """

    name: str

    def own(self, now: float) -> bytes:
        """Return what this gateway reports to nearby ones; empty if nothing is new."""

    def merge_own(self, gateway: str, data: bytes, now: float) -> None:
        """Merge the report of a nearby gateway."""

    def zone(self, now: float) -> bytes:
        """Return what all gateways of this zone report to other zones."""

    def elsewhere(self, now: float) -> bytes:
        """Return what all other zones report, to be forwarded within this zone."""

    def merge_area(self, area: str, data: bytes, now: float) -> None:
        """Merge the report of an area."""


@dataclass(slots=True)
class _Reported:
    """Merged reports of one gateway, or of the relay of one area."""

    sender: str
    incarnation: str
    seq: int
    at: float
    refusing: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    works: dict[str, UpstreamWork] = field(default_factory=dict)


@dataclass(slots=True)
class Totals:
    """Sums over gateways; ``ranks`` holds those of each rank, as in ``RankWork``."""

    requests: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    ranks: dict[int, list[int]] = field(default_factory=dict)
    unshared_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Summary:
    """Combined reports of several gateways: sums of work, and the lists of names."""

    works: Mapping[str, UpstreamWork]
    refusing: tuple[str, ...]
    silent: tuple[str, ...]


class PeerLoads:
    """Sums over the latest reports of all other gateways."""

    def __init__(self) -> None:
        self._gateways: dict[str, _Reported] = {}
        self._areas: dict[str, _Reported] = {}
        self._totals: dict[str, Totals] = {}
        self._unreported_ratio = 0.0

    def __len__(self) -> int:
        return len(self._gateways) + len(self._areas)

    @property
    def gateways(self) -> Iterable[str]:
        """The gateways that report directly to this one."""
        return self._gateways.keys()

    @property
    def has_areas(self) -> bool:
        """Whether sums of other zones were reported."""
        return bool(self._areas)

    @property
    def unreported_ratio(self) -> float:
        """Number of gateways without any report, for each gateway that reports.

        Until sums of other zones arrive, gateways there are assumed to have as much
        work as those of the own zone.  Otherwise, in the second after a loss of power,
        in which relays start late, engines appear to have a sixth of their work and get
        too many requests.
        """
        return 0.0 if self._areas else self._unreported_ratio

    def note_unreported(self, gateways: int, reporting: int) -> None:
        """Record how many other gateways do not report here, and how many do."""
        self._unreported_ratio = gateways / max(1, reporting)

    def merge(self, report: WorkReport, now: float) -> bool:
        """Merge a report; return False if a newer one of that gateway was merged."""
        return self._take(self._gateways, report.name, report.name, report, now)

    def merge_area(self, report: AreaReport, now: float) -> bool:
        """Merge the sums of an area.

        Return False if newer sums were merged, or another relay still reports the area.
        """
        known = self._areas.get(report.area)
        if known is not None and known.sender != report.relay:
            if now < known.at + RELAY_TIMEOUT_S:
                return False
            self._drop(self._areas, report.area)
        return self._take(self._areas, report.area, report.relay, report, now)

    def forget_areas(self) -> None:
        """Drop all sums, as other relays or none report here from now on."""
        for area in list(self._areas):
            self._drop(self._areas, area)

    def expire(self, now: float) -> None:
        """Drop the work of gateways and relays that have stopped reporting."""
        for table in (self._gateways, self._areas):
            for name in [
                k for k, known in table.items() if known.at + REPORT_RETENTION_S <= now
            ]:
                self._drop(table, name)

    def near(self, now: float) -> Summary:
        """Return the summary of the gateways that report directly."""
        return _summary(self._gateways.values(), now)

    def elsewhere(self, now: float) -> Summary:
        """Return the summary of the sums that relays report."""
        return _summary(self._areas.values(), now)

    def _take(
        self,
        table: dict[str, _Reported],
        key: str,
        sender: str,
        report: Report,
        now: float,
    ) -> bool:
        known = table.get(key)
        if known is None:
            known = table[key] = _Reported(sender, "", 0, now)
        elif (report.incarnation, report.seq) <= (known.incarnation, known.seq):
            return False
        new_incarnation = report.incarnation != known.incarnation
        known.incarnation, known.seq, known.at = report.incarnation, report.seq, now
        known.refusing, known.silent = report.refusing, report.silent
        if report.whole or new_incarnation:
            reported = {work.upstream for work in report.works}
            for name in known.works.keys() - reported:
                self._replace(known.works, UpstreamWork(name, 0, 0, 0))
        for work in report.works:
            self._replace(known.works, work)
        return True

    def _drop(self, table: dict[str, _Reported], key: str) -> None:
        for work in table.pop(key).works.values():
            self._add(work, -1)

    def at(self, upstream: str) -> Totals:
        """Return the work of all other gateways at an upstream."""
        return self._totals.get(upstream, _NO_WORK)

    def _replace(self, works: dict[str, UpstreamWork], work: UpstreamWork) -> None:
        """Replace one gateway's work at an upstream and correct the totals."""
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
        totals.unshared_tokens += sign * work.unshared_tokens
        for rank, *counts in work.ranks:
            _add_counts(totals.ranks, rank, [sign * count for count in counts])
        if not totals.requests:
            del self._totals[work.upstream]


def add_up(works: Iterable[UpstreamWork]) -> dict[str, UpstreamWork]:
    """Return the sums of ``works`` by upstream."""
    sums: dict[str, UpstreamWork] = {}
    for work in works:
        known = sums.get(work.upstream)
        sums[work.upstream] = (
            work
            if known is None
            else UpstreamWork(
                work.upstream,
                known.requests + work.requests,
                known.prefill_tokens + work.prefill_tokens,
                known.kv_tokens + work.kv_tokens,
                _add_ranks(known.ranks, work.ranks),
                known.unshared_tokens + work.unshared_tokens,
            )
        )
    return sums


def _add_ranks(
    one: tuple[RankWork, ...], other: tuple[RankWork, ...]
) -> tuple[RankWork, ...]:
    if not one or not other:
        return one or other
    sums: dict[int, list[int]] = {}
    for rank, *counts in (*one, *other):
        _add_counts(sums, rank, counts)
    return rank_works(sums)


def rank_works(ranks: Mapping[int, list[int]]) -> tuple[RankWork, ...]:
    """Return the counts of each rank in the form of reports."""
    return tuple(
        (rank, requests, prefill_tokens, kv_tokens)
        for rank, (requests, prefill_tokens, kv_tokens) in sorted(ranks.items())
    )


def _add_counts(sums: dict[int, list[int]], rank: int, counts: list[int]) -> None:
    """Add the counts of one rank; a rank without requests is removed."""
    known = sums.setdefault(rank, [0, 0, 0])
    for index, count in enumerate(counts):
        known[index] += count
    if not known[0]:
        del sums[rank]


def _summary(reported: Iterable[_Reported], now: float) -> Summary:
    senders = list(reported)
    recent = [sender for sender in senders if now < sender.at + NAMES_TTL_S]
    return Summary(
        works=add_up(work for sender in senders for work in sender.works.values()),
        refusing=_names(recent, lambda sender: sender.refusing),
        silent=_names(recent, lambda sender: sender.silent),
    )


def _names(
    senders: Iterable[_Reported], names_of: Callable[[_Reported], tuple[str, ...]]
) -> tuple[str, ...]:
    return tuple(sorted({name for sender in senders for name in names_of(sender)}))


def changes(
    reported: Mapping[str, UpstreamWork], works: Mapping[str, UpstreamWork]
) -> tuple[UpstreamWork, ...]:
    """Return the entries of ``works`` that differ from those reported before, in
    ``reported``; work that has ended is 0."""
    ended = (UpstreamWork(name, 0, 0, 0) for name in reported.keys() - works.keys())
    new = (work for name, work in works.items() if reported.get(name) != work)
    return (*ended, *new)


_NO_WORK = Totals()
