"""All ledgers of one quota owner, and the notices that it sends to gateways.

This module does no I/O.
"""

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

LEDGER_RETENTION_S = 60.0
"""Time without spending after which a ledger is dropped: its bucket is full by then."""

REMINDER_INTERVAL_S = 0.5
"""Time without a report after which a gateway is sent the notice again."""

Quotas = Callable[[], Mapping[str, Quota]]
Notices = dict[str, QuotaLevels]


class Ledgers:
    """The ledgers of one process, the gateway ``name``.

    ``quotas`` returns the quotas in force.  A new ledger starts with what the bucket
    can have gained since ``started_at``, as the spending before this process started
    is unknown.
    """

    def __init__(self, name: str, quotas: Quotas, started_at: float) -> None:
        self._name = name
        self._quotas = quotas
        self._started_at = started_at
        self._ledgers: dict[str, Ledger] = {}

    def report(self, report: QuotaReport, now: float) -> Notices:
        """Merge a report; return the notices to send, by gateway."""
        levels: defaultdict[str, list[Level]] = defaultdict(list)
        for item in report.items:
            ledger = self._ledger(item.workspace, now)
            if ledger is None:
                continue
            has_dropped = ledger.report(
                report.gateway, report.incarnation, report.seq, item, now
            )
            gateways = set() if report.spare else {report.gateway}
            if has_dropped and not report.spare:
                gateways.update(ledger.gateways_without_report(now, 0.0))
            for gateway in gateways:
                levels[gateway].append(ledger.level(gateway, item.workspace))
        return self._notices(levels)

    def ask(self, ask: QuotaAsk, now: float) -> tuple[QuotaVerdict, Notices] | None:
        """Return the verdict and notices to other gateways, None without a quota."""
        workspace = ask.spent.workspace
        ledger = self._ledger(workspace, now)
        if ledger is None:
            return None
        before = ledger.low, ledger.short
        decision = ledger.ask(ask, now)
        level = ledger.level(ask.gateway, workspace)
        verdict = QuotaVerdict(
            self._name,
            ask.seq,
            decision.granted,
            decision.after_s,
            level,
            young=ledger.is_recently_started(now),
        )
        levels: defaultdict[str, list[Level]] = defaultdict(list)
        if (ledger.low, ledger.short) > before:
            for gateway in ledger.gateways_without_report(now, 0.0):
                levels[gateway].append(ledger.level(gateway, workspace))
        return verdict, self._notices(levels)

    def remind(self, now: float) -> Notices:
        """Return the notices to repeat; drop ledgers that are not used."""
        levels: defaultdict[str, list[Level]] = defaultdict(list)
        quotas = self._quotas()
        for workspace, ledger in list(self._ledgers.items()):
            if workspace not in quotas or ledger.used_at < now - LEDGER_RETENTION_S:
                del self._ledgers[workspace]
                continue
            ledger.declare(quotas[workspace], now)
            if ledger.short:
                for gateway in ledger.gateways_without_report(now, REMINDER_INTERVAL_S):
                    levels[gateway].append(ledger.level(gateway, workspace))
        return self._notices(levels)

    def _ledger(self, workspace: str, now: float) -> Ledger | None:
        quota = self._quotas().get(workspace)
        if quota is None:
            return None
        ledger = self._ledgers.get(workspace)
        if ledger is None:
            filled = (now - self._started_at) * quota.per_s
            recently_started = filled < quota.capacity
            ledger = Ledger(quota, filled, now, recently_started=recently_started)
            self._ledgers[workspace] = ledger
        ledger.declare(quota, now)
        return ledger

    def _notices(self, levels: Mapping[str, list[Level]]) -> Notices:
        return {
            gateway: QuotaLevels(self._name, tuple(items))
            for gateway, items in levels.items()
        }
