"""Claims that let a non-repeatable call run at most once per Idempotency-Key.

Part of the replicated control state.  A claim names the only attempt that may run.
It moves to another attempt only after the sidecar has confirmed with a tombstone
that the first one never ran and never will; a finished claim never changes.  Claims
expire by committed time.  A full table refuses new claims and never drops one
before it expires, because a call whose claim is missing could run twice.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from gooseberrydale.connection.control_messages import (
    ClaimRecord,
    ClaimReply,
    ClaimReq,
    ClaimState,
    FinishReq,
    Holder,
    Limits,
    MoveReq,
    ReleaseReq,
)
from gooseberrydale.errors import (
    CLAIM_MOVED,
    CLAIMS_FULL,
    KEY_REUSED,
    KEY_TOO_LONG,
    TOMBSTONE_MISSING,
    UNKNOWN_CLAIM,
    InvariantError,
    Problem,
    problem,
)

MAX_KEY_CHARS = 256
MAX_HEADER_BYTES = 8_192
MIN_RETRY_AFTER_S = 1.0

_ClaimKey = tuple[str, str]


class ClaimTable:
    """All claims, ordered by expiry."""

    def __init__(self, records: tuple[ClaimRecord, ...] = ()) -> None:
        self._records: dict[_ClaimKey, ClaimRecord] = {}
        self._counts: Counter[str] = Counter()
        self._stored_bytes = 0
        for record in records:
            self._insert(record)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def records(self) -> tuple[ClaimRecord, ...]:
        """All claims, earliest expiry first."""
        return tuple(self._records.values())

    @property
    def stored_bytes(self) -> int:
        """Total size of all stored answers in bytes."""
        return self._stored_bytes

    def next_expiry_s(self) -> float | None:
        """Committed time at which the next claim expires."""
        first = next(iter(self._records.values()), None)
        return None if first is None else first.expires_s

    def expire(self, now_s: float) -> None:
        """Drop the claims that have expired by ``now_s``."""
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires_s > now_s:
                return
            self._drop(key)

    def claim(self, req: ClaimReq, now_s: float, limits: Limits) -> ClaimReply:
        """Grant the key to the attempt, or return the claim that already holds it."""
        existing = self._records.get((req.workspace, req.key))
        if existing is not None:
            return _reply_to_existing(existing, req)
        if len(req.key) > MAX_KEY_CHARS:
            return ClaimReply(problem=problem(KEY_TOO_LONG, limit=MAX_KEY_CHARS))
        if self._is_full(req.workspace, limits):
            return self._refuse_full(now_s)
        record = ClaimRecord(
            workspace=req.workspace,
            key=req.key,
            digest=req.digest,
            holder=req.holder,
            expires_s=now_s + limits.claim_ttl_s,
        )
        self._insert(record)
        return ClaimReply(granted=True, record=record)

    def move(self, req: MoveReq, now_s: float, limits: Limits) -> ClaimReply:
        """Move the claim from a tombstoned attempt to another attempt."""
        existing = self._records.get((req.workspace, req.key))
        if existing is None:
            return _refuse_unknown(req.key)
        if existing.holder == req.new and existing.state is ClaimState.RUNNING:
            return ClaimReply(granted=True, record=existing)
        if existing.state is not ClaimState.RUNNING:
            return ClaimReply(record=existing)
        if existing.holder != req.old:
            return ClaimReply(record=existing, problem=_moved_problem(existing))
        if not req.tombstone:
            return ClaimReply(record=existing, problem=_tombstone_problem(req.old))
        expires_s = now_s + limits.claim_ttl_s
        moved = replace(existing, holder=req.new, expires_s=expires_s)
        self._replace(existing, moved)
        return ClaimReply(granted=True, record=moved)

    def release(self, req: ReleaseReq) -> ClaimReply:
        """Remove the claim of an attempt that was tombstoned, which frees its key."""
        existing = self._records.get((req.workspace, req.key))
        if existing is None:
            return ClaimReply()
        if existing.state is not ClaimState.RUNNING or existing.holder != req.holder:
            return ClaimReply(record=existing, problem=_moved_problem(existing))
        if not req.tombstone:
            return ClaimReply(record=existing, problem=_tombstone_problem(req.holder))
        self._drop((req.workspace, req.key))
        return ClaimReply()

    def finish(self, req: FinishReq, now_s: float, limits: Limits) -> ClaimReply:
        """Record the answer; a second answer from the same attempt is ignored."""
        existing = self._records.get((req.workspace, req.key))
        if existing is None:
            return _refuse_unknown(req.key)
        if existing.holder != req.holder:
            return ClaimReply(record=existing, problem=_moved_problem(existing))
        if existing.state is not ClaimState.RUNNING:
            return ClaimReply(record=existing)
        finished = self._finished(existing, req, now_s + limits.claim_ttl_s, limits)
        self._replace(existing, finished)
        return ClaimReply(record=finished)

    def _finished(
        self, existing: ClaimRecord, req: FinishReq, expires_s: float, limits: Limits
    ) -> ClaimRecord:
        if req.outcome_unknown:
            state = ClaimState.OUTCOME_UNKNOWN
            return replace(existing, state=state, expires_s=expires_s)
        fits = self._fits(req, limits)
        return replace(
            existing,
            state=ClaimState.FINISHED,
            expires_s=expires_s,
            status=req.status,
            headers=req.headers if fits else (),
            body=req.body if fits else b"",
            answer_kept=fits,
        )

    def _fits(self, req: FinishReq, limits: Limits) -> bool:
        if len(req.body) > limits.claim_body_bytes:
            return False
        if _header_bytes(req.headers) > MAX_HEADER_BYTES:
            return False
        size = len(req.body) + _header_bytes(req.headers)
        return self._stored_bytes + size <= limits.claim_total_bytes

    def _is_full(self, workspace: str, limits: Limits) -> bool:
        if len(self._records) >= limits.claims:
            return True
        return self._counts[workspace] >= limits.claims_per_workspace

    def _refuse_full(self, now_s: float) -> ClaimReply:
        expiry_s = self.next_expiry_s()
        wait_s = MIN_RETRY_AFTER_S if expiry_s is None else expiry_s - now_s
        retry_after_s = max(MIN_RETRY_AFTER_S, wait_s)
        return ClaimReply(problem=problem(CLAIMS_FULL, retry_after_s=retry_after_s))

    def _replace(self, old: ClaimRecord, new: ClaimRecord) -> None:
        check_successor(old, new)
        self._drop((old.workspace, old.key))
        self._insert(new)

    def _insert(self, record: ClaimRecord) -> None:
        key = (record.workspace, record.key)
        if key in self._records:
            raise InvariantError(f"claim {record.key!r} would be granted twice")
        self._records[key] = record
        self._counts[record.workspace] += 1
        self._stored_bytes += _answer_bytes(record)

    def _drop(self, key: _ClaimKey) -> None:
        record = self._records.pop(key)
        self._counts[record.workspace] -= 1
        if not self._counts[record.workspace]:
            del self._counts[record.workspace]
        self._stored_bytes -= _answer_bytes(record)


def check_successor(old: ClaimRecord, new: ClaimRecord) -> None:
    """Raise InvariantError unless ``new`` is a valid next state of ``old``."""
    if old.state is not ClaimState.RUNNING:
        raise InvariantError(f"finished claim {old.key!r} would change")
    if new.digest != old.digest:
        raise InvariantError(f"claim {old.key!r} would change its request digest")
    if new.holder != old.holder and new.state is not ClaimState.RUNNING:
        raise InvariantError(
            f"claim {old.key!r} would be finished by an attempt that does not hold it"
        )


def _reply_to_existing(existing: ClaimRecord, req: ClaimReq) -> ClaimReply:
    if existing.digest != req.digest:
        return ClaimReply(problem=problem(KEY_REUSED))
    # The holder retries when the first reply was lost.  Granting it again is safe:
    # the sidecar accepts each attempt only once.
    granted = existing.state is ClaimState.RUNNING and existing.holder == req.holder
    return ClaimReply(granted=granted, record=existing)


def _refuse_unknown(key: str) -> ClaimReply:
    return ClaimReply(problem=problem(UNKNOWN_CLAIM, key=key, not_run=None))


def _moved_problem(existing: ClaimRecord) -> Problem:
    holder = existing.holder
    return problem(
        CLAIM_MOVED,
        not_run=None,
        key=existing.key,
        request_id=holder.request_id,
        attempt=holder.attempt,
    )


def _tombstone_problem(holder: Holder) -> Problem:
    return problem(
        TOMBSTONE_MISSING,
        not_run=None,
        request_id=holder.request_id,
        attempt=holder.attempt,
    )


def _header_bytes(headers: tuple[tuple[str, str], ...]) -> int:
    return sum(len(name) + len(value) for name, value in headers)


def _answer_bytes(record: ClaimRecord) -> int:
    return len(record.body) + _header_bytes(record.headers)
