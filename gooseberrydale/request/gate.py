"""Decides whether an attempt may start; no other place has exact knowledge of it.

One per sidecar. The record of an attempt exists from its dispatch or cancellation until
``retention_s`` after its end. Pure: the current time is an argument.

An attempt is identified by (request id, attempt, incarnation). It starts at most once,
and an attempt that was cancelled or refused never starts. Records can be dropped safely
because of two bounds. First, an entry builds the dispatch of an attempt before its
request's deadline has passed, by its own clock, which also runs while the entry is
paused. Second, a dispatch names the announcement of this sidecar that it is based on;
however long it is delayed in a paused entry or on the network, it is refused once that
announcement is older than ``MAX_DISPATCH_AGE_S`` by this sidecar's clock. So a
tombstone has to be retained for a deadline plus that age, and a margin for
announcements that were already old when the dispatch was built.

A cancellation names that announcement too: an unknown attempt counts as never started
only while the record of a dispatch based on that announcement would still be retained.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from gooseberrydale.connection.messages import CancelReq, DispatchReq
from gooseberrydale.errors import (
    DEADLINE_PASSED,
    DUPLICATE_ATTEMPT,
    SHUTTING_DOWN,
    STALE_DISPATCH,
    TOMBSTONED,
    UPSTREAM_LEAVING,
    WRONG_INCARNATION,
    InvariantError,
    Problem,
    problem,
)

MAX_DISPATCH_AGE_S = 60.0
RETENTION_MARGIN_S = 60.0
DEFAULT_DEADLINE_S = 30.0

Key = tuple[str, int]


class Phase(Enum):
    """The state of an attempt."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    # Refused from now on; it has never run.
    TOMBSTONE = "tombstone"
    # Refused from now on; the record that would show whether it ran may be dropped.
    BARRED = "barred"


class Verdict(Enum):
    """The result of a cancellation, which decides what is left to do."""

    NEVER_STARTS = "never_starts"
    TAKEN_FROM_QUEUE = "taken_from_queue"
    STOP = "stop"
    RUNS_ON = "runs_on"
    OVER = "over"
    UNKNOWN = "unknown"
    WRONG_INCARNATION = "wrong_incarnation"
    WRONG_WORKSPACE = "wrong_workspace"

    @property
    def not_run(self) -> bool:
        """True if the attempt has not started and never will."""
        return self in (Verdict.NEVER_STARTS, Verdict.TAKEN_FROM_QUEUE)


@dataclass(slots=True)
class _Attempt:
    phase: Phase
    workspace: str
    repeatable: bool


class Gate:
    """The attempts of one sidecar incarnation."""

    def __init__(self, upstream: str, incarnation: str) -> None:
        self._upstream = upstream
        self._incarnation = incarnation
        self._attempts: dict[Key, _Attempt] = {}
        self._ended: deque[tuple[float, Key]] = deque()
        self._shutting_down = False
        self._longest_deadline_s = DEFAULT_DEADLINE_S
        self._issued: deque[tuple[int, float]] = deque()
        self._has_expired = False

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def unfinished(self) -> int:
        """Number of attempts that wait or run."""
        open_phases = (Phase.WAITING, Phase.RUNNING)
        return sum(a.phase in open_phases for a in self._attempts.values())

    def phase(self, key: Key) -> Phase | None:
        """Return the state of the attempt; None if it has no record."""
        attempt = self._attempts.get(key)
        return None if attempt is None else attempt.phase

    @property
    def retention_s(self) -> float:
        """How long records are retained after their attempts ended, in seconds."""
        return self._longest_deadline_s + MAX_DISPATCH_AGE_S + RETENTION_MARGIN_S

    def allow_deadline(self, deadline_s: float) -> None:
        """Extend the retention to cover the deadline of a profile; it never shrinks."""
        self._longest_deadline_s = max(self._longest_deadline_s, deadline_s)

    def announced(self, seq: int, now: float) -> None:
        """Record that the announcement ``seq`` is sent now."""
        if self._issued and seq <= self._issued[-1][0]:
            return
        self._issued.append((seq, now))
        while self._issued[0][1] <= now - self.retention_s:
            self._issued.popleft()

    def _is_stale(self, seq: int, now: float) -> bool:
        """Whether a dispatch is based on an announcement that is too old.

        A dispatch that names none is accepted only until the first record has been
        dropped.
        """
        if seq == 0:
            return self._has_expired
        issued_at = self._issued_at(seq)
        return issued_at is None or now > issued_at + MAX_DISPATCH_AGE_S

    def _issued_at(self, seq: int) -> float | None:
        return next((at for issued, at in self._issued if issued == seq), None)

    def _record_retained(self, seq: int, now: float) -> bool:
        """Whether the record of a dispatch based on ``seq`` would still be retained."""
        if not self._has_expired:
            return True
        issued_at = self._issued_at(seq)
        return issued_at is not None and now < issued_at + self.retention_s

    def shut(self) -> None:
        """Refuse every attempt offered from now on."""
        self._shutting_down = True

    def offer(
        self, req: DispatchReq, now: float, *, leaving: bool
    ) -> Result[Key, Problem]:
        """Record the attempt as waiting, or return why it never starts here."""
        self.expire(now)
        self.allow_deadline(req.deadline_s)
        key = (req.request_id, req.attempt)
        refusal = self._refusal(req, now, leaving)
        if refusal is not None:
            self._reject_later_starts(key, req, now)
            return Err(refusal)
        self._attempts[key] = _Attempt(Phase.WAITING, req.workspace, req.repeatable)
        return Ok(key)

    def _refusal(self, req: DispatchReq, now: float, leaving: bool) -> Problem | None:
        if req.incarnation != self._incarnation:
            return problem(
                WRONG_INCARNATION, actual=self._incarnation, wanted=req.incarnation
            )
        known = self._attempts.get((req.request_id, req.attempt))
        if known is not None:
            return self._refusal_of_known(req, known)
        if self._shutting_down:
            return problem(SHUTTING_DOWN)
        if leaving:
            return problem(UPSTREAM_LEAVING, upstream=self._upstream)
        if req.deadline_s <= 0:
            return problem(DEADLINE_PASSED)
        if self._is_stale(req.record_seq, now):
            return problem(
                STALE_DISPATCH,
                not_run=True if self._record_retained(req.record_seq, now) else None,
                seq=req.record_seq,
                limit_s=MAX_DISPATCH_AGE_S,
            )
        return None

    def _refusal_of_known(self, req: DispatchReq, known: _Attempt) -> Problem:
        if known.phase in (Phase.TOMBSTONE, Phase.BARRED):
            return problem(
                TOMBSTONED,
                not_run=True if known.phase is Phase.TOMBSTONE else None,
                attempt=req.attempt,
                request_id=req.request_id,
            )
        return problem(
            DUPLICATE_ATTEMPT,
            not_run=False if known.phase is not Phase.WAITING else None,
            attempt=req.attempt,
            request_id=req.request_id,
        )

    def _reject_later_starts(self, key: Key, req: DispatchReq, now: float) -> None:
        """Keep a refused attempt, which is reported as not run, from running later."""
        if req.incarnation == self._incarnation and key not in self._attempts:
            record_retained = self._record_retained(req.record_seq, now)
            phase = Phase.TOMBSTONE if record_retained else Phase.BARRED
            self._attempts[key] = _Attempt(phase, req.workspace, req.repeatable)
            self._ended.append((now + self.retention_s, key))

    def start(self, key: Key) -> None:
        """Record that the attempt is sent to the upstream."""
        attempt = self._attempts.get(key)
        if attempt is None or attempt.phase is not Phase.WAITING:
            raise InvariantError(
                f"attempt {key} can't start: phase is "
                f"{attempt and attempt.phase}, must be waiting"
            )
        attempt.phase = Phase.RUNNING

    def withdraw(self, key: Key, now: float) -> None:
        """Record that a waiting attempt was refused and never starts."""
        self._end(key, Phase.WAITING, Phase.TOMBSTONE, now)

    def finish(self, key: Key, now: float) -> None:
        """Record that a running attempt has ended."""
        self._end(key, Phase.RUNNING, Phase.FINISHED, now)

    def _end(self, key: Key, required: Phase, phase: Phase, now: float) -> None:
        attempt = self._attempts.get(key)
        if attempt is None or attempt.phase is not required:
            raise InvariantError(
                f"attempt {key} can't end: phase is "
                f"{attempt and attempt.phase}, must be {required}"
            )
        attempt.phase = phase
        self._ended.append((now + self.retention_s, key))

    def cancel(self, req: CancelReq, now: float) -> Verdict:
        """Cancel an attempt; one without a record is kept from starting later."""
        self.expire(now)
        if req.incarnation != self._incarnation:
            return Verdict.WRONG_INCARNATION
        key = (req.request_id, req.attempt)
        attempt = self._attempts.get(key)
        if attempt is None:
            return self._cancel_unknown(key, req, now)
        if attempt.workspace != req.workspace:
            return Verdict.WRONG_WORKSPACE
        return self._cancel_known(key, attempt, now)

    def _cancel_unknown(self, key: Key, req: CancelReq, now: float) -> Verdict:
        """Refuse the attempt from now on; a record of an earlier run may be dropped."""
        record_retained = self._record_retained(req.record_seq, now)
        phase = Phase.TOMBSTONE if record_retained else Phase.BARRED
        self._attempts[key] = _Attempt(phase, req.workspace, False)
        self._ended.append((now + self.retention_s, key))
        return Verdict.NEVER_STARTS if record_retained else Verdict.UNKNOWN

    def _cancel_known(self, key: Key, attempt: _Attempt, now: float) -> Verdict:
        if attempt.phase is Phase.WAITING:
            self.withdraw(key, now)
            return Verdict.TAKEN_FROM_QUEUE
        if attempt.phase is Phase.RUNNING:
            return Verdict.STOP if attempt.repeatable else Verdict.RUNS_ON
        if attempt.phase is Phase.FINISHED:
            return Verdict.OVER
        if attempt.phase is Phase.BARRED:
            return Verdict.UNKNOWN
        return Verdict.NEVER_STARTS

    def expire(self, now: float) -> None:
        """Drop the records whose retention time is over."""
        while self._ended and self._ended[0][0] <= now:
            _, key = self._ended.popleft()
            del self._attempts[key]
            self._has_expired = True
