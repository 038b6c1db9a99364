"""The work that the other gateways have at each upstream, as they tell it.

Lives as long as the process; pure.  Each gateway tells all its work at once, so a lost
message is made up for by the next one, and whoever falls silent is forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.connection.codec import message

FORGET_S = 2.5
"""A gateway tells its work each second at least; two messages in a row may be lost."""


@message
@dataclass(frozen=True, slots=True)
class UpstreamWork:
    """One gateway's work at one upstream: requests, and tokens."""

    upstream: str
    requests: int
    prefill_tokens: int
    kv_tokens: int


@message
@dataclass(frozen=True, slots=True)
class WorkReport:
    """All work of one gateway; ``seq`` rises within one ``incarnation``.

    ``refusing`` names the upstreams that refused a request of it just now.
    """

    name: str
    incarnation: str
    seq: int
    works: tuple[UpstreamWork, ...]
    refusing: tuple[str, ...] = ()


@dataclass(slots=True)
class _Heard:
    report: WorkReport
    at: float


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
        if known is not None:
            old = known.report
            if (report.incarnation, report.seq) <= (old.incarnation, old.seq):
                return False
            self._add(old, -1)
        self._heard[report.name] = _Heard(report, now)
        self._add(report, 1)
        return True

    def expire(self, now: float) -> None:
        """Forget gateways that have fallen silent."""
        silent = [n for n, one in self._heard.items() if one.at + FORGET_S <= now]
        for name in silent:
            self._add(self._heard.pop(name).report, -1)

    def at(self, upstream: str) -> Totals:
        """The work of all other gateways at an upstream."""
        return self._totals.get(upstream, _NOTHING)

    def _add(self, report: WorkReport, sign: int) -> None:
        for work in report.works:
            totals = self._totals.setdefault(work.upstream, Totals())
            totals.requests += sign * work.requests
            totals.prefill_tokens += sign * work.prefill_tokens
            totals.kv_tokens += sign * work.kv_tokens
            if not totals.requests:
                del self._totals[work.upstream]


_NOTHING = Totals()
