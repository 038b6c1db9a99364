"""What a gateway that drains still takes, and when it sends callers elsewhere."""

from __future__ import annotations

import pytest

from gooseberrydale.request.draining import (
    FIRST_EVENT_S,
    LAST_LISTED_S,
    SETTLE_S,
    SLOW_TOKEN_S,
    Drain,
    come_back_s,
)
from tests.builders_gateway import prompt

DRAIN = Drain(listed_until=2.1, cut_at=7.85)

CASES: dict[str, tuple[float, float, int | None, float | None]] = {
    # seconds since the signal, time of the request, tokens back, when to come back
    "a long stream at once": (0.0, 15.0, 192, None),
    "it would only come back here": (2.1 - LAST_LISTED_S - 0.01, 15.0, 192, None),
    "a long stream, late": (1.8, 15.0, 192, 0.3 + SETTLE_S),
    "a long stream on a kept connection": (2.5, 15.0, 192, SETTLE_S),
    "a short stream, late": (1.8, 15.0, 52, None),
    "its caller leaves in time": (1.8, 5.0, 192, None),
    "a call, late": (2.0, 2.5, None, None),
    "a call that may last": (2.0, 30.0, None, 0.1 + SETTLE_S),
}


@pytest.mark.parametrize("case", CASES)
def test_what_is_taken_during_a_drain(case: str) -> None:
    now, wait_s, tokens, expected = CASES[case]
    asked = None if tokens is None else prompt(new=tokens)
    found = come_back_s(DRAIN, now, wait_s, asked)
    assert found == (None if expected is None else pytest.approx(expected))


def test_whatever_is_taken_late_can_end_before_the_cut() -> None:
    for tenths in range(17, 40):
        now = tenths / 10
        for tokens in range(10, 400, 10):
            if come_back_s(DRAIN, now, 15.0, prompt(new=tokens)) is None:
                lasts = FIRST_EVENT_S + tokens * SLOW_TOKEN_S
                assert now + lasts <= DRAIN.cut_at or now < 2.1 - LAST_LISTED_S
