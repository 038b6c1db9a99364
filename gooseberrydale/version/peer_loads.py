"""The work that the other gateways have at each upstream, as they tell it.

Lives as long as the process; pure.  A gateway tells what has changed, and all its work
from time to time, so that a lost message is made up for; whoever falls silent is
forgotten.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from gooseberrydale.connection.codec import message

FORGET_S = 2.5
"""A gateway tells its work each second at least; two messages in a row may be lost."""


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


@dataclass(slots=True)
class _Heard:
    incarnation: str
    seq: int
    at: float
    works: dict[str, UpstreamWork] = field(default_factory=dict)


@dataclass(slots=True)
class Totals:
    """Sums over gateways."""

    requests: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0


class PeerLoads:
    """Sums of the newest reports of all other gateways."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}
        self._totals: dict[str, Totals] = {}

    def __len__(self) -> int:
        return len(self._heard)

    def take(self, report: WorkReport, now: float) -> bool:
        """Take a report in unless a newer one of that gateway was; say whether."""
        known = self._heard.get(report.name)
        if known is None:
            known = self._heard[report.name] = _Heard("", 0, now)
        elif (report.incarnation, report.seq) <= (known.incarnation, known.seq):
            return False
        new_life = report.incarnation != known.incarnation
        known.incarnation, known.seq, known.at = report.incarnation, report.seq, now
        if report.whole or new_life:
            told = {work.upstream for work in report.works}
            for name in known.works.keys() - told:
                self._replace(known.works, UpstreamWork(name, 0, 0, 0))
        for work in report.works:
            self._replace(known.works, work)
        return True

    def expire(self, now: float) -> None:
        """Forget gateways that have fallen silent."""
        silent = [n for n, one in self._heard.items() if one.at + FORGET_S <= now]
        for name in silent:
            for work in self._heard.pop(name).works.values():
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


def changes(
    told: Mapping[str, UpstreamWork], works: Mapping[str, UpstreamWork]
) -> tuple[UpstreamWork, ...]:
    """What differs in ``works`` from what was ``told``; ended work counts as 0."""
    ended = (UpstreamWork(name, 0, 0, 0) for name in told.keys() - works.keys())
    new = (work for name, work in works.items() if told.get(name) != work)
    return (*ended, *new)


_NOTHING = Totals()
