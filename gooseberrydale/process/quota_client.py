"""Enforces workspace quotas at this gateway, together with the other gateways.

There is one client per process.  It admits requests, reports what the gateway has
spent to the gateways that own a workspace's count, and answers reports and asks for
the workspaces that this gateway owns.  The decisions are in ``version/quotas``; this
module exchanges the messages, waits for verdicts and repeats messages that may have
been lost.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Protocol, TypeVar

from gooseberrydale.connection.gateway_datagrams import FleetView
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.quotas.account import Account
from gooseberrydale.version.quotas.ledgers import Ledgers
from gooseberrydale.version.quotas.messages import (
    QuotaAsk,
    QuotaLevels,
    QuotaReport,
    QuotaVerdict,
)
from gooseberrydale.version.quotas.owners import Owners
from gooseberrydale.version.quotas.quota import Quota

T = TypeVar("T")

REPORT_DELAY_S = 0.1
"""Spending is collected for this long before the deciding owner gets one report."""

REPORT_DELAY_WHEN_SHORT_S = 0.05
"""While a quota is short, both owners get reports sooner, so that either can decide."""

FALLBACK_REPORT_DELAY_S = 1.0
"""Delay of reports to the fallback owner while much of the quota is left: its count
need not be current as long as it has nothing to decide."""

REPORT_INTERVAL_WHEN_SHORT_S = 0.3
"""Reports are repeated at this interval while a quota is short."""

ASK_RESEND_S = 0.04
"""An unanswered ask is sent once more after this time."""

ASK_TIMEOUT_S = 0.12
"""An owner that has not answered an ask by now counts as unreachable."""

OWNER_SKIP_S = 1.0
"""An owner that left an ask unanswered is not asked again for this long."""

STARTUP_GRACE_S = 5.0
"""For this long after its start, a process that sees no other gateway must not act as
an owner: the announcements of the others may not have arrived yet."""

STARTUP_SHARE = 0.1
"""Share of a quota's rate that a gateway may use at least, while it can't yet tell how
many other gateways there are."""

JITTER_FRACTION = 0.2
MAX_JITTER_S = 0.25
"""Random delay added to a refused caller's retry slot: at most this time, and at most
JITTER_FRACTION of the time until the slot.  Without it, callers that were refused
together would retry at the same moment."""

MIN_RETRY_AFTER_S = 0.05
"""No caller is asked to retry sooner than this."""


class Transport(Protocol):
    """Carries messages between gateways; each is delivered at most once."""

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Call ``handler`` with each received message of type ``kind``."""

    def send(self, message: object, peers: Iterable[GatewayPeer]) -> None:
        """Send a message once to each of ``peers``; failures are not reported."""


@dataclass(frozen=True, slots=True)
class QuotaDemand:
    """A request's demand on the quota of its workspace.

    ``cost`` is in the unit of the quota.  ``rank`` is the request's priority, 0 the
    most urgent.  ``request`` identifies the request and is the same for each retry; its
    caller waits ``wait_limit_s`` at most before a retry.
    """

    workspace: str
    quota: Quota
    cost: int
    rank: int = 0
    request: bytes = b""
    wait_limit_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OverQuota:
    """The refusal of a request that is over its workspace's quota.

    The caller may retry after ``retry_after_s``.  ``left`` is what an owner reported as
    left ``age_s`` ago, less what this gateway has spent since.  ``owner`` is the
    gateway that decided: this one if no owner answered.
    """

    retry_after_s: float
    left: float
    age_s: float
    owner: str


class QuotaClient:
    """Decides whether requests of workspaces with a quota may be sent.

    Each such request has to pass ``admit`` before it is sent for the first time.
    ``has_static_fleet`` is set if the fleet is a configured list, which is complete
    from the start, instead of the gateways whose announcements have arrived so far.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        transport: Transport,
        fleet: FleetView,
        quotas: Callable[[], Mapping[str, Quota]],
        rng: random.Random,
        *,
        has_static_fleet: bool = False,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._transport = transport
        self._fleet = fleet
        self._quotas = quotas
        self._rng = rng
        self._has_static_fleet = has_static_fleet
        self._accounts: dict[str, Account] = {}
        self._owners = Owners()
        self._last_fleet: Fleet | None = None
        self._ledgers: Ledgers | None = None
        self._started_at = 0.0
        self._skipped_until: dict[str, float] = {}
        self._seqs: Iterator[int] = itertools.count(1)
        self._pending_asks: dict[int, asyncio.Future[QuotaVerdict]] = {}
        self._unreported: set[str] = set()
        self._fallback_unreported: set[str] = set()
        self._report_timer: asyncio.TimerHandle | None = None
        self._fallback_report_timer: asyncio.TimerHandle | None = None
        self._repeat_task: asyncio.Task[None] | None = None
        transport.on(QuotaReport, self._on_report)
        transport.on(QuotaLevels, self._on_levels)
        transport.on(QuotaAsk, self._on_ask)
        transport.on(QuotaVerdict, self._on_verdict)

    def spent(self, workspace: str) -> int:
        """Return what this gateway has spent for a workspace since it started."""
        account = self._accounts.get(workspace)
        return 0 if account is None else account.spent

    async def start(self) -> None:
        """Start reporting and counting; the transport must be ready to send."""
        self._started_at = _now()
        self._ledgers = Ledgers(self._name, self._quotas, self._started_at)
        self._repeat_task = asyncio.create_task(self._send_periodically())

    async def close(self) -> None:
        """Stop reporting."""
        for timer in (self._report_timer, self._fallback_report_timer):
            if timer is not None:
                timer.cancel()
        if self._repeat_task is not None:
            self._repeat_task.cancel()
            await asyncio.gather(self._repeat_task, return_exceptions=True)

    async def admit(self, demand: QuotaDemand) -> OverQuota | None:
        """Spend the cost of a request, or return a refusal that says when to retry."""
        if not demand.cost:
            return None
        account = self._account(demand.workspace)
        if account.may_spend(demand.cost, demand.quota, _now()):
            self.spend(demand.workspace, demand.cost)
            return None
        verdict = await self._ask(account, demand)
        if verdict is None:
            return self._spend_own_share(account, demand)
        if verdict.granted:
            # The owner counted the cost when it granted the request.
            account.spend(demand.cost, _now())
            self._schedule_fallback_report(account)
            return None
        return self._refuse(verdict.after_s, account, demand, verdict.owner)

    def spend(self, workspace: str, cost: int) -> None:
        """Record the cost of sending a request, for each time that it is sent.

        A negative ``cost`` refunds a send that did not run.
        """
        account = self._account(workspace)
        account.spend(cost, _now())
        self._unreported.add(workspace)
        if self._report_timer is None:
            delay_s = (
                REPORT_DELAY_WHEN_SHORT_S
                if account.is_short(_now())
                else REPORT_DELAY_S
            )
            loop = asyncio.get_running_loop()
            self._report_timer = loop.call_later(delay_s, self._send_report)
        self._schedule_fallback_report(account)

    def _schedule_fallback_report(self, account: Account) -> None:
        """Schedule a report to the fallback owner, sooner while the quota is short."""
        self._fallback_unreported.add(account.workspace)
        if self._fallback_report_timer is None:
            delay_s = (
                REPORT_DELAY_WHEN_SHORT_S
                if account.is_short(_now())
                else FALLBACK_REPORT_DELAY_S
            )
            loop = asyncio.get_running_loop()
            self._fallback_report_timer = loop.call_later(
                delay_s, self._send_fallback_report
            )

    def _account(self, workspace: str) -> Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = Account(workspace)
        return account

    def _spend_own_share(
        self, account: Account, demand: QuotaDemand
    ) -> OverQuota | None:
        """Spend from this gateway's own share of the rate, as no owner answers."""
        min_share = 1.0 / max(1, len(self._owners))
        if not self._is_fleet_known():
            min_share = STARTUP_SHARE
        after_s = account.own_share_wait_s(demand.quota, min_share, _now())
        if after_s > 0.0:
            return self._refuse(after_s, account, demand, self._name)
        account.spend_own_share(demand.cost)
        self.spend(demand.workspace, demand.cost)
        return None

    def _refuse(
        self, slot_s: float, account: Account, demand: QuotaDemand, owner: str
    ) -> OverQuota:
        """Return a refusal until the caller's retry slot in ``slot_s``, plus jitter.

        Jitter is cut off at the caller's wait limit.
        """
        jitter_s = self._rng.uniform(0.0, min(MAX_JITTER_S, JITTER_FRACTION * slot_s))
        max_after_s = max(slot_s, demand.wait_limit_s, MIN_RETRY_AFTER_S)
        after_s = min(max(MIN_RETRY_AFTER_S, slot_s + jitter_s), max_after_s)
        return OverQuota(after_s, account.left, account.age_s(_now()), owner)

    async def _ask(self, account: Account, demand: QuotaDemand) -> QuotaVerdict | None:
        """Ask the owners in order and return the verdict, or None if none answers.

        A recently started owner may count less of the quota as left than the other
        owner does.  Its refusal is therefore followed only if no other owner grants the
        request or refuses it on a longer record.
        """
        refused: QuotaVerdict | None = None
        for owner in self._reachable_owners(account.workspace):
            verdict = await self._ask_owner(owner, self._make_ask(account, demand))
            if verdict is None:
                self._skipped_until[owner.name] = _now() + OWNER_SKIP_S
                continue
            self._skipped_until.pop(owner.name, None)
            if verdict.granted or not verdict.young:
                account.note_received(verdict.level, _now())
                return verdict
            refused = refused or verdict
        if refused is not None:
            account.note_received(refused.level, _now())
        return refused

    def _make_ask(self, account: Account, demand: QuotaDemand) -> QuotaAsk:
        return QuotaAsk(
            gateway=self._name,
            incarnation=self._incarnation,
            seq=next(self._seqs),
            spent=account.item(_now()),
            cost=demand.cost,
            rank=demand.rank,
            request=demand.request,
            patience_s=demand.wait_limit_s,
        )

    async def _ask_owner(
        self, owner: GatewayPeer, ask: QuotaAsk
    ) -> QuotaVerdict | None:
        if owner.name == self._name:
            return self._decide(ask)
        answer: asyncio.Future[QuotaVerdict] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_asks[ask.seq] = answer
        try:
            for wait_s in (ASK_RESEND_S, ASK_TIMEOUT_S - ASK_RESEND_S):
                self._transport.send(ask, (owner,))
                await asyncio.wait((answer,), timeout=wait_s)
                if answer.done():
                    return answer.result()
            return None
        finally:
            del self._pending_asks[ask.seq]

    def _reachable_owners(self, workspace: str) -> list[GatewayPeer]:
        """Return the owners that may be asked, the deciding one first.

        Leaves out owners that recently did not answer.  Returns none while the fleet is
        not known.
        """
        self._update_owners()
        if not self._is_fleet_known():
            return []
        now = _now()
        return [
            owner
            for owner in self._owners.of(workspace)
            if self._skipped_until.get(owner.name, now) <= now
        ]

    def _update_owners(self, *, always: bool = False) -> None:
        """Pass the announced gateways to the owners' table if they have changed.

        ``always`` does so for an unchanged fleet too, which renews the time at which
        its gateways were last seen.
        """
        fleet = self._fleet()
        if always or fleet is not self._last_fleet:
            self._last_fleet = fleet
            announced = (peer for peer in (fleet.own, *fleet.others) if peer.address)
            self._owners.update(announced, _now())

    def _is_fleet_known(self) -> bool:
        """Return whether enough gateways are known to tell which are the owners."""
        if self._has_static_fleet or len(self._owners) > 1:
            return True
        return _now() > self._started_at + STARTUP_GRACE_S

    # Reports of this gateway.

    def _send_report(self) -> None:
        self._report_timer = None
        self._send_reports(self._unreported, first=True)
        self._unreported = set()

    def _send_fallback_report(self) -> None:
        self._fallback_report_timer = None
        self._send_reports(self._fallback_unreported, first=False)
        self._fallback_unreported = set()

    def _send_reports(self, workspaces: Iterable[str], *, first: bool) -> None:
        """Report what was spent to the deciding owners, or to the fallback owners.

        ``first`` selects the deciding ones.
        """
        self._update_owners()
        now = _now()
        by_owner: defaultdict[str, list[Account]] = defaultdict(list)
        quotas = self._quotas()
        for workspace in workspaces:
            owners = self._owners.of(workspace)
            if workspace in quotas and len(owners) > (not first):
                account = self._account(workspace)
                by_owner[owners[not first].name].append(account)
        for name, accounts in by_owner.items():
            items = (
                entry.report(now) if first else entry.item(now) for entry in accounts
            )
            report = QuotaReport(
                self._name,
                self._incarnation,
                next(self._seqs),
                tuple(items),
                spare=not first,
            )
            if name == self._name:
                self._on_report(report)
            else:
                self._send(report, name)

    async def _send_periodically(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_WHEN_SHORT_S)
            if not self._quotas() and not self._accounts:
                continue
            now = _now()
            assert self._ledgers is not None
            self._update_owners(always=True)
            self._send_notices(self._ledgers.remind(now))
            for workspace, account in list(self._accounts.items()):
                if account.is_idle(now):
                    del self._accounts[workspace]
            short = [
                name for name, entry in self._accounts.items() if entry.is_short(now)
            ]
            self._send_reports(short, first=True)
            self._send_reports(short, first=False)

    # Messages from other gateways.

    def _on_report(self, report: QuotaReport) -> None:
        if self._ledgers is not None:
            self._send_notices(self._ledgers.report(report, _now()))

    def _on_ask(self, ask: QuotaAsk) -> None:
        verdict = self._decide(ask)
        if verdict is not None:
            self._send(verdict, ask.gateway)

    def _decide(self, ask: QuotaAsk) -> QuotaVerdict | None:
        decision = None if self._ledgers is None else self._ledgers.ask(ask, _now())
        if decision is None:
            return None
        verdict, notices = decision
        self._send_notices(notices)
        return verdict

    def _on_verdict(self, verdict: QuotaVerdict) -> None:
        answer = self._pending_asks.get(verdict.seq)
        if answer is not None and not answer.done():
            answer.set_result(verdict)

    def _on_levels(self, notice: QuotaLevels) -> None:
        now = _now()
        for level in notice.items:
            account = self._accounts.get(level.workspace)
            owners = self._reachable_owners(level.workspace)
            if account is None or not owners:
                continue
            if owners[0].name == notice.owner:
                account.note_received(level, now)
            else:
                account.record_fallback_notice(level, now)

    def _send_notices(self, notices: Mapping[str, QuotaLevels]) -> None:
        for name, levels in notices.items():
            if name == self._name:
                self._on_levels(levels)
            else:
                self._send(levels, name)

    def _send(self, message: object, name: str) -> None:
        peer = self._owners.peer(name)
        if peer is not None:
            self._transport.send(message, (peer,))


def _now() -> float:
    return asyncio.get_running_loop().time()
