"""The check that a bid whose answer denies a run has not run."""

from __future__ import annotations

import pytest

from features.steps.bid_steps import denied_and_ran
from tests.callers import Ending

DENIED = Ending("refused", code="claim_unavailable", not_run=True, request_ids=("r1",))
WHOLE = Ending("whole", request_ids=("r2",))
DENIED_AGAIN = Ending("refused", code="no_upstream", not_run=True, request_ids=("r2",))


@pytest.mark.parametrize(
    ("endings", "ran_id", "found"),
    [
        ([DENIED], "r1", [DENIED]),
        # A body is enough: this bid was sent by nobody else.
        ([DENIED], "r9", [DENIED]),
        ([DENIED, WHOLE], "r2", []),
        ([DENIED, WHOLE], "r1", [DENIED]),
        ([DENIED, DENIED_AGAIN], "r2", [DENIED, DENIED_AGAIN]),
        ([WHOLE], "r2", []),
    ],
)
def test_a_run_counts_against_the_answer_that_denies_it(
    endings: list[Ending], ran_id: str, found: list[Ending]
) -> None:
    """Guards against a check that blames a refused send for the run of the next one."""
    runs = [{"request_id": ran_id, "body_digest": "body"}]
    assert denied_and_ran(endings, "body", runs) == found
    assert denied_and_ran(endings, "body", []) == []
