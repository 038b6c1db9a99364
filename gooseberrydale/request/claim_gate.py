"""Lets an attempt of a call that may not be repeated be dispatched.

Lives for one request.  With an Idempotency-Key each attempt is claimed by a commit
of control before it is dispatched, and the claim passes to another attempt only
after the earlier one is known never to run.
"""

from __future__ import annotations

from typing import Any, Protocol

from result import Err, Result

from gooseberrydale.connection.control_messages import (
    ClaimRecord,
    ClaimReply,
    ClaimReq,
    FinishReq,
    Holder,
    MoveReq,
    ReleaseReq,
)
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import Problem, ProblemError
from gooseberrydale.request.background import Background

CLAIM_S = 3.0
"""Longest wait for a claim; it covers the election of a new leader."""

UPKEEP_S = 30.0

ClaimRequest = ClaimReq | MoveReq | ReleaseReq | FinishReq


class ClaimHeld(Exception):
    """Another attempt holds or has finished the claim; ``record`` tells which."""

    def __init__(self, record: ClaimRecord) -> None:
        super().__init__(f"claim held by request {record.holder.request_id}")
        self.record = record


class ClaimStore(Protocol):
    """Where claims are committed."""

    async def ask(self, req: Any, timeout_s: float) -> Result[Any, Problem]:
        """Commit ``req``; an error if it is not known to be committed in time."""


class Gate(Protocol):
    """Says whether an attempt may be dispatched."""

    async def admit(self, record: UpstreamRecord, attempt: int) -> None:
        """Return if it may; raises :class:`ProblemError` or :class:`ClaimHeld`."""


class OpenGate:
    """Lets every attempt pass; for calls without a claim."""

    async def admit(self, record: UpstreamRecord, attempt: int) -> None:
        """Return at once."""


class ClaimGate:
    """The claim of one request; ``holder`` is who holds it, as far as known."""

    def __init__(
        self,
        store: ClaimStore,
        background: Background,
        request_id: str,
        workspace: str,
        key: str,
        digest: bytes,
    ) -> None:
        self._store = store
        self._background = background
        self._request_id = request_id
        self._workspace = workspace
        self._key = key
        self._digest = digest
        self.holder: Holder | None = None

    async def admit(self, record: UpstreamRecord, attempt: int) -> None:
        """Claim for this attempt, or move the claim from a confirmed tombstone."""
        new = Holder(
            request_id=self._request_id,
            attempt=attempt,
            sidecar=record.name,
            address=record.address,
            incarnation=record.incarnation,
            record_seq=record.seq,
        )
        asked = await self._store.ask(self._request_for(new), CLAIM_S)
        if isinstance(asked, Err):
            # It may be committed all the same, but will never be dispatched.
            self._free(new)
            raise ProblemError(asked.err_value)
        reply: ClaimReply = asked.ok_value
        if reply.granted:
            self.holder = new
        elif reply.record is not None:
            raise ClaimHeld(reply.record)
        else:
            assert reply.problem is not None
            raise ProblemError(reply.problem)

    async def look_up(self, holder: Holder) -> ClaimRecord | None:
        """What is committed under the key; None if control can't tell now."""
        req = ClaimReq(self._workspace, self._key, self._digest, holder)
        asked = await self._store.ask(req, CLAIM_S)
        if isinstance(asked, Err):
            return None
        reply: ClaimReply = asked.ok_value
        return reply.record

    def release(self) -> None:
        """Free the key in the background; only if the holder never ran."""
        if self.holder is not None and self.holder.request_id == self._request_id:
            self._free(self.holder)

    async def finish(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Record the answer."""
        if self.holder is not None:
            req = FinishReq(
                self._workspace, self._key, self.holder, status, headers, body
            )
            await self._store.ask(req, UPKEEP_S)

    async def finish_unknown(self) -> None:
        """Record that the outcome is unknown for good."""
        if self.holder is not None:
            req = FinishReq(
                self._workspace, self._key, self.holder, outcome_unknown=True
            )
            await self._store.ask(req, UPKEEP_S)

    def _request_for(self, new: Holder) -> ClaimRequest:
        if self.holder is None:
            return ClaimReq(self._workspace, self._key, self._digest, new)
        return MoveReq(self._workspace, self._key, self.holder, new, tombstone=True)

    def _free(self, holder: Holder) -> None:
        req = ReleaseReq(self._workspace, self._key, holder, tombstone=True)
        self._background.spawn(self._store.ask(req, UPKEEP_S))
