"""What one request has spent of its workspace's quota.

Lives for one request.  It is admitted once, before anything is sent; each send that may
have run counts, and what was admitted and not sent is given back.
"""

from __future__ import annotations

from gooseberrydale.process.gateway.assignment import Assignment
from gooseberrydale.process.gateway.quota_client import OverQuota, QuotaClient, Want
from gooseberrydale.request.comeback import PART_OF_LEFT


class QuotaCharge:
    """The charges of ``job``; without a quota it does nothing."""

    def __init__(self, client: QuotaClient, job: Assignment) -> None:
        self._client = client
        self._job = job
        self._want = _want(job)
        self._unused = False

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
        """The upstream states that it did not run the request."""
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

    @property
    def cost(self) -> int:
        """What one send counts."""
        return 0 if self._want is None else self._want.cost


def _want(job: Assignment) -> Want | None:
    """What a request needs of its workspace's quota; None without one."""
    holder, prompt = job.workspace, job.call.prompt
    if holder is None or holder.quota is None:
        return None
    return Want(
        workspace=holder.name,
        quota=holder.quota,
        cost=holder.quota.cost(None if prompt is None else prompt.usage),
        rank=job.rank,
        request=job.fingerprint,
        patience_s=max(0.0, job.left_s()) * PART_OF_LEFT,
    )
