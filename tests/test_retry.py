"""What follows a failed attempt: no request that may not be repeated runs twice."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gooseberrydale import errors
from gooseberrydale.errors import ErrorKind, Problem, problem
from gooseberrydale.request.retry import (
    MAX_ATTEMPTS,
    Attach,
    Cause,
    Confirm,
    Fail,
    Outcome,
    Resume,
    Retry,
    RetryBudget,
    Step,
    next_step,
)

FULL = problem(errors.QUEUE_FULL, retry_after_s=3.0)
BAD = problem(errors.INVALID_FIELD, reason="x")
RAN = problem(errors.UPSTREAM_FAILED, not_run=False)
DUPLICATE = problem(errors.DUPLICATE_ATTEMPT, not_run=None, attempt=1, request_id="r")
UNKNOWN_STREAM = problem(errors.UNKNOWN_STREAM, request_id="r", offset=0)
OTHER_INCARNATION = problem(errors.WRONG_INCARNATION, actual="i2", wanted="i1")


def step(
    outcome: Outcome,
    repeatable: bool = True,
    left_s: float = 10.0,
    budget: RetryBudget | None = None,
) -> Step:
    return next_step(
        outcome,
        repeatable=repeatable,
        budget=budget or RetryBudget(),
        left_s=left_s,
        now=0.0,
    )


def empty_budget() -> RetryBudget:
    return RetryBudget(ratio=0.0, floor_per_s=0.0, cap=0.0)


def summary(taken: Step) -> object:
    """Shorten a step to its type, or a failure to its code and ``not_run``."""
    if isinstance(taken, Fail):
        return taken.problem.code, taken.problem.not_run
    return type(taken)


REFUSED, LOST, SILENT = Cause.REFUSED, Cause.LOST, Cause.SILENT
UNKNOWN = (errors.OUTCOME_UNKNOWN.code, None)


@pytest.mark.parametrize(
    ("outcome", "if_repeatable", "if_not"),
    [
        # Known not to have run: sent to another upstream, repeatable or not.
        (Outcome(REFUSED, problem=FULL), Retry, Retry),
        (Outcome(REFUSED, problem=OTHER_INCARNATION), Retry, Retry),
        (Outcome(Cause.NOT_SENT), Retry, Retry),
        (Outcome(Cause.TOMBSTONED), Retry, Retry),
        # A refusal that every upstream would give.
        (
            Outcome(REFUSED, problem=BAD),
            ("invalid_field", True),
            ("invalid_field", True),
        ),
        # It may have been sent, and no reply was received.
        (Outcome(LOST), Retry, Attach),
        (Outcome(SILENT), Retry, Attach),
        (Outcome(REFUSED, problem=DUPLICATE), ("duplicate_attempt", None), Attach),
        (Outcome(LOST, attach_tried=True), Retry, Confirm),
        (Outcome(LOST, attach_tried=True, cancel_tried=True), Retry, UNKNOWN),
        # It was accepted: attach to its stream again first.
        (Outcome(LOST, accepted=True), Attach, Attach),
        (Outcome(SILENT, accepted=True), Attach, Attach),
        (Outcome(Cause.GAP, accepted=True, delivered=2), Attach, Attach),
        (Outcome(LOST, accepted=True, attach_tried=True), Retry, UNKNOWN),
        (Outcome(LOST, accepted=True, delivered=2, attach_tried=True), Resume, UNKNOWN),
        # The upstream failed while it processed the request.
        (
            Outcome(Cause.FAILED, accepted=True, problem=RAN),
            Retry,
            ("upstream_failed", False),
        ),
        (
            Outcome(Cause.FAILED, accepted=True, delivered=2, problem=RAN),
            Resume,
            ("upstream_failed", False),
        ),
        (
            Outcome(Cause.FAILED, accepted=True, problem=RAN.with_outcome(True)),
            Retry,
            UNKNOWN,
        ),
        (Outcome(REFUSED, problem=RAN), Retry, ("upstream_failed", False)),
        # A refused attach says nothing about the dispatch.
        (Outcome(REFUSED, accepted=True, problem=UNKNOWN_STREAM), Retry, UNKNOWN),
        (Outcome(REFUSED, problem=UNKNOWN_STREAM), Retry, Confirm),
        (
            Outcome(REFUSED, problem=OTHER_INCARNATION, attach_tried=True),
            Retry,
            Confirm,
        ),
    ],
)
def test_next_step_of_repeatable_and_other_requests(
    outcome: Outcome, if_repeatable: object, if_not: object
) -> None:
    assert summary(step(outcome, repeatable=True)) == if_repeatable
    assert summary(step(outcome, repeatable=False)) == if_not


DELIVERED = Outcome(LOST, accepted=True, delivered=2, attach_tried=True)


@pytest.mark.parametrize(
    ("outcome", "left_s", "budget", "expected"),
    [
        (Outcome(REFUSED, problem=FULL), 0.0, None, ("queue_full", True)),
        (Outcome(Cause.NOT_SENT), 0.0, None, ("upstream_unreachable", True)),
        (Outcome(LOST), 0.0, None, ("upstream_failed", None)),
        (DELIVERED, 0.0, None, Resume),
        (replace(DELIVERED, resumable=False), 9.0, None, ("upstream_failed", False)),
        (
            Outcome(REFUSED, MAX_ATTEMPTS, problem=FULL),
            9.0,
            None,
            ("queue_full", True),
        ),
        (
            Outcome(REFUSED, problem=FULL),
            9.0,
            empty_budget(),
            ("retry_budget_spent", True),
        ),
        (Outcome(LOST), 9.0, empty_budget(), ("retry_budget_spent", None)),
        (DELIVERED, 9.0, empty_budget(), ("retry_budget_spent", False)),
        # The last attempt was refused, but an earlier one may have run.
        (
            Outcome(REFUSED, 2, problem=FULL, earlier_may_have_run=True),
            0.0,
            None,
            ("queue_full", None),
        ),
        (
            Outcome(Cause.NOT_SENT, 2, earlier_may_have_run=True),
            9.0,
            empty_budget(),
            ("retry_budget_spent", None),
        ),
    ],
)
def test_limits_of_further_attempts(
    outcome: Outcome, left_s: float, budget: RetryBudget | None, expected: object
) -> None:
    assert summary(step(outcome, left_s=left_s, budget=budget)) == expected


def test_failure_keeps_the_retry_time() -> None:
    for budget, left_s in [(RetryBudget(), 0.0), (empty_budget(), 9.0)]:
        taken = step(Outcome(REFUSED, problem=FULL), left_s=left_s, budget=budget)
        assert isinstance(taken, Fail) and taken.problem.retry_after_s == 3.0


def test_steps_pass_on_whether_an_attempt_may_have_run() -> None:
    assert step(Outcome(LOST)) == Retry(may_have_run=True)
    assert step(Outcome(REFUSED, problem=FULL)) == Retry(may_have_run=False)
    later = Outcome(REFUSED, 2, problem=FULL, earlier_may_have_run=True)
    assert step(later) == Retry(may_have_run=True)


def test_budget_grows_with_fresh_requests_and_has_a_floor_and_a_cap() -> None:
    budget = RetryBudget(ratio=0.25, floor_per_s=0.5, cap=2.0)
    assert [budget.spend(0.0) for _ in range(3)] == [True, True, False]
    for _ in range(4):
        budget.deposit(0.0)
    assert [budget.spend(0.0) for _ in range(2)] == [True, False]
    assert [budget.spend(1.9), budget.spend(2.0), budget.spend(2.1)] == [0, 1, 0]
    assert [budget.spend(1_000.0) for _ in range(3)] == [True, True, False]


KINDS: list[ErrorKind] = [
    errors.QUEUE_FULL,
    errors.INVALID_FIELD,
    errors.UPSTREAM_FAILED,
    errors.UNKNOWN_STREAM,
    errors.WRONG_INCARNATION,
    errors.UPSTREAM_UNREACHABLE,
]
problems = st.builds(
    lambda kind, not_run: Problem(kind.code, kind.status, "", not_run),
    st.sampled_from(KINDS),
    st.sampled_from([True, False, None]),
)
outcomes = st.builds(
    Outcome,
    cause=st.sampled_from(Cause),
    attempt=st.integers(1, MAX_ATTEMPTS),
    accepted=st.booleans(),
    delivered=st.integers(0, 2),
    problem=st.none() | problems,
    attach_tried=st.booleans(),
    cancel_tried=st.booleans(),
    resumable=st.booleans(),
    earlier_may_have_run=st.booleans(),
)


@settings(derandomize=True, max_examples=2_000)
@given(outcomes, st.booleans(), st.sampled_from([0.0, 10.0]))
def test_guarantees_hold_for_every_outcome(
    outcome: Outcome, repeatable: bool, left_s: float
) -> None:
    taken = step(outcome, repeatable, left_s)
    ran = outcome.accepted or outcome.delivered > 0
    if not repeatable:
        assert not isinstance(taken, Resume)
        if ran or outcome.cause in (LOST, SILENT, Cause.GAP, Cause.FAILED):
            assert not isinstance(taken, Retry)
    if isinstance(taken, Retry):
        assert outcome.delivered == 0
    if isinstance(taken, Fail) and taken.problem.not_run is True:
        assert not ran and not outcome.earlier_may_have_run
        assert outcome.cause in (REFUSED, Cause.NOT_SENT, Cause.TOMBSTONED)
    if isinstance(taken, Attach):
        assert not outcome.attach_tried
    if isinstance(taken, Confirm):
        assert not outcome.cancel_tried
