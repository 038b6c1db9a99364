"""Retries within a sliding window, and the streams they save when upstreams fail."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.request.retry_window import RetryWindow

RATIO, SLACK = 0.2, 6.0
WINDOW_S = GatewayCfg().retry_window_s


def window_after_traffic(per_s: float, until: float) -> RetryWindow:
    """Return a window after steady traffic without a retry."""
    window = RetryWindow(RATIO, SLACK, WINDOW_S)
    for number in range(int(per_s * until)):
        window.deposit(number / per_s)
    return window


def test_all_retries_of_a_window_may_be_used_at_once() -> None:
    """Two of six engines fail with a dozen streams of each gateway on them."""
    window = window_after_traffic(12.0, 20.0)
    allowed = sum(window.spend(20.0) for _ in range(100))
    assert allowed == int(RATIO * 119 + SLACK)
    assert allowed >= 24


def test_more_important_retries_have_a_reserved_fraction() -> None:
    window = window_after_traffic(12.0, 20.0)
    moved = sum(window.spend(20.0, reserved_fraction=0.5) for _ in range(100))
    resumed = sum(window.spend(20.0) for _ in range(100))
    assert moved == pytest.approx(resumed, abs=1)


def test_retries_are_available_again_as_the_window_slides() -> None:
    window = window_after_traffic(12.0, 20.0)
    while window.spend(20.0):
        pass
    assert window.left < 1
    window.deposit(29.9)
    assert not window.spend(29.9)
    assert window.spend(30.1)


EVENTS = st.lists(
    st.tuples(st.floats(0.0, 40.0), st.booleans()), min_size=1, max_size=300
)


@given(EVENTS)
def test_no_window_has_more_retries_than_allowed(
    events: list[tuple[float, bool]],
) -> None:
    window = RetryWindow(RATIO, 2.0, WINDOW_S)
    requests, retries = [], []
    for now, fresh in sorted(events):
        if fresh:
            window.deposit(now)
            requests.append(now)
        elif window.spend(now):
            retries.append(now)
    for end in retries:
        spent = sum(end - WINDOW_S < at <= end for at in retries)
        fresh_requests = sum(end - WINDOW_S < at <= end for at in requests)
        assert spent <= RATIO * fresh_requests + 2.0


@pytest.mark.parametrize("gateways", [8, 26])
def test_gateways_resume_streams_of_failed_engines_within_the_total_limit(
    gateways: int,
) -> None:
    """All gateways together keep to the ratio and the slack of the fleet."""
    rng = random.Random(3)
    slack = 64.0
    windows = [RetryWindow(RATIO, slack / gateways, WINDOW_S) for _ in range(gateways)]
    requests = 0
    for tick in range(1_000):
        rng.choice(windows).deposit(tick / 100)
        requests += 1
    streams = 100
    resumed = sum(rng.choice(windows).spend(10.0) for _ in range(streams))
    assert resumed >= 0.9 * streams
    assert resumed <= RATIO * requests + slack
