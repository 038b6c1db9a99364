"""Decides whether an attempt may start: the one place with exact knowledge.

Lives as long as the sidecar; each attempt's record lives from its dispatch or its
cancellation until ``KEEP_S`` after it ended.  Pure: time comes in as an argument.

An attempt is named by (request id, attempt, incarnation).  It starts at most once,
and one that was given up or refused never starts.  That a record may be dropped at
all rests on the age of a dispatch: a dispatch names the announcement of this
sidecar that its entry had seen, and one based on an announcement older than
``MAX_DISPATCH_AGE_S`` is refused.  So whatever may still be accepted was built
after that announcement, and ``KEEP_S`` is longer than the time for which it may
linger in a paused entry or on the way.
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
KEEP_S = 2 * MAX_DISPATCH_AGE_S

Key = tuple[str, int]


class Phase(Enum):
    """Where an attempt stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    TOMBSTONE = "tombstone"


class Verdict(Enum):
    """What a cancellation found, and so what is left to do."""

    NEVER_STARTS = "never_starts"
    TAKEN_FROM_QUEUE = "taken_from_queue"
    STOP = "stop"
    RUNS_ON = "runs_on"
    OVER = "over"
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
        self._announced: deque[tuple[int, float]] = deque()
        self._oldest_seq = 0

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

    def announced(self, seq: int, now: float) -> None:
        """Note that the announcement ``seq`` goes out now."""
        if self._announced and seq <= self._announced[-1][0]:
            return
        self._announced.append((seq, now))
        self._forget_announcements(now)

    def _forget_announcements(self, now: float) -> None:
        """An announcement is too old once its successor is, too.

        Until then an entry may still act on it as the newest that it has.
        """
        limit = now - MAX_DISPATCH_AGE_S
        while len(self._announced) > 1 and self._announced[1][1] <= limit:
            self._announced.popleft()
        if self._announced:
            self._oldest_seq = self._announced[0][0]

    def shut(self) -> None:
        """Refuse all that comes from now on."""
        self._shutting_down = True

    def offer(
        self, req: DispatchReq, now: float, *, leaving: bool
    ) -> Result[Key, Problem]:
        """Take the attempt as waiting, or say why it never starts here."""
        self.expire(now)
        self._forget_announcements(now)
        key = (req.request_id, req.attempt)
        refusal = self._refusal(req, leaving)
        if refusal is not None:
            self._bar(key, req, now)
            return Err(refusal)
        self._attempts[key] = _Attempt(Phase.WAITING, req.workspace, req.repeatable)
        return Ok(key)

    def _refusal(self, req: DispatchReq, leaving: bool) -> Problem | None:
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
        if 0 < req.record_seq < self._oldest_seq:
            return problem(STALE_DISPATCH, seq=req.record_seq, oldest=self._oldest_seq)
        return None

    def _refusal_of_known(self, req: DispatchReq, known: _Attempt) -> Problem:
        if known.phase is Phase.TOMBSTONE:
            return problem(TOMBSTONED, attempt=req.attempt, request_id=req.request_id)
        return problem(
            DUPLICATE_ATTEMPT,
            not_run=False if known.phase is not Phase.WAITING else None,
            attempt=req.attempt,
            request_id=req.request_id,
        )

    def _bar(self, key: Key, req: DispatchReq, now: float) -> None:
        """A refused attempt is said not to have run, so it must not run later."""
        if req.incarnation == self._incarnation and key not in self._attempts:
            self._attempts[key] = _Attempt(
                Phase.TOMBSTONE, req.workspace, req.repeatable
            )
            self._ended.append((now + KEEP_S, key))

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
        self._ended.append((now + KEEP_S, key))

    def cancel(self, req: CancelReq, now: float) -> Verdict:
        """Give an attempt up; an unknown one is barred from starting later."""
        self.expire(now)
        if req.incarnation != self._incarnation:
            return Verdict.WRONG_INCARNATION
        key = (req.request_id, req.attempt)
        found = self._attempts.get(key)
        if found is None:
            self._attempts[key] = _Attempt(Phase.TOMBSTONE, req.workspace, False)
            self._ended.append((now + KEEP_S, key))
            return Verdict.NEVER_STARTS
        if found.workspace != req.workspace:
            return Verdict.WRONG_WORKSPACE
        return self._cancel_known(key, found, now)

    def _cancel_known(self, key: Key, found: _Attempt, now: float) -> Verdict:
        if found.phase is Phase.WAITING:
            self.withdraw(key, now)
            return Verdict.TAKEN_FROM_QUEUE
        if found.phase is Phase.RUNNING:
            return Verdict.STOP if found.repeatable else Verdict.RUNS_ON
        if found.phase is Phase.FINISHED:
            return Verdict.OVER
        return Verdict.NEVER_STARTS

    def expire(self, now: float) -> None:
        """Drop records that ended long enough ago."""
        while self._ended and self._ended[0][0] <= now:
            _, key = self._ended.popleft()
            del self._attempts[key]
