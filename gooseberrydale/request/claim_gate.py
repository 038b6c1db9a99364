"""Decides whether an attempt of a request may be dispatched.

There is one gate per request.  For a call with an Idempotency-Key, each attempt must
hold the claim on that key, committed by control, before it is dispatched.  The claim
moves to another attempt only after the earlier attempt is known never to run.
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
from gooseberrydale.errors import UNKNOWN_CLAIM, Problem, ProblemError
from gooseberrydale.request.background import Background

CLAIM_TIMEOUT_S = 3.0
"""Timeout for claiming a key; long enough for the election of a new leader."""

BACKGROUND_TIMEOUT_S = 30.0

ClaimRequest = ClaimReq | MoveReq | ReleaseReq | FinishReq


class ClaimHeld(Exception):
    """Another attempt holds the claim or has finished; see ``record.state``."""

    def __init__(self, record: ClaimRecord) -> None:
        super().__init__(f"claim held by request {record.holder.request_id}")
        self.record = record


class ClaimStore(Protocol):
    """Commits claims by way of the control replicas."""

    async def ask(self, req: Any, timeout_s: float) -> Result[Any, Problem]:
        """Commit ``req``; an error if the commit is not confirmed in time."""


class AttemptGate(Protocol):
    """Decides whether an attempt may be dispatched."""

    async def admit(self, record: UpstreamRecord, attempt: int) -> None:
        """Return if ``attempt`` may be dispatched to the sidecar of ``record``.

        Raises :class:`ProblemError` or :class:`ClaimHeld` otherwise.
        """


class OpenGate:
    """Admits every attempt; for calls without an Idempotency-Key."""

    async def admit(self, record: UpstreamRecord, attempt: int) -> None:
        """Admit the attempt."""


class ClaimGate:
    """Claims the Idempotency-Key of one request.

    ``holder`` is the last known holder of the claim.
    """

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
        """Claim the key for this attempt.

        If ``holder`` is set, its attempt is confirmed never to run, and the claim is
        moved from it.  If that claim is gone by then, the key is claimed anew.
        """
        new = Holder(
            request_id=self._request_id,
            attempt=attempt,
            sidecar=record.name,
            address=record.address,
            incarnation=record.incarnation,
            record_seq=record.seq,
        )
        reply = await self._claim(new)
        if reply.problem is not None and reply.problem.code == UNKNOWN_CLAIM.code:
            # The holder's own entry has released the claim meanwhile.
            self.holder = None
            reply = await self._claim(new)
        if reply.granted:
            self.holder = new
        elif reply.record is not None:
            raise ClaimHeld(reply.record)
        else:
            assert reply.problem is not None
            raise ProblemError(reply.problem)

    async def _claim(self, new: Holder) -> ClaimReply:
        result = await self._store.ask(self._request_for(new), CLAIM_TIMEOUT_S)
        if isinstance(result, Err):
            # The claim may have been committed, but this attempt is never dispatched.
            self._release_in_background(new)
            raise ProblemError(result.err_value)
        reply: ClaimReply = result.ok_value
        return reply

    async def look_up(self, holder: Holder) -> ClaimRecord | None:
        """Return the committed record of the key; None if control does not answer."""
        req = ClaimReq(self._workspace, self._key, self._digest, holder)
        result = await self._store.ask(req, CLAIM_TIMEOUT_S)
        if isinstance(result, Err):
            return None
        reply: ClaimReply = result.ok_value
        return reply.record

    def release(self) -> None:
        """Release this request's own claim in the background.

        Call this only if none of its attempts ran.
        """
        if self.holder is not None and self.holder.request_id == self._request_id:
            self._release_in_background(self.holder)

    async def finish(
        self, status: int, headers: tuple[tuple[str, str], ...], body: bytes
    ) -> None:
        """Record the complete answer."""
        if self.holder is not None:
            req = FinishReq(
                self._workspace, self._key, self.holder, status, headers, body
            )
            await self._store.ask(req, BACKGROUND_TIMEOUT_S)

    async def finish_unknown(self) -> None:
        """Record that the outcome will remain unknown."""
        if self.holder is not None:
            req = FinishReq(
                self._workspace, self._key, self.holder, outcome_unknown=True
            )
            await self._store.ask(req, BACKGROUND_TIMEOUT_S)

    def _request_for(self, new: Holder) -> ClaimRequest:
        if self.holder is None:
            return ClaimReq(self._workspace, self._key, self._digest, new)
        return MoveReq(self._workspace, self._key, self.holder, new, tombstone=True)

    def _release_in_background(self, holder: Holder) -> None:
        req = ReleaseReq(self._workspace, self._key, holder, tombstone=True)
        self._background.spawn(self._store.ask(req, BACKGROUND_TIMEOUT_S))
