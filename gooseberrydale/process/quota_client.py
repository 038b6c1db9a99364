"""Spends the quotas of workspaces at this gateway, and owns the count of some of them.

Lives as long as the process.  The decisions are in ``version/quotas``; this carries
messages between gateways, waits for verdicts and repeats what may be lost.
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

GATHER_S = 0.1
"""Spending within this time shares a report to the owner that decides."""

GATHER_SHORT_S = 0.05
"""While a quota is short both owners get reports sooner, so that either can decide."""

GATHER_SPARE_S = 1.0
"""The other owner gets reports later while much is left: nothing hangs on it yet."""

KEEP_S = 0.3
"""Between two reports while a quota is short."""

ASK_AGAIN_S = 0.04
ASK_S = 0.12
SUSPECT_S = 1.0
"""An owner that left an ask unanswered is passed over for so long."""

SETTLE_S = 5.0
"""A process that knows no other gateway this soon after its start can't be the owner:
it may just not have heard of them."""

UNSETTLED_SHARE = 0.1

SPREAD_PART = 0.2
SPREAD_S = 0.25
"""Callers refused at one moment return within this time after their turn, or that
part of their wait, so that they don't arrive at once."""

LEAST_AFTER_S = 0.05


class Transport(Protocol):
    """What carries messages to other gateways, each at most once."""

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Hand messages of ``kind`` to ``handler``."""

    def send(self, message: object, peers: Iterable[GatewayPeer]) -> None:
        """Send a message once, come what may."""


@dataclass(frozen=True, slots=True)
class Want:
    """A request that counts ``cost`` of a workspace's quota.

    ``request`` names it, the same for each repeat; its caller would wait ``patience_s``
    at most before it returns.
    """

    workspace: str
    quota: Quota
    cost: int
    rank: int = 0
    request: bytes = b""
    patience_s: float = 0.0


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request is refused: when to return, what was left and how old that is.

    ``owner`` is the gateway that decided, this one if no owner answered.
    """

    after_s: float
    left: float
    age_s: float
    owner: str


class QuotaClient:
    """``admit`` each request of a workspace with a quota before it is sent.

    ``is_listed`` says that the fleet is a list that all know from the start, in place
    of what was heard so far.
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
        is_listed: bool = False,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._transport = transport
        self._fleet = fleet
        self._quotas = quotas
        self._rng = rng
        self._is_listed = is_listed
        self._accounts: dict[str, Account] = {}
        self._owners = Owners()
        self._known_fleet: Fleet | None = None
        self._counting: Ledgers | None = None
        self._started_at = 0.0
        self._suspects: dict[str, float] = {}
        self._seqs: Iterator[int] = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[QuotaVerdict]] = {}
        self._unreported: set[str] = set()
        self._spare_unreported: set[str] = set()
        self._due: asyncio.TimerHandle | None = None
        self._spare_due: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        transport.on(QuotaReport, self._hear_report)
        transport.on(QuotaLevels, self._hear_levels)
        transport.on(QuotaAsk, self._hear_ask)
        transport.on(QuotaVerdict, self._hear_verdict)

    def spent(self, workspace: str) -> int:
        """What this gateway has spent for a workspace since it started."""
        account = self._accounts.get(workspace)
        return 0 if account is None else account.spent

    async def start(self) -> None:
        """Begin to report and to count; messages can be sent."""
        self._started_at = _now()
        self._counting = Ledgers(self._name, self._quotas, self._started_at)
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stop reporting."""
        for timer in (self._due, self._spare_due):
            if timer is not None:
                timer.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def admit(self, want: Want) -> OverQuota | None:
        """Spend what a request counts; if that can't be, says when it can."""
        if not want.cost:
            return None
        account = self._account(want.workspace)
        if account.may_spend(want.cost, want.quota, _now()):
            self.spend(want.workspace, want.cost)
            return None
        verdict = await self._ask(account, want)
        if verdict is None:
            return self._spend_own(account, want)
        if verdict.granted:
            # The owner that granted it has counted it.
            account.spend(want.cost, _now())
            self._report_spare_soon(account)
            return None
        return self._refuse(verdict.after_s, account, want, verdict.owner)

    def spend(self, workspace: str, cost: int) -> None:
        """A request is sent, again maybe; below 0 if a send turned out not to run."""
        account = self._account(workspace)
        account.spend(cost, _now())
        self._unreported.add(workspace)
        if self._due is None:
            gather_s = GATHER_SHORT_S if account.is_short(_now()) else GATHER_S
            loop = asyncio.get_running_loop()
            self._due = loop.call_later(gather_s, self._report)
        self._report_spare_soon(account)

    def _report_spare_soon(self, account: Account) -> None:
        """Report to the owner that does not decide; soon if it may have to."""
        self._spare_unreported.add(account.workspace)
        if self._spare_due is None:
            gather_s = GATHER_SHORT_S if account.is_short(_now()) else GATHER_SPARE_S
            loop = asyncio.get_running_loop()
            self._spare_due = loop.call_later(gather_s, self._report_spare)

    def _account(self, workspace: str) -> Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = Account(workspace)
        return account

    def _spend_own(self, account: Account, want: Want) -> OverQuota | None:
        """No owner answers: go on with the own share of the rate."""
        least_share = 1.0 / max(1, len(self._owners))
        if not self._is_settled():
            least_share = UNSETTLED_SHARE
        after_s = account.own_share_wait_s(want.quota, least_share, _now())
        if after_s > 0.0:
            return self._refuse(after_s, account, want, self._name)
        account.spend_own_share(want.cost)
        self.spend(want.workspace, want.cost)
        return None

    def _refuse(
        self, turn_s: float, account: Account, want: Want, owner: str
    ) -> OverQuota:
        """A refusal until the turn, or a little later if the caller waits so long."""
        spread_s = self._rng.uniform(0.0, min(SPREAD_S, SPREAD_PART * turn_s))
        latest_s = max(turn_s, want.patience_s, LEAST_AFTER_S)
        after_s = min(max(LEAST_AFTER_S, turn_s + spread_s), latest_s)
        return OverQuota(after_s, account.left, account.age_s(_now()), owner)

    async def _ask(self, account: Account, want: Want) -> QuotaVerdict | None:
        """The verdict of the first owner that answers; None if none does.

        A refusal of one that has just begun to count is not the last word.
        """
        refused: QuotaVerdict | None = None
        for owner in self._owners_of(account.workspace):
            verdict = await self._ask_owner(owner, self._ask_of(account, want))
            if verdict is None:
                self._suspects[owner.name] = _now() + SUSPECT_S
                continue
            self._suspects.pop(owner.name, None)
            if verdict.granted or not verdict.young:
                account.note_received(verdict.level, _now())
                return verdict
            refused = refused or verdict
        if refused is not None:
            account.note_received(refused.level, _now())
        return refused

    def _ask_of(self, account: Account, want: Want) -> QuotaAsk:
        return QuotaAsk(
            gateway=self._name,
            incarnation=self._incarnation,
            seq=next(self._seqs),
            spent=account.item(_now()),
            cost=want.cost,
            rank=want.rank,
            request=want.request,
            patience_s=want.patience_s,
        )

    async def _ask_owner(
        self, owner: GatewayPeer, ask: QuotaAsk
    ) -> QuotaVerdict | None:
        if owner.name == self._name:
            return self._decide(ask)
        answer: asyncio.Future[QuotaVerdict] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[ask.seq] = answer
        try:
            for wait_s in (ASK_AGAIN_S, ASK_S - ASK_AGAIN_S):
                self._transport.send(ask, (owner,))
                await asyncio.wait((answer,), timeout=wait_s)
                if answer.done():
                    return answer.result()
            return None
        finally:
            del self._waiting[ask.seq]

    def _owners_of(self, workspace: str) -> list[GatewayPeer]:
        """The owners that are not suspected, the one that decides first."""
        self._note_fleet()
        if not self._is_settled():
            return []
        now = _now()
        return [
            one
            for one in self._owners.of(workspace)
            if self._suspects.get(one.name, now) <= now
        ]

    def _note_fleet(self, *, always: bool = False) -> None:
        fleet = self._fleet()
        if always or fleet is not self._known_fleet:
            self._known_fleet = fleet
            known = (one for one in (fleet.own, *fleet.others) if one.address)
            self._owners.update(known, _now())

    def _is_settled(self) -> bool:
        if self._is_listed or len(self._owners) > 1:
            return True
        return _now() > self._started_at + SETTLE_S

    # What this gateway reports.

    def _report(self) -> None:
        self._due = None
        self._send_reports(self._unreported, first=True)
        self._unreported = set()

    def _report_spare(self) -> None:
        self._spare_due = None
        self._send_reports(self._spare_unreported, first=False)
        self._spare_unreported = set()

    def _send_reports(self, workspaces: Iterable[str], *, first: bool) -> None:
        """Report workspaces to the owners that decide, or to the other ones."""
        self._note_fleet()
        now = _now()
        by_owner: defaultdict[str, list[Account]] = defaultdict(list)
        quotas = self._quotas()
        for workspace in workspaces:
            owners = self._owners.of(workspace)
            if workspace in quotas and len(owners) > (not first):
                account = self._account(workspace)
                by_owner[owners[not first].name].append(account)
        for name, accounts in by_owner.items():
            items = (one.report(now) if first else one.item(now) for one in accounts)
            report = QuotaReport(
                self._name,
                self._incarnation,
                next(self._seqs),
                tuple(items),
                spare=not first,
            )
            if name == self._name:
                self._hear_report(report)
            else:
                self._send(report, name)

    async def _repeat(self) -> None:
        while True:
            await asyncio.sleep(KEEP_S)
            if not self._quotas() and not self._accounts:
                continue
            now = _now()
            assert self._counting is not None
            self._note_fleet(always=True)
            self._send_notices(self._counting.remind(now))
            for workspace, account in list(self._accounts.items()):
                if account.is_idle(now):
                    del self._accounts[workspace]
            short = [name for name, one in self._accounts.items() if one.is_short(now)]
            self._send_reports(short, first=True)
            self._send_reports(short, first=False)

    # What comes from other gateways.

    def _hear_report(self, report: QuotaReport) -> None:
        if self._counting is not None:
            self._send_notices(self._counting.report(report, _now()))

    def _hear_ask(self, ask: QuotaAsk) -> None:
        verdict = self._decide(ask)
        if verdict is not None:
            self._send(verdict, ask.gateway)

    def _decide(self, ask: QuotaAsk) -> QuotaVerdict | None:
        found = None if self._counting is None else self._counting.ask(ask, _now())
        if found is None:
            return None
        verdict, notices = found
        self._send_notices(notices)
        return verdict

    def _hear_verdict(self, verdict: QuotaVerdict) -> None:
        answer = self._waiting.get(verdict.seq)
        if answer is not None and not answer.done():
            answer.set_result(verdict)

    def _hear_levels(self, notice: QuotaLevels) -> None:
        now = _now()
        for level in notice.items:
            account = self._accounts.get(level.workspace)
            owners = self._owners_of(level.workspace)
            if account is None or not owners:
                continue
            if owners[0].name == notice.owner:
                account.note_received(level, now)
            else:
                account.record_fallback_notice(level, now)

    def _send_notices(self, notices: Mapping[str, QuotaLevels]) -> None:
        for name, levels in notices.items():
            if name == self._name:
                self._hear_levels(levels)
            else:
                self._send(levels, name)

    def _send(self, message: object, name: str) -> None:
        peer = self._owners.peer(name)
        if peer is not None:
            self._transport.send(message, (peer,))


def _now() -> float:
    return asyncio.get_running_loop().time()
