"""The next step after a send that did not return a complete answer."""

from __future__ import annotations

import pytest

from gooseberrydale.request.attempt_end import (
    MAX_SENDS,
    End,
    GiveUp,
    PassOn,
    SendAgain,
    SendHistory,
    Step,
    decide_next_step,
)
from gooseberrydale.request.retry import RetryBudget
from gooseberrydale.request.retry_window import RetryWindow

# end, repeatable, runs, sends -> type of the step, ``not_run`` of its problem
CASES: list[tuple[End, bool, int, int, type[Step], bool | None]] = [
    (End.NOT_SENT, False, 0, 1, SendAgain, None),
    (End.REFUSED, False, 0, 1, SendAgain, None),
    (End.LOST, False, 1, 1, GiveUp, None),
    (End.INVALID, False, 1, 1, GiveUp, None),
    (End.FAILED, False, 1, 1, PassOn, None),
    (End.LOST, True, 1, 1, SendAgain, None),
    (End.INVALID, True, 1, 1, SendAgain, None),
    (End.FAILED, True, 1, 1, SendAgain, None),
    (End.LOST, True, 2, 2, GiveUp, None),
    (End.FAILED, True, 2, 2, PassOn, None),
    (End.REFUSED, False, 0, MAX_SENDS, GiveUp, True),
    (End.REFUSED, True, 1, MAX_SENDS, GiveUp, None),
    (End.OUTDATED, True, 1, 1, SendAgain, None),
    (End.OUTDATED, True, 2, 2, GiveUp, None),
    (End.OUTDATED, False, 1, 1, GiveUp, None),
    (End.TIMED_OUT, False, 1, 1, GiveUp, None),
    (End.TIMED_OUT, True, 0, 1, GiveUp, True),
]


def step(end: End, repeatable: bool, runs: int, sends: int, **changed: object) -> Step:
    """Return the next step, by default with time, upstreams and budget left."""
    kwargs: dict[str, object] = {
        "repeatable": repeatable,
        "max_runs": 2,
        "left_s": 1.0,
        "others": True,
        "pool": "p",
        "budget": RetryBudget(),
        "now": 0.0,
    }
    return decide_next_step(
        SendHistory(sends, runs, end),
        **{**kwargs, **changed},  # type: ignore
    )


@pytest.mark.parametrize("case", CASES)
def test_next_step_for_each_end(
    case: tuple[End, bool, int, int, type[Step], bool | None],
) -> None:
    end, repeatable, runs, sends, step_type, not_run = case
    next_step = step(end, repeatable, runs, sends)
    assert type(next_step) is step_type
    if isinstance(next_step, GiveUp):
        why = next_step.problem
        assert why.not_run is not_run
        # Only a problem that promises that nothing ran has a time to retry after.
        promises = not_run is True and end is not End.TIMED_OUT
        assert (why.status == 503, why.retry_after_s is not None) == (
            promises,
            promises,
        )


SPENT = RetryBudget(ratio=0.0, floor_per_s=0.0, cap=0.0)
OBSTACLES: dict[str, dict[str, object]] = {
    "no other upstream": {"others": False},
    "no time left": {"left_s": 0.01},
    "no budget": {"budget": SPENT},
}


@pytest.mark.parametrize("case", OBSTACLES)
@pytest.mark.parametrize("end", [End.NOT_SENT, End.REFUSED, End.LOST, End.FAILED])
def test_a_request_is_sent_again_only_if_that_can_help(end: End, case: str) -> None:
    runs = 0 if end in (End.NOT_SENT, End.REFUSED) else 1
    next_step = step(end, True, runs, 1, **OBSTACLES[case])
    # After a failed connection, another send is no repeat and needs no budget.
    needs_no_budget = end is End.NOT_SENT and case == "no budget"
    assert isinstance(next_step, SendAgain) is needs_no_budget


def test_a_budget_gives_all_that_it_allows_and_no_more() -> None:
    budget = RetryWindow(ratio=0.0, slack=2.0, window_s=10.0)
    assert [budget.spend(0.0) for _ in range(3)] == [True, True, False]
