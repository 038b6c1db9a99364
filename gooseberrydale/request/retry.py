"""Decides what an entry does after an attempt that brought no complete answer.

The decision depends on three facts: whether the attempt may have run, whether the
request may be repeated, and how much of the answer the caller has received. A request
that may not be repeated is sent again only if it is known not to have run. Attempts
after the first are paid from a budget that fresh requests fill, so a failing fleet
receives little more load than a healthy one. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from gooseberrydale import errors
from gooseberrydale.errors import Problem, problem

MIN_TIME_LEFT_S = 0.02
RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 6
# About the number of requests that one upstream runs and queues; all are lost at once
# when it fails.
MAX_RETRY_BURST = 32.0
RETRYABLE_STATUS = frozenset({429, 502, 503, 504})
OUTDATED_CODES = frozenset(
    kind.code
    for kind in (errors.WRONG_INCARNATION, errors.STALE_DISPATCH, errors.TOMBSTONED)
)
"""Refusals of an attempt because this process knew too little of the upstream or of
the attempt.  They say nothing about the request itself."""


class RetryBudget:
    """Token bucket: each fresh request adds ``ratio`` tokens, each retry takes one.

    ``floor_per_s`` tokens are added each second whatever the traffic, so that an entry
    with few requests may retry as well; ``cap`` limits a burst of retries.
    """

    def __init__(
        self, ratio: float = 0.2, floor_per_s: float = 0.5, cap: float = MAX_RETRY_BURST
    ) -> None:
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._cap = cap
        self._tokens = cap
        self._refilled_at: float | None = None

    @property
    def left(self) -> float:
        """Number of tokens in the bucket."""
        return self._tokens

    def deposit(self, now: float) -> None:
        """Count one fresh request."""
        self._refill(now)
        self._tokens = min(self._cap, self._tokens + self._ratio)

    def spend(self, now: float) -> bool:
        """Take one token; return False if no retry may be made now."""
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
    """Why an attempt ended without a complete answer."""

    REFUSED = "refused"
    """The sidecar answered the dispatch with Refused."""
    NOT_SENT = "not_sent"
    """There was no connection, so the attempt never left this process."""
    LOST = "lost"
    """The connection failed after the dispatch may have left."""
    SILENT = "silent"
    """The connection is open, but neither frames nor heartbeats are received."""
    GAP = "gap"
    """Frames are missing; the entry must attach to the stream again."""
    FAILED = "failed"
    """The upstream failed before the end of the answer, as its sidecar reported."""
    TOMBSTONED = "tombstoned"
    """The sidecar confirmed that this attempt did not start and never will."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one attempt.

    ``accepted`` says that the sidecar accepted it; ``delivered`` counts the events that
    the caller has received. ``attach_tried`` and ``cancel_tried`` say that attaching to
    this attempt, or confirming that it never ran, has failed since its last frame;
    ``cause`` stays the original one. ``resumable`` is False if the answer can't be
    continued from its text (several choices, tool calls, not streamed).
    ``earlier_may_have_run`` is the ``may_have_run`` of the step that led to this
    attempt.
    """

    cause: Cause
    attempt: int = 1
    accepted: bool = False
    delivered: int = 0
    problem: Problem | None = None
    attach_tried: bool = False
    cancel_tried: bool = False
    resumable: bool = True
    earlier_may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Attach:
    """Attach to the same attempt again, from the next offset on."""


@dataclass(frozen=True, slots=True)
class Confirm:
    """Ask the sidecar whether the attempt ran, and keep it from starting.

    The next outcome has the cause TOMBSTONED, or ``cancel_tried`` set if that failed.
    """


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt from the start, on another upstream.

    Pass ``may_have_run`` on as ``earlier_may_have_run`` of that attempt's outcome.
    """

    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Resume:
    """Make another attempt that continues the answer, on another upstream."""

    may_have_run: bool = True


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
    """Decide what follows ``outcome``; an attempt takes a token from ``budget``.

    ``left_s`` is the time in seconds to the deadline of the first token; it no longer
    counts once the caller has received part of the answer.
    """
    outcome = _without_attach_refusal(outcome)
    attempt_ran = _may_have_run(outcome)
    if attempt_ran and _should_attach(outcome, repeatable):
        return Attach()
    if attempt_ran and not repeatable:
        return _resolve_uncertain(outcome)
    why = _reason(outcome, attempt_ran)
    give_up_reason = _reason_to_give_up(outcome, why, budget, left_s, now)
    if give_up_reason is not None:
        return Fail(_with_outcome(give_up_reason, outcome, attempt_ran))
    may_have_run = attempt_ran or outcome.earlier_may_have_run
    return Resume() if outcome.delivered else Retry(may_have_run)


def _without_attach_refusal(outcome: Outcome) -> Outcome:
    """Treat a refused attach as a lost connection: it does not refuse the dispatch."""
    refusal = outcome.problem
    if outcome.cause is not Cause.REFUSED or refusal is None:
        return outcome
    if outcome.attach_tried or refusal.code == errors.UNKNOWN_STREAM.code:
        return replace(outcome, cause=Cause.LOST, problem=None, attach_tried=True)
    return outcome


def _may_have_run(outcome: Outcome) -> bool:
    """Whether this attempt may have run, as far as is known."""
    if outcome.accepted or outcome.delivered:
        return True
    if outcome.cause in (Cause.NOT_SENT, Cause.TOMBSTONED):
        return False
    if outcome.cause is not Cause.REFUSED or outcome.problem is None:
        return True
    return outcome.problem.not_run is not True


def _should_attach(outcome: Outcome, repeatable: bool) -> bool:
    if outcome.attach_tried or outcome.cause is Cause.FAILED:
        return False
    if outcome.problem is not None and outcome.problem.not_run is False:
        return False
    # A repeatable request is sent to another upstream instead: it starts there sooner
    # than this attempt can be attached to.
    return outcome.accepted or not repeatable


def _resolve_uncertain(outcome: Outcome) -> Step:
    """Decide for an attempt that may have run and must not run twice."""
    if outcome.problem is not None and outcome.problem.not_run is False:
        return Fail(outcome.problem)
    if not outcome.accepted and not outcome.cancel_tried:
        return Confirm()
    return Fail(problem(errors.OUTCOME_UNKNOWN, not_run=None))


def _reason_to_give_up(
    outcome: Outcome, why: Problem, budget: RetryBudget, left_s: float, now: float
) -> Problem | None:
    """Return the reason to give up, None if another attempt may be made."""
    if outcome.cause is Cause.REFUSED and not _may_succeed_elsewhere(why):
        return why
    if outcome.delivered and not outcome.resumable:
        return why
    if not outcome.delivered and left_s < MIN_TIME_LEFT_S:
        return why
    if outcome.attempt >= MAX_ATTEMPTS:
        return why
    if not budget.spend(now):
        after_s = why.retry_after_s or RETRY_AFTER_S
        return problem(errors.RETRY_BUDGET_SPENT, retry_after_s=after_s)
    return None


def _may_succeed_elsewhere(refusal: Problem) -> bool:
    return refusal.status in RETRYABLE_STATUS or refusal.code in OUTDATED_CODES


def _reason(outcome: Outcome, attempt_ran: bool) -> Problem:
    """Return what the caller is told if no further attempt is made."""
    refusal = outcome.problem
    if refusal is not None and refusal.code not in OUTDATED_CODES:
        return refusal
    kind = errors.UPSTREAM_UNREACHABLE
    if attempt_ran and refusal is None:
        kind = errors.UPSTREAM_FAILED
    why = problem(kind, retry_after_s=RETRY_AFTER_S)
    return why if refusal is None else why.with_outcome(refusal.not_run)


def _with_outcome(why: Problem, outcome: Outcome, attempt_ran: bool) -> Problem:
    """Set ``not_run`` to True only if no attempt of the request may have run."""
    if outcome.accepted or outcome.delivered:
        return why.with_outcome(False)
    if attempt_ran or outcome.earlier_may_have_run:
        return why.with_outcome(None if why.not_run is not False else False)
    return why
