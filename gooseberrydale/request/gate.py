"""Decides whether an attempt may start: the one place with exact knowledge.

Lives as long as the sidecar; each attempt's record lives from its dispatch or its
cancellation until ``keep_s`` after it ended.  Pure: time comes in as an argument.

An attempt is named by (request id, attempt, incarnation).  It starts at most once,
and one that was given up or refused never starts.  That a record may be dropped at
all rests on two bounds.  An entry builds the dispatch of an attempt before its
request's deadline has passed, by its own clock, which also runs while it is paused.
And a dispatch names the announcement of this sidecar that it is based on; however
long it lingers in a paused entry or on the way, it is refused once that announcement
is older than ``MAX_DISPATCH_AGE_S`` by this sidecar's clock.  So a tombstone has to
outlive a deadline plus that age, and a margin for announcements that were old when
the dispatch was built.  A cancellation names that announcement too: only while the
record of such a dispatch would still be here does an unknown attempt count as one
that never ran.
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
MARGIN_S = 60.0
DEFAULT_DEADLINE_S = 30.0

Key = tuple[str, int]


class Phase(Enum):
    """Where an attempt stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    # Refused from now on, and never ran.
    TOMBSTONE = "tombstone"
    # Refused from now on; whether it ran before is forgotten.
    BARRED = "barred"


class Verdict(Enum):
    """What a cancellation found, and so what is left to do."""

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
        self._forgot = False

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def unfinished(self) -> int:
        """Count of attempts that wait or run."""
        open_phases = (Phase.WAITING, Phase.RUNNING)
        return sum(a.phase in open_phases for a in self._attempts.values())

    def phase(self, key: Key) -> Phase | None:
        """Where the attempt stands; None if it is not known."""
        found = self._attempts.get(key)
        return None if found is None else found.phase

    @property
    def keep_s(self) -> float:
        """How long records are kept after their attempts ended, in seconds."""
        return self._longest_deadline_s + MAX_DISPATCH_AGE_S + MARGIN_S

    def allow_deadline(self, deadline_s: float) -> None:
        """Note the deadline of a profile; it only ever makes records live longer."""
        self._longest_deadline_s = max(self._longest_deadline_s, deadline_s)

    def announced(self, seq: int, now: float) -> None:
        """Note that the announcement ``seq`` goes out now."""
        if self._issued and seq <= self._issued[-1][0]:
            return
        self._issued.append((seq, now))
        while self._issued[0][1] <= now - self.keep_s:
            self._issued.popleft()

    def _is_stale(self, seq: int, now: float) -> bool:
        """Not to state an announcement is harmless only while no record is gone."""
        if seq == 0:
            return self._forgot
        issued_at = self._issued_at(seq)
        return issued_at is None or now > issued_at + MAX_DISPATCH_AGE_S

    def _issued_at(self, seq: int) -> float | None:
        return next((at for issued, at in self._issued if issued == seq), None)

    def _would_know(self, seq: int, now: float) -> bool:
        """Whether the record of a dispatch based on ``seq`` would still be here."""
        if not self._forgot:
            return True
        issued_at = self._issued_at(seq)
        return issued_at is not None and now < issued_at + self.keep_s

    def shut(self) -> None:
        """Refuse all that comes from now on."""
        self._shutting_down = True

    def offer(
        self, req: DispatchReq, now: float, *, leaving: bool
    ) -> Result[Key, Problem]:
        """Take the attempt as waiting, or say why it never starts here."""
        self.expire(now)
        self.allow_deadline(req.deadline_s)
        key = (req.request_id, req.attempt)
        refusal = self._refusal(req, now, leaving)
        if refusal is not None:
            self._bar(key, req, now)
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
                not_run=True if self._would_know(req.record_seq, now) else None,
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

    def _bar(self, key: Key, req: DispatchReq, now: float) -> None:
        """A refused attempt is said not to have run, so it must not run later."""
        if req.incarnation == self._incarnation and key not in self._attempts:
            sure = self._would_know(req.record_seq, now)
            phase = Phase.TOMBSTONE if sure else Phase.BARRED
            self._attempts[key] = _Attempt(phase, req.workspace, req.repeatable)
            self._ended.append((now + self.keep_s, key))

    def start(self, key: Key) -> None:
        """Note that the attempt goes to the upstream."""
        found = self._attempts.get(key)
        if found is None or found.phase is not Phase.WAITING:
            raise InvariantError(
                f"attempt {key} would start from {found and found.phase}, not waiting"
            )
        found.phase = Phase.RUNNING

    def withdraw(self, key: Key, now: float) -> None:
        """Note that a waiting attempt was refused and never starts."""
        self._end(key, Phase.WAITING, Phase.TOMBSTONE, now)

    def finish(self, key: Key, now: float) -> None:
        """Note that a running attempt is over."""
        self._end(key, Phase.RUNNING, Phase.FINISHED, now)

    def _end(self, key: Key, wanted: Phase, phase: Phase, now: float) -> None:
        found = self._attempts.get(key)
        if found is None or found.phase is not wanted:
            raise InvariantError(
                f"attempt {key} would end from {found and found.phase}, not {wanted}"
            )
        found.phase = phase
        self._ended.append((now + self.keep_s, key))

    def cancel(self, req: CancelReq, now: float) -> Verdict:
        """Give an attempt up; an unknown one is barred from starting later."""
        self.expire(now)
        if req.incarnation != self._incarnation:
            return Verdict.WRONG_INCARNATION
        key = (req.request_id, req.attempt)
        found = self._attempts.get(key)
        if found is None:
            return self._cancel_unknown(key, req, now)
        if found.workspace != req.workspace:
            return Verdict.WRONG_WORKSPACE
        return self._cancel_known(key, found, now)

    def _cancel_unknown(self, key: Key, req: CancelReq, now: float) -> Verdict:
        """It can't start any more; whether it ran long ago may be forgotten."""
        sure = self._would_know(req.record_seq, now)
        phase = Phase.TOMBSTONE if sure else Phase.BARRED
        self._attempts[key] = _Attempt(phase, req.workspace, False)
        self._ended.append((now + self.keep_s, key))
        return Verdict.NEVER_STARTS if sure else Verdict.UNKNOWN

    def _cancel_known(self, key: Key, found: _Attempt, now: float) -> Verdict:
        if found.phase is Phase.WAITING:
            self.withdraw(key, now)
            return Verdict.TAKEN_FROM_QUEUE
        if found.phase is Phase.RUNNING:
            return Verdict.STOP if found.repeatable else Verdict.RUNS_ON
        if found.phase is Phase.FINISHED:
            return Verdict.OVER
        if found.phase is Phase.BARRED:
            return Verdict.UNKNOWN
        return Verdict.NEVER_STARTS

    def expire(self, now: float) -> None:
        """Drop records that ended long enough ago."""
        while self._ended and self._ended[0][0] <= now:
            _, key = self._ended.popleft()
            del self._attempts[key]
            self._forgot = True
