"""What an entry does after an attempt did not bring a whole answer.

The decision rests on three facts: whether the attempt can have run, whether the
request may be repeated, and how much of the answer the caller already has.  A
request that may not be repeated is sent again only if it is known not to have run.
Attempts beyond the first are paid from a budget that fresh requests fill, so a
fleet in trouble gets little more load than a healthy one.  Pure.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from gooseberrydale import errors
from gooseberrydale.errors import Problem, problem

MIN_USEFUL_S = 0.02
RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 6
RETRYABLE_STATUS = frozenset({429, 502, 503, 504})
RETRYABLE_CODES = frozenset({errors.WRONG_INCARNATION.code})


class RetryBudget:
    """Token bucket: each fresh request adds ``ratio``, each retry takes one.

    ``floor_per_s`` tokens come in each second whatever the traffic, so that a
    quiet entry may retry as well; ``cap`` bounds a burst of retries.
    """

    def __init__(
        self, ratio: float = 0.2, floor_per_s: float = 0.5, cap: float = 10.0
    ) -> None:
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._cap = cap
        self._tokens = cap
        self._refilled_at: float | None = None

    def deposit(self, now: float) -> None:
        """Count one fresh request."""
        self._refill(now)
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def spend(self, now: float) -> bool:
        """Take one token; False means that no retry may be made now."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = max(0.0, now - self._refilled_at) * self._floor_per_s
            self._tokens = min(self._cap, self._tokens + gained)
        self._refilled_at = now


class Cause(StrEnum):
    """How an attempt came to its end."""

    REFUSED = "refused"
    """The sidecar answered Refused; its problem says whether the work ran."""
    NOT_SENT = "not_sent"
    """No connection: the attempt never left this process."""
    LOST = "lost"
    """The connection failed after the dispatch may have left."""
    SILENT = "silent"
    """The connection stands, but neither frames nor heartbeats come."""
    GAP = "gap"
    """Frames are missing: the stream must be attached again."""
    FAILED = "failed"
    """The sidecar reported that the upstream failed before the answer was whole."""
    TOMBSTONED = "tombstoned"
    """The sidecar confirmed that this attempt did not start and never will."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one attempt.

    ``accepted`` says that the sidecar took it, ``delivered`` counts the events that
    the caller has.  ``attach_tried`` and ``cancel_tried`` say that attaching to this
    attempt, or confirming that it never ran, was tried since its last frame.
    ``resumable`` is False if the answer can't be continued from its text (several
    choices, tool calls, a body that is no stream).
    """

    cause: Cause
    attempt: int = 1
    accepted: bool = False
    delivered: int = 0
    problem: Problem | None = None
    attach_tried: bool = False
    cancel_tried: bool = False
    resumable: bool = True


@dataclass(frozen=True, slots=True)
class Attach:
    """Attach again to the same attempt, from the next offset on."""


@dataclass(frozen=True, slots=True)
class Confirm:
    """Send a CancelReq; come back with TOMBSTONED, or with ``cancel_tried`` set."""


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt from the start, on another upstream."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Make another attempt that continues the answer, on another upstream."""


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the caller with ``problem``."""

    problem: Problem


Step = Attach | Confirm | Retry | Resume | Fail


def next_step(
    outcome: Outcome,
    *,
    repeatable: bool,
    budget: RetryBudget,
    left_s: float,
    now: float,
) -> Step:
    """Decide what follows ``outcome``; takes a token from ``budget`` if it retries.

    ``left_s`` is the time left to the first token's deadline in seconds; it no
    longer counts once the caller has a part of the answer.
    """
    if outcome.cause is Cause.REFUSED:
        return _after_refusal(outcome, repeatable, budget, left_s, now)
    if outcome.cause in (Cause.NOT_SENT, Cause.TOMBSTONED):
        return _again(outcome, _unreachable(), budget, left_s, now)
    if _worth_attaching(outcome):
        return Attach()
    if not repeatable:
        return _after_doubt(outcome)
    return _again(outcome, _broken(outcome), budget, left_s, now)


def _after_refusal(
    outcome: Outcome,
    repeatable: bool,
    budget: RetryBudget,
    left_s: float,
    now: float,
) -> Step:
    refusal = outcome.problem or _unreachable()
    helps = refusal.status in RETRYABLE_STATUS or refusal.code in RETRYABLE_CODES
    if refusal.not_run is not True and not repeatable:
        return Fail(refusal if refusal.not_run is False else _unknown())
    if not helps:
        return Fail(refusal)
    return _again(outcome, refusal, budget, left_s, now)


def _worth_attaching(outcome: Outcome) -> bool:
    if outcome.attach_tried or outcome.cause is Cause.FAILED:
        return False
    return outcome.accepted


def _after_doubt(outcome: Outcome) -> Step:
    """The attempt may have run and must not run twice."""
    if outcome.cause is Cause.FAILED:
        return Fail(outcome.problem or _unknown())
    if not outcome.accepted and not outcome.cancel_tried:
        return Confirm()
    return Fail(_unknown())


def _again(
    outcome: Outcome, why: Problem, budget: RetryBudget, left_s: float, now: float
) -> Step:
    """Another attempt, as far as text, deadline and budget allow."""
    started = outcome.delivered > 0
    if started and not outcome.resumable:
        return Fail(why)
    if not started and left_s < MIN_USEFUL_S:
        return Fail(why)
    if outcome.attempt >= MAX_ATTEMPTS:
        return Fail(why)
    if not budget.spend(now):
        return Fail(_budget_spent(why))
    return Resume() if started else Retry()


def _broken(outcome: Outcome) -> Problem:
    if outcome.problem is not None:
        return outcome.problem
    not_run = False if outcome.accepted else None
    return problem(errors.UPSTREAM_FAILED, not_run=not_run, retry_after_s=RETRY_AFTER_S)


def _budget_spent(why: Problem) -> Problem:
    return problem(
        errors.RETRY_BUDGET_SPENT,
        not_run=why.not_run,
        retry_after_s=why.retry_after_s or RETRY_AFTER_S,
    )


def _unreachable() -> Problem:
    return problem(errors.UPSTREAM_UNREACHABLE, retry_after_s=RETRY_AFTER_S)


def _unknown() -> Problem:
    return problem(errors.OUTCOME_UNKNOWN, not_run=None)
