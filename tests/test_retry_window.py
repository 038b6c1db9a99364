"""Retries within a sliding window, and the streams they save when upstreams fail."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.request.retry_ledger import (
    BUCKETS,
    Part,
    PoolCounts,
    RetryLedger,
)
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


def ledger(name: str, counts: tuple[PoolCounts, ...] = ()) -> RetryLedger:
    return RetryLedger(RATIO, WINDOW_S, name, lambda: SLACK, lambda now: counts)


def pool_counts(pool: str, retries: int) -> PoolCounts:
    quiet = (0,) * (BUCKETS - 1)
    return PoolCounts(pool, (100, *quiet), (retries, *quiet))


def test_report_of_many_pools_and_ended_processes_is_bounded() -> None:
    """A datagram that is too large is lost whole, and the work in it too."""
    many = tuple(pool_counts(f"some-pool-{number}", 20) for number in range(200))
    reporter = ledger("own", many)
    for number in range(500):
        one = ledger(f"incarnation-{number}", many[:1])
        one.close()
        reporter.merge_own(f"gateway/{number}", one.own(0.0), 0.0)
    assert 1_000 < len(reporter.own(1.0)) < 10_000
    assert len(reporter.zone(1.0)) < 10_000


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x90", b"\x93\xa1a\xc2\xc2"])
def test_unreadable_reports_are_ignored(data: bytes) -> None:
    """Gateways of another release may send other data."""
    receiver = ledger("own")
    receiver.merge_own("gateway/1", data, 0.0)
    receiver.merge_area("z2", data, 0.0)
    assert receiver.reporting(0.0) == 0


@pytest.mark.parametrize("closed", [True, False])
def test_a_successor_uses_only_what_its_predecessor_left(closed: bool) -> None:
    """All of the predecessor's part counts as spent if its last report is missing."""
    predecessor = ledger("1", (pool_counts("p", 22),))
    survivor, successor = ledger("s"), ledger("2")
    successor.start(0.3)
    survivor.merge_own("gateway/1", predecessor.own(0.0), 0.0)
    if closed:
        predecessor.close()
        survivor.merge_own("gateway/1", predecessor.own(0.1), 0.1)
    assert not successor.vouches(0.4)
    survivor.merge_own("gateway/1", successor.own(0.4), 0.4)
    successor.merge_own("gateway/s", survivor.own(0.4), 0.4)
    assert successor.vouches(0.4)
    level = successor.level("p", Part(0.0, SLACK, 0), gateways=2, now=0.4)
    # Of 2 * 6 + 20 retries, 22 are spent, or 26 at most.
    assert level * 2 * SLACK == pytest.approx(10.0 if closed else 6.0)


def test_a_report_from_before_a_successor_was_heard_does_not_vouch() -> None:
    """Its predecessor does not count as ended yet, so its retries are missing."""
    survivor, successor = ledger("s"), ledger("2")
    successor.start(0.3)
    successor.merge_own("gateway/s", survivor.own(0.4), 0.4)
    assert not successor.vouches(0.4)


def test_sums_of_a_zone_state_what_was_spent_in_it() -> None:
    overdrawn = ledger("1", (pool_counts("p", 29),))
    elsewhere = ledger("2")
    elsewhere.merge_area("z1", overdrawn.zone(0.0), 0.0)
    level = elsewhere.level("p", Part(0.0, SLACK, 0), gateways=2, now=0.0)
    assert level * SLACK == pytest.approx(3.0)
    forwarded = ledger("3")
    forwarded.merge_area("", elsewhere.elsewhere(0.0), 0.0)
    assert forwarded.level("p", Part(0.0, SLACK, 0), 2, 0.0) == pytest.approx(level)
