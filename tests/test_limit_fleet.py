"""Limits of an upstream's rate over whole fleets, on a model without a network."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from tests.builders_limit_fleet import EXCUSED_S, LimitFleet
from tests.builders_limits import allowed, most_in_window

SIZES = (1, 8, 29, 350)
RATES = (0.0, 0.3, 1.1, 1.6, 7.0, 60.0)

Callers = Callable[[int, float], float]


def evenly(per_s: float, size: int) -> Callers:
    return lambda number, now: per_s / size


def in_bursts(per_s: float, size: int) -> Callers:
    """Nobody for five seconds, then all callers of six seconds within one."""
    return lambda number, now: 6.0 * per_s / size if now % 6.0 > 5.0 else 0.0


def at_few(per_s: float, size: int) -> Callers:
    """All callers at a tenth of the gateways, at others every seven seconds."""
    part = max(1, size // 10)

    def callers(number: int, now: float) -> float:
        turn = int(now / 7.0) * part
        return per_s / part if (number - turn) % size < part else 0.0

    return callers


LOADS = {"evenly": evenly, "in bursts": in_bursts, "at few": at_few}


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("per_s", RATES)
@pytest.mark.parametrize("size", SIZES)
def test_no_window_holds_more_than_the_limit_allows(
    size: int, per_s: float, load: str
) -> None:
    """Whatever the size, also with lost reports and callers that move around."""
    demand = max(20.0, 4.0 * per_s)
    fleet = LimitFleet(size, 1, LOADS[load](demand, size), loss=0.05)
    fleet.run(1.0)
    fleet.per_s = per_s
    fleet.run(20.0)
    assert most_in_window(fleet.counted, 1.0 + EXCUSED_S) <= allowed(per_s)


@pytest.mark.parametrize("seed", range(6))
def test_no_window_holds_more_while_gateways_start_again(seed: int) -> None:
    """One by one, several at once, and all; they count again after three seconds."""
    rng = random.Random(seed)
    size, per_s = rng.choice((8, 29, 70)), rng.choice((1.1, 1.6, 7.0))
    fleet = LimitFleet(size, seed, evenly(60.0, size), loss=0.05)
    fleet.per_s = per_s
    fleet.run(4.0)
    for _ in range(6):
        count = rng.choice((1, 2, size // 3, size))
        fleet.restart(*rng.sample(range(size), count))
        fleet.run(rng.uniform(0.5, 6.0))
    assert most_in_window(fleet.counted, EXCUSED_S) <= allowed(per_s)


@pytest.mark.parametrize("seed", range(6))
def test_no_window_holds_more_while_gateways_are_replaced(seed: int) -> None:
    """The others learn of it at different times, so that they share unlike parts."""
    rng = random.Random(seed)
    size, per_s = rng.choice((8, 29, 70)), rng.choice((1.1, 1.6, 7.0))
    fleet = LimitFleet(size, seed, evenly(60.0, size), loss=0.05)
    fleet.per_s = per_s
    fleet.run(4.0)
    for _ in range(8):
        fleet.replace(*rng.sample(range(size), rng.choice((1, 2, size // 3))))
        fleet.run(rng.uniform(0.2, 4.0))
    assert most_in_window(fleet.counted, EXCUSED_S) <= allowed(per_s)


@pytest.mark.parametrize("size", SIZES)
def test_no_window_holds_more_while_announcements_lapse(size: int) -> None:
    """Control is gone for longer than a lease, so gateways seem to be alone."""
    fleet = LimitFleet(size, 1, evenly(60.0, size))
    fleet.per_s = 1.6
    fleet.run(4.0)
    fleet.silent_from = fleet.now
    fleet.run(30.0)
    assert most_in_window(fleet.counted, EXCUSED_S) <= allowed(1.6)


@pytest.mark.parametrize("size", SIZES)
def test_no_window_holds_more_after_all_start_at_once(size: int) -> None:
    """Also counted from their start on, before they know each other."""
    fleet = LimitFleet(size, 1, evenly(60.0, size))
    fleet.per_s = 1.6
    fleet.restart(*range(size))
    fleet.run(1.0)
    fleet.sends.clear()
    fleet.run(12.0)
    assert most_in_window(fleet.sends, 0.0) <= allowed(1.6)


@pytest.mark.parametrize("size", SIZES)
def test_most_of_what_an_upstream_takes_is_sent_to_it(size: int) -> None:
    """Callers at all gateways: none of the rate is left to gateways without any."""
    fleet = LimitFleet(size, 1, evenly(10.0 * size, size))
    fleet.per_s = 6.0
    fleet.run(4.0)
    before = len(fleet.sends)
    fleet.run(20.0)
    assert len(fleet.sends) - before >= 0.8 * 6.0 * 20.0


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("size", (8, 70))
def test_the_end_of_a_limit_is_known_to_all(size: int, load: str) -> None:
    """Also if the gateways that may send have no callers when it ends."""
    fleet = LimitFleet(size, 1, LOADS[load](40.0, size), loss=0.05)
    fleet.per_s = 1.6
    fleet.run(8.0)
    fleet.per_s = None
    fleet.run(30.0)
    assert {node.limits.per_s("u1") for node in fleet.nodes} == {None}


def test_a_lower_limit_binds_and_what_was_saved_up_is_cut() -> None:
    fleet = LimitFleet(8, 1, evenly(100.0, 8))
    fleet.per_s = 40.0
    fleet.run(8.0)
    fleet.per_s = 2.0
    fleet.run(1.0)
    fleet.counted.clear()
    fleet.run(12.0)
    assert most_in_window(fleet.counted, 0.0) <= allowed(2.0)


@pytest.mark.parametrize("number", range(8))
def test_a_gateway_that_has_all_callers_gets_a_turn(number: int) -> None:
    """Whichever it is: the gateways that may send first have no callers."""
    fleet = LimitFleet(29, 1, lambda one, now: 20.0 if one == number else 0.0)
    fleet.per_s = 1.6
    fleet.run(90.0)
    assert any(at > 10.0 for at in fleet.sends)
    assert most_in_window(fleet.counted, EXCUSED_S) <= allowed(1.6)
    fleet.per_s = None
    fleet.run(90.0)
    assert fleet.nodes[number].limits.per_s("u1") is None
