"""Who waits for capacity, and when refused callers return."""

from __future__ import annotations

import random
from collections import Counter
from statistics import mean

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.request.capacity_ports import Hold, Refuse
from gooseberrydale.request.retry_plan.drain import FleetDrain
from gooseberrydale.request.retry_plan.planner import AFTER_FRACTIONS, RetryPlanner
from gooseberrydale.version.peer_loads import OTHER_ZONES
from tests.builders_retry_plan import (
    MIDDLE,
    OTHER,
    POOL,
    URGENT,
    FixedBacklog,
    Kind,
    Play,
    drain_of,
    query,
    served_share,
)

NOW = 10.0
CALM = {URGENT: 25.0, MIDDLE: 10.0, OTHER: 35.0}
BURST = {URGENT: 38.0, MIDDLE: 15.0, OTHER: 112.0}


def planner(
    ahead: dict[int, float] | None = None, rates: dict[int, int] | None = None
) -> RetryPlanner:
    drain = drain_of({0: 60, 2: 40} if rates is None else rates)
    return RetryPlanner(POOL, FixedBacklog(ahead or {}), drain, random.Random(2))


CASES = {
    "in time": ({0: 30.0}, {}, True),
    "late, but soon": ({0: 60.0}, {}, True),
    "late, and not soon": ({0: 120.0}, {}, False),
    "held before": ({0: 150.0}, {"waited_s": 0.3}, True),
    "held before, now hopeless": ({0: 400.0}, {"waited_s": 0.3}, False),
    "no further retry": ({0: 200.0}, {"prior_wait_s": 1.0}, True),
    "no further retry, hopeless": ({0: 400.0}, {"prior_wait_s": 1.0}, False),
    "back at once": ({0: 200.0}, {"prior_wait_s": 0.1}, False),
    "takes longer than its caller waits": ({}, {"own_s": 5.0}, False),
}


@pytest.mark.parametrize("case", CASES)
def test_what_is_held(case: str) -> None:
    """Guards against refusing what can be served, and holding what can't."""
    ahead, fields, is_held = CASES[case]
    decision = planner(ahead).decide(query(URGENT, **fields), NOW)
    assert isinstance(decision, Hold) is is_held


def test_without_a_known_drain_requests_are_held_only_for_a_time() -> None:
    """Guards against holding callers to their deadline when every engine is down."""
    plan = planner({0: 50.0}, rates={})
    assert isinstance(plan.decide(query(URGENT), NOW), Hold)
    assert isinstance(plan.decide(query(URGENT, waited_s=2.0), NOW), Refuse)


def test_retry_times_follow_the_drain_in_order_of_rank_and_age() -> None:
    """Guards against callers that return at the same time, or urgent ones last."""
    plan = planner({0: 45.0}, rates={0: 50})
    decisions = [plan.decide(query(URGENT), NOW) for _ in range(60)]
    times = [d.after_s for d in decisions if isinstance(d, Refuse)]
    assert times[:8] == sorted(times[:8])
    assert times[7] - times[0] == pytest.approx(7 / 50)
    bound_s = AFTER_FRACTIONS[1] * URGENT.deadline_s
    assert max(times) <= bound_s
    # Those for which no slot is left are spread over the whole time.
    rest = sorted(times[15:])
    assert max(b - a for a, b in zip(rest, rest[1:])) < 0.1


@given(
    st.lists(st.integers(0, 300), min_size=3, max_size=3),
    st.lists(st.integers(0, 100), min_size=3, max_size=3),
    st.floats(0.0, 5.0),
    st.floats(0.0, 5.0),
)
def test_a_more_urgent_rank_is_held_whenever_a_less_urgent_one_is(
    ahead: list[int], rates: list[int], waited_s: float, prior_s: float
) -> None:
    waiting = {rank: float(n) for rank, n in enumerate(ahead)}
    plan = planner(waiting, dict(enumerate(rates)))
    holds, times = [], []
    for rank in range(3):
        kind = Kind(rank, 0.5, 12.0)
        fields = {"waited_s": waited_s, "prior_wait_s": prior_s}
        decision = plan.decide(query(kind, **fields), NOW)
        holds.append(isinstance(decision, Hold))
        times.append(decision.after_s if isinstance(decision, Refuse) else 0.0)
    assert holds == sorted(holds, reverse=True)
    left_s = 12.0 - waited_s - prior_s
    assert max(times) <= max(0.05, left_s / 3.0)


def burst(**fields: object) -> Play:
    """Play 2.5 times the usual load for five seconds."""
    play = Play(**fields)  # type: ignore[arg-type]
    play.run(2.0, CALM)
    play.run(5.0, BURST)
    play.run(12.0, CALM)
    play.run(8.0, {})
    return play


@pytest.mark.parametrize("gateways", [3, 27])
def test_a_burst_is_refused_at_once_and_returns_spread(gateways: int) -> None:
    """Guards against late refusals, and against callers that return all at once.

    More are refused than can be served within the bound of retry times, 28 in a quarter
    of a second.  About as many come back, 31 to 33 at most.  It was 35 to 48 if their
    times were spread without regard to those promised before.
    """
    play = burst(gateways=gateways)
    first = [c.refused_after[0] for c in play.callers if c.refused_after]
    assert len(first) > 50
    assert sum(after == 0.0 for after in first) > 0.9 * len(first)
    returns = Counter(
        int(c.retried_at / 0.25) for c in play.callers if c.retried_at is not None
    )
    assert max(returns.values()) <= 1.2 * BURST[OTHER] * 0.25
    retried = [c for c in play.callers if c.retried_at is not None]
    assert served_share(retried) > 0.9


def test_a_less_urgent_rank_is_never_served_more_often() -> None:
    play = burst()
    by_rank = [[c for c in play.callers if c.kind.rank == rank] for rank in range(3)]
    shares = [served_share(callers) for callers in by_rank]
    in_time = [mean(c.is_in_time for c in callers) for callers in by_rank]
    assert shares == sorted(shares, reverse=True)
    assert in_time == sorted(in_time, reverse=True)
    assert shares[0] > 0.99


def test_retry_times_hold_after_the_gateway_that_gave_them_is_killed() -> None:
    """Guards against promises that only the gateway that made them knows."""
    play = burst(killed_at=5.0)
    promised = [c for c in play.callers if c.refused_after and c.first_at < 5.0 < c.at]
    assert len(promised) > 10
    assert served_share(promised) > 0.9


def test_callers_that_repeat_at_once_gain_nothing() -> None:
    play = burst(hasty_fraction=0.3)
    refused = [c for c in play.callers if c.refused_after]
    hasty = [c for c in refused if c.is_hasty]
    patient = [c for c in refused if not c.is_hasty]
    assert len(hasty) > 20
    assert served_share(hasty) <= served_share(patient)


def test_the_drain_is_summed_over_gateways_and_zones() -> None:
    """Guards against plans that know only the drain of one gateway."""
    near, relay, far = drain_of({0: 5}), FleetDrain(), FleetDrain()
    near.promised(POOL, 0, 11.0)
    relay.merge_own("near", near.own(NOW), NOW)
    relay.merge_area("z2", drain_of({0: 3}).zone(NOW), NOW)
    assert relay.of(POOL, 0, NOW).per_s == {0: 8}
    far.merge_area(OTHER_ZONES, relay.zone(NOW), NOW)
    far.merge_own("near2", relay.elsewhere(NOW), NOW)
    assert far.of(POOL, 0, NOW).per_s == {0: 8}
    assert sum(far.of(POOL, 1, NOW).promised) == 1
    # A gateway that stopped reporting is left out.
    assert not any(far.of(POOL, 1, NOW + 2.0).per_s.values())


def test_a_change_of_relay_counts_no_zone_twice() -> None:
    drain, data = FleetDrain(), drain_of({0: 3}).zone(NOW)
    drain.merge_area(OTHER_ZONES, data, NOW)
    drain.merge_area("z2", data, NOW)
    drain.merge_area("z3", data, NOW)
    assert drain.of(POOL, 0, NOW).per_s == {0: 6}
    drain.merge_area(OTHER_ZONES, data, NOW + 1.0)
    assert drain.of(POOL, 0, NOW + 1.0).per_s == {0: 3}


@pytest.mark.parametrize("data", [b"", b"\xff", b"\x91\x94\xa1p\x00\xff\x90", b"\x01"])
def test_counts_that_cannot_be_decoded_are_ignored(data: bytes) -> None:
    drain = FleetDrain()
    drain.merge_own("g1", data, NOW)
    drain.merge_area("z1", data, NOW)
    assert not drain.of(POOL, 0, NOW).per_s


def test_reports_are_sent_a_few_times_a_second_and_only_if_something_began() -> None:
    drain = FleetDrain()
    assert not drain.own(NOW)
    drain.began(POOL, 0, NOW)
    sent = [drain.own(NOW + n / 100) for n in range(300)]
    assert 4 <= sum(map(bool, sent)) <= 6
    assert all(len(data) < 40 for data in sent)
