"""All ledgers of one owner, and the notices that it sends to gateways.  Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping

from gooseberrydale.version.quotas.ledger import Ledger
from gooseberrydale.version.quotas.messages import (
    Level,
    QuotaAsk,
    QuotaLevels,
    QuotaReport,
    QuotaVerdict,
)
from gooseberrydale.version.quotas.quota import Quota

FORGET_S = 60.0
"""A workspace that nobody spent anything for is forgotten: its bucket is full."""

REMIND_S = 0.5
"""Gateways that have not reported for so long get the notice again."""

Quotas = Callable[[], Mapping[str, Quota]]
Notices = dict[str, QuotaLevels]


class Counting:
    """The ledgers of one process, as the gateway ``name``.

    ``quotas`` are those in force.  A ledger that begins holds what may have been filled
    since ``started_at``: what was spent before this process started is not known.
    """

    def __init__(self, name: str, quotas: Quotas, started_at: float) -> None:
        self._name = name
        self._quotas = quotas
        self._started_at = started_at
        self._ledgers: dict[str, Ledger] = {}

    def report(self, report: QuotaReport, now: float) -> Notices:
        """Take a report in; returns the notices to send, by gateway."""
        levels: defaultdict[str, list[Level]] = defaultdict(list)
        for item in report.items:
            ledger = self._ledger(item.workspace, now)
            if ledger is None:
                continue
            is_less = ledger.report(
                report.gateway, report.incarnation, report.seq, item, now
            )
            gateways = set() if report.spare else {report.gateway}
            if is_less and not report.spare:
                gateways.update(ledger.unheard(now, 0.0))
            for gateway in gateways:
                levels[gateway].append(ledger.level(gateway, item.workspace))
        return self._notices(levels)

    def ask(self, ask: QuotaAsk, now: float) -> tuple[QuotaVerdict, Notices] | None:
        """Decide; also the notices to other gateways.  None without a quota."""
        workspace = ask.spent.workspace
        ledger = self._ledger(workspace, now)
        if ledger is None:
            return None
        was_less = ledger.low, ledger.short
        found = ledger.ask(ask, now)
        level = ledger.level(ask.gateway, workspace)
        verdict = QuotaVerdict(
            self._name,
            ask.seq,
            found.granted,
            found.after_s,
            level,
            young=ledger.is_young(now),
        )
        levels: defaultdict[str, list[Level]] = defaultdict(list)
        if (ledger.low, ledger.short) > was_less:
            for gateway in ledger.unheard(now, 0.0):
                levels[gateway].append(ledger.level(gateway, workspace))
        return verdict, self._notices(levels)

    def remind(self, now: float) -> Notices:
        """Notices to repeat; forgets ledgers that nobody uses."""
        levels: defaultdict[str, list[Level]] = defaultdict(list)
        quotas = self._quotas()
        for workspace, ledger in list(self._ledgers.items()):
            if workspace not in quotas or ledger.used_at < now - FORGET_S:
                del self._ledgers[workspace]
                continue
            ledger.declare(quotas[workspace], now)
            if ledger.short:
                for gateway in ledger.unheard(now, REMIND_S):
                    levels[gateway].append(ledger.level(gateway, workspace))
        return self._notices(levels)

    def _ledger(self, workspace: str, now: float) -> Ledger | None:
        quota = self._quotas().get(workspace)
        if quota is None:
            return None
        ledger = self._ledgers.get(workspace)
        if ledger is None:
            filled = (now - self._started_at) * quota.per_s
            young = filled < quota.capacity
            ledger = Ledger(quota, filled, now, young=young)
            self._ledgers[workspace] = ledger
        ledger.declare(quota, now)
        return ledger

    def _notices(self, levels: Mapping[str, list[Level]]) -> Notices:
        return {
            gateway: QuotaLevels(self._name, tuple(items))
            for gateway, items in levels.items()
        }
