"""What one request has spent of its workspace's quota.

Lives for one request.  It is admitted once, before anything is sent; each send that may
have run counts, and what was admitted and not sent is given back.
"""

from __future__ import annotations

from gooseberrydale.errors import OVER_QUOTA, Problem, problem
from gooseberrydale.log_events import QuotaRefused, emit
from gooseberrydale.process.quota_client import OverQuota, QuotaClient, Want

MS_PER_S = 1_000.0


class QuotaCharge:
    """The charges of a request that wants ``want``; without a quota it does nothing."""

    def __init__(self, client: QuotaClient, want: Want | None) -> None:
        self._client = client
        self._want = want
        self._unused = False

    @property
    def workspace(self) -> str:
        """The workspace that pays; empty without a quota."""
        return "" if self._want is None else self._want.workspace

    @property
    def cost(self) -> int:
        """What one send counts."""
        return 0 if self._want is None else self._want.cost

    async def admit(self) -> OverQuota | None:
        """Spend one send in advance; if that can't be, says when it can."""
        if self._want is None:
            return None
        refused = await self._client.admit(self._want)
        self._unused = refused is None
        return refused

    def sent(self) -> None:
        """The request was sent to an upstream, which may run it."""
        if self._unused:
            self._unused = False
        elif self._want is not None:
            self._client.spend(self._want.workspace, self._want.cost)

    def not_run(self) -> None:
        """The upstream that got it last is known not to run it."""
        if self._want is None:
            return
        if self._unused:
            self._give_back(self._want)
        self._unused = True

    def close(self) -> None:
        """No send follows; what was admitted and not sent is given back."""
        if self._unused and self._want is not None:
            self._give_back(self._want)
        self._unused = False

    def _give_back(self, want: Want) -> None:
        self._client.spend(want.workspace, -want.cost)


def refusal_of(request_id: str, charge: QuotaCharge, over: OverQuota) -> Problem:
    """The refusal of a request that is over its quota, which is logged as well."""
    emit(
        QuotaRefused(
            request_id=request_id,
            workspace=charge.workspace,
            cost=charge.cost,
            left=round(over.left),
            age_ms=round(over.age_s * MS_PER_S, 1),
            owner=over.owner,
            after_ms=round(over.after_s * MS_PER_S),
        )
    )
    return problem(
        OVER_QUOTA,
        workspace=charge.workspace,
        cost=charge.cost,
        retry_after_s=over.after_s,
    )
