"""What decided under competition, in log lines, and the cause that it points to."""

from __future__ import annotations

from dataclasses import fields

import pytest

from gooseberrydale.log_events import RequestEnded
from gooseberrydale.request.capacity_decision import (
    GATEWAY_OVERLOADED,
    SLOWED,
    CapacityCause,
    CapacityDecision,
    lateness_cause,
    refusal_cause,
)

NEUTRAL = CapacityDecision()
OVER = CapacityDecision(rank=2, over_share=True)
OVER_WAITED = CapacityDecision(rank=2, over_share=True, queued_behind=3, behind_rank=2)
BEHIND_URGENT = CapacityDecision(rank=2, queued_behind=3, behind_rank=0)
BEHIND_EQUAL = CapacityDecision(rank=2, queued_behind=3, behind_rank=2)
SLOW = CapacityDecision(slowness=2.5)
QUEUED_FOR_SLOW = CapacityDecision(queued_behind=1, behind_rank=0, slowness=2.5)
BARELY_SLOW = CapacityDecision(slowness=SLOWED - 0.01)

REFUSED: dict[str, tuple[str, CapacityDecision, CapacityCause]] = {
    "declined by its gateway": (
        GATEWAY_OVERLOADED,
        OVER,
        CapacityCause.GATEWAY_OVERLOADED,
    ),
    "over its share": ("no_room", OVER, CapacityCause.OVER_SHARE),
    "behind urgent work": ("no_room", BEHIND_URGENT, CapacityCause.BEHIND_URGENT),
    "behind its own rank": ("no_room", BEHIND_EQUAL, CapacityCause.QUEUED),
    "slow upstream": ("no_room", SLOW, CapacityCause.UPSTREAM_SLOWED),
    "nothing known": ("no_room", NEUTRAL, CapacityCause.NO_CAPACITY),
}


@pytest.mark.parametrize("case", REFUSED)
def test_cause_of_a_refusal(case: str) -> None:
    outcome, decision, cause = REFUSED[case]
    assert refusal_cause(outcome, decision) is cause


LATE: dict[str, tuple[CapacityDecision, bool, CapacityCause | None]] = {
    "over its share but sent at once": (OVER, False, None),
    "held as it was over its share": (OVER_WAITED, True, CapacityCause.OVER_SHARE),
    "held behind urgent work": (BEHIND_URGENT, True, CapacityCause.BEHIND_URGENT),
    "hardly held behind urgent work": (BEHIND_URGENT, False, None),
    "held behind its own rank": (BEHIND_EQUAL, True, CapacityCause.QUEUED),
    "held behind its own rank for a slow upstream": (
        QUEUED_FOR_SLOW,
        True,
        CapacityCause.QUEUED,
    ),
    "held for something else at a slow upstream": (SLOW, True, None),
    "slow upstream": (SLOW, False, CapacityCause.UPSTREAM_SLOWED),
    "upstream about as usual": (BARELY_SLOW, False, None),
    "held for something else": (NEUTRAL, True, None),
}


@pytest.mark.parametrize("case", LATE)
def test_cause_of_lateness(case: str) -> None:
    decision, held, cause = LATE[case]
    assert lateness_cause(decision, held=held) is cause


def test_request_event_has_the_fields_and_defaults_of_a_decision() -> None:
    """Guards against a value that decided but is missing from the log."""
    logged = {item.name: item.default for item in fields(RequestEnded)}
    decided = {item.name: item.default for item in fields(CapacityDecision)}
    assert decided.items() <= logged.items()


def test_decision_is_read_back_from_a_line_and_neutral_without_its_fields() -> None:
    """Guards against lines of earlier versions that can't be analysed."""
    line = {"rank": 2, "queued_behind": 3, "behind_rank": 0, "outcome": "no_room"}
    assert CapacityDecision.from_fields(line) == BEHIND_URGENT
    assert CapacityDecision.from_fields({"rank": None}) == NEUTRAL
