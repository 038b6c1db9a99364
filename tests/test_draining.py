"""Which requests a draining gateway accepts, and when it refuses them."""

from __future__ import annotations

import pytest

from gooseberrydale.request.draining import (
    FIRST_EVENT_S,
    REFUSAL_WINDOW_S,
    RETRY_MARGIN_S,
    SLOW_TOKEN_INTERVAL_S,
    Drain,
    retry_after_drain_s,
)
from tests.builders_gateway import prompt

DRAIN = Drain(listed_until=2.1, abort_at=7.85)

CASES: dict[str, tuple[float, float, int | None, float | None]] = {
    # seconds since the signal, wait limit, new tokens, expected retry time
    "a long stream, early": (0.0, 15.0, 192, None),
    "a retry would reach this gateway again": (
        2.1 - REFUSAL_WINDOW_S - 0.01,
        15.0,
        192,
        None,
    ),
    "a long stream, late": (1.8, 15.0, 192, 0.3 + RETRY_MARGIN_S),
    "a long stream on a keep-alive connection": (2.5, 15.0, 192, RETRY_MARGIN_S),
    "a short stream, late": (1.8, 15.0, 52, None),
    "its caller stops waiting in time": (1.8, 5.0, 192, None),
    "a call, late": (2.0, 2.5, None, None),
    "a call that may take long": (2.0, 30.0, None, 0.1 + RETRY_MARGIN_S),
}


@pytest.mark.parametrize("case", CASES)
def test_which_requests_are_accepted_during_a_drain(case: str) -> None:
    now, wait_s, tokens, expected = CASES[case]
    request = None if tokens is None else prompt(new=tokens)
    actual = retry_after_drain_s(DRAIN, now, wait_s, request)
    assert actual == (None if expected is None else pytest.approx(expected))


def test_requests_accepted_late_can_end_before_the_abort() -> None:
    for tenths in range(17, 40):
        now = tenths / 10
        for tokens in range(10, 400, 10):
            if retry_after_drain_s(DRAIN, now, 15.0, prompt(new=tokens)) is None:
                duration_s = FIRST_EVENT_S + tokens * SLOW_TOKEN_INTERVAL_S
                assert (
                    now + duration_s <= DRAIN.abort_at or now < 2.1 - REFUSAL_WINDOW_S
                )
