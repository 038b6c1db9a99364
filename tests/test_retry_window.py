"""Retries within a sliding window, and what they save when upstreams die."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.process.gateway.retry_budgets import WINDOW_S
from gooseberrydale.request.retry_window import RetryWindow

RATIO, SLACK = 0.2, 6.0


def busy(per_s: float, until: float) -> RetryWindow:
    """A window after steady traffic without a retry."""
    window = RetryWindow(RATIO, SLACK, WINDOW_S)
    for number in range(int(per_s * until)):
        window.deposit(number / per_s)
    return window


def test_all_of_a_window_may_be_used_at_once() -> None:
    """Two of six engines die with a dozen streams of each gateway on them."""
    window = busy(12.0, 20.0)
    allowed = sum(window.spend(20.0) for _ in range(100))
    assert allowed == int(RATIO * 119 + SLACK)
    assert allowed >= 24


def test_what_matters_more_finds_a_part_left() -> None:
    window = busy(12.0, 20.0)
    moved = sum(window.spend(20.0, keep_part=0.5) for _ in range(100))
    resumed = sum(window.spend(20.0) for _ in range(100))
    assert moved == pytest.approx(resumed, abs=1)


def test_retries_come_back_as_the_window_slides() -> None:
    window = busy(12.0, 20.0)
    while window.spend(20.0):
        pass
    assert window.left < 1
    window.deposit(29.9)
    assert not window.spend(29.9)
    assert window.spend(30.1)


MOMENTS = st.lists(
    st.tuples(st.floats(0.0, 40.0), st.booleans()), min_size=1, max_size=300
)


@given(MOMENTS)
def test_no_span_of_a_window_holds_more_than_is_allowed(
    moments: list[tuple[float, bool]],
) -> None:
    window = RetryWindow(RATIO, 2.0, WINDOW_S)
    requests, retries = [], []
    for now, fresh in sorted(moments):
        if fresh:
            window.deposit(now)
            requests.append(now)
        elif window.spend(now):
            retries.append(now)
    for end in retries:
        spent = sum(end - WINDOW_S < at <= end for at in retries)
        fresh_ones = sum(end - WINDOW_S < at <= end for at in requests)
        assert spent <= RATIO * fresh_ones + 2.0


@pytest.mark.parametrize("gateways", [8, 26])
def test_streams_of_dead_engines_go_on_within_the_bound_of_all(gateways: int) -> None:
    """A fleet's gateways together keep to the ratio and the number beside."""
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
