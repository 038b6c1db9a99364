"""Charges one request to the quota of its workspace.

There is one ``QuotaCharge`` per request.  Admission pays for the first send in advance;
each further send that may have run is charged as well, and a send that was paid for but
not made is refunded.
"""

from __future__ import annotations

from gooseberrydale.errors import OVER_QUOTA, Problem, problem
from gooseberrydale.log_events import QuotaRefused, emit
from gooseberrydale.process.quota_client import OverQuota, QuotaClient, QuotaDemand

MS_PER_S = 1_000.0


class QuotaCharge:
    """Charges one request to a quota; does nothing if ``demand`` is None.

    ``_is_prepaid`` is set while one send is paid for that has not been made.
    """

    def __init__(self, client: QuotaClient, demand: QuotaDemand | None) -> None:
        self._client = client
        self._demand = demand
        self._is_prepaid = False

    @property
    def workspace(self) -> str:
        """The workspace whose quota is charged; empty without a quota."""
        return "" if self._demand is None else self._demand.workspace

    @property
    def cost(self) -> int:
        """The cost of one send, in the unit of the quota; 0 without a quota."""
        return 0 if self._demand is None else self._demand.cost

    async def admit(self) -> OverQuota | None:
        """Pay for one send in advance, or return a refusal that says when to retry."""
        if self._demand is None:
            return None
        refusal = await self._client.admit(self._demand)
        self._is_prepaid = refusal is None
        return refusal

    def record_sent(self) -> None:
        """Charge a send to an upstream that may run the request."""
        if self._is_prepaid:
            self._is_prepaid = False
        elif self._demand is not None:
            self._client.spend(self._demand.workspace, self._demand.cost)

    def record_not_run(self) -> None:
        """Keep the payment for the next send, as the upstream did not run this one."""
        if self._demand is None:
            return
        if self._is_prepaid:
            self._refund(self._demand)
        self._is_prepaid = True

    def close(self) -> None:
        """Refund a send that was paid for and not made; no send follows."""
        if self._is_prepaid and self._demand is not None:
            self._refund(self._demand)
        self._is_prepaid = False

    def _refund(self, demand: QuotaDemand) -> None:
        self._client.spend(demand.workspace, -demand.cost)


def refuse_over_quota(request_id: str, charge: QuotaCharge, over: OverQuota) -> Problem:
    """Log that a request is over its quota, and return the error for its caller."""
    emit(
        QuotaRefused(
            request_id=request_id,
            workspace=charge.workspace,
            cost=charge.cost,
            left=round(over.left),
            age_ms=round(over.age_s * MS_PER_S, 1),
            owner=over.owner,
            after_ms=round(over.retry_after_s * MS_PER_S),
        )
    )
    return problem(
        OVER_QUOTA,
        workspace=charge.workspace,
        cost=charge.cost,
        retry_after_s=over.retry_after_s,
    )
