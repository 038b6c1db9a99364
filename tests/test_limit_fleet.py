"""Rate limits of an upstream over whole fleets, simulated without a network."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from tests.builders_limit_fleet import EXCUSED_S, LimitFleet
from tests.builders_limits import allowed, most_in_window

SIZES = (1, 8, 29, 350)
RATES = (0.0, 0.3, 1.1, 1.6, 7.0, 60.0)

Callers = Callable[[int, float], float]


def even_load(per_s: float, size: int) -> Callers:
    return lambda number, now: per_s / size


def burst_load(per_s: float, size: int) -> Callers:
    """No requests for five seconds, then those of six seconds within one."""
    return lambda number, now: 6.0 * per_s / size if now % 6.0 > 5.0 else 0.0


def load_at_few(per_s: float, size: int) -> Callers:
    """All requests at a tenth of the gateways, other ones every seven seconds."""
    gateways = max(1, size // 10)

    def callers(number: int, now: float) -> float:
        shift = int(now / 7.0) * gateways
        return per_s / gateways if (number - shift) % size < gateways else 0.0

    return callers


LOADS = {"evenly": even_load, "in bursts": burst_load, "at few": load_at_few}


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("per_s", RATES)
@pytest.mark.parametrize("size", SIZES)
def test_no_window_exceeds_the_limit(size: int, per_s: float, load: str) -> None:
    """Guards against excess requests when reports are lost and callers move."""
    demand = max(20.0, 4.0 * per_s)
    fleet = LimitFleet(size, 1, LOADS[load](demand, size), loss=0.05)
    fleet.run(1.0)
    fleet.per_s = per_s
    fleet.run(20.0)
    assert most_in_window(fleet.counted, 1.0 + EXCUSED_S) <= allowed(per_s)


@pytest.mark.parametrize("seed", range(6))
def test_no_window_exceeds_the_limit_while_gateways_restart(seed: int) -> None:
    """Gateways restart one at a time, several at a time and all at once.

    A restarted gateway is excused for three seconds.
    """
    rng = random.Random(seed)
    size, per_s = rng.choice((8, 29, 70)), rng.choice((1.1, 1.6, 7.0))
    fleet = LimitFleet(size, seed, even_load(60.0, size), loss=0.05)
    fleet.per_s = per_s
    fleet.run(4.0)
    for _ in range(6):
        count = rng.choice((1, 2, size // 3, size))
        fleet.restart(*rng.sample(range(size), count))
        fleet.run(rng.uniform(0.5, 6.0))
    assert most_in_window(fleet.counted, EXCUSED_S) <= allowed(per_s)


@pytest.mark.parametrize("seed", range(6))
def test_no_window_exceeds_the_limit_while_gateways_are_replaced(seed: int) -> None:
    """The others see a replacement at different times, and so compute unlike shares."""
    rng = random.Random(seed)
    size, per_s = rng.choice((8, 29, 70)), rng.choice((1.1, 1.6, 7.0))
    fleet = LimitFleet(size, seed, even_load(60.0, size), loss=0.05)
    fleet.per_s = per_s
    fleet.run(4.0)
    for _ in range(8):
        fleet.replace(*rng.sample(range(size), rng.choice((1, 2, size // 3))))
        fleet.run(rng.uniform(0.2, 4.0))
    assert most_in_window(fleet.counted, EXCUSED_S) <= allowed(per_s)


@pytest.mark.parametrize("size", SIZES)
def test_no_window_exceeds_the_limit_while_announcements_lapse(size: int) -> None:
    """Control is down for longer than a lease, so no gateway sees any other."""
    fleet = LimitFleet(size, 1, even_load(60.0, size))
    fleet.per_s = 1.6
    fleet.run(4.0)
    fleet.control_down_from = fleet.now
    fleet.run(30.0)
    assert most_in_window(fleet.counted, EXCUSED_S) <= allowed(1.6)


@pytest.mark.parametrize("size", SIZES)
def test_no_window_exceeds_the_limit_after_all_start_at_once(size: int) -> None:
    """Requests count from the start on, before the gateways see each other."""
    fleet = LimitFleet(size, 1, even_load(60.0, size))
    fleet.per_s = 1.6
    fleet.restart(*range(size))
    fleet.run(1.0)
    fleet.sends.clear()
    fleet.run(12.0)
    assert most_in_window(fleet.sends, 0.0) <= allowed(1.6)


@pytest.mark.parametrize("size", SIZES)
def test_most_of_an_upstreams_limit_is_used(size: int) -> None:
    """With callers at all gateways, nearly the whole rate must be used."""
    fleet = LimitFleet(size, 1, even_load(10.0 * size, size))
    fleet.per_s = 6.0
    fleet.run(4.0)
    before = len(fleet.sends)
    fleet.run(20.0)
    assert len(fleet.sends) - before >= 0.8 * 6.0 * 20.0


@pytest.mark.parametrize("load", LOADS)
@pytest.mark.parametrize("size", (8, 70))
def test_all_gateways_learn_that_a_limit_was_lifted(size: int, load: str) -> None:
    """A lifted limit is seen only in answers, and the senders may have no callers."""
    fleet = LimitFleet(size, 1, LOADS[load](40.0, size), loss=0.05)
    fleet.per_s = 1.6
    fleet.run(8.0)
    fleet.per_s = None
    fleet.run(30.0)
    assert {node.limits.per_s("u1") for node in fleet.nodes} == {None}


def test_a_lower_limit_also_cuts_the_saved_up_burst() -> None:
    fleet = LimitFleet(8, 1, even_load(100.0, 8))
    fleet.per_s = 40.0
    fleet.run(8.0)
    fleet.per_s = 2.0
    fleet.run(1.0)
    fleet.counted.clear()
    fleet.run(12.0)
    assert most_in_window(fleet.counted, 0.0) <= allowed(2.0)


@pytest.mark.parametrize("number", range(8))
def test_a_gateway_that_has_all_callers_becomes_a_sender(number: int) -> None:
    """The first senders have no callers, so the right to send must move on."""
    fleet = LimitFleet(29, 1, lambda gateway, now: 20.0 if gateway == number else 0.0)
    fleet.per_s = 1.6
    fleet.run(90.0)
    assert any(at > 10.0 for at in fleet.sends)
    assert most_in_window(fleet.counted, EXCUSED_S) <= allowed(1.6)
    fleet.per_s = None
    fleet.run(90.0)
    assert fleet.nodes[number].limits.per_s("u1") is None
