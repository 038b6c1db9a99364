"""Slots of pools without a model: who gets them, who waits, and who is refused."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.process.gateway.placer import NoCapacityError, Placement, Placer
from gooseberrydale.request.hold_policy import Step
from gooseberrydale.request.placement import Candidate, Demand, expected_s
from gooseberrydale.request.retry_after import (
    MIN_RETRY_AFTER_S,
    REMAINING_TIME_FRACTION,
)
from gooseberrydale.request.service_queue import (
    RUN_MARGIN,
    ServiceDecision,
    ServiceRequest,
    choose_service,
    decide,
    free_slots,
    slot_free_s,
)
from gooseberrydale.version.speeds.speed import NEUTRAL
from gooseberrydale.version.upstream_load import Load
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    route,
    running_gateway,
)
from tests.builders_services import (
    DEADLINE_S,
    OBJECTIVE_S,
    RUN_S,
    SLOTS,
    ServiceFleet,
    request,
    service,
    services,
)
from tests.sidecar_harness import run

FULL = services(6, 6, 6)
loads = st.lists(st.integers(0, 2 * SLOTS), min_size=1, max_size=5)


def decided(candidates: list[Candidate], query: ServiceRequest) -> ServiceDecision:
    return decide(candidates, query, random.Random(1))


@given(loads, st.floats(0.0, DEADLINE_S - 2 * RUN_S))
def test_a_request_gets_a_free_slot_however_long_it_has_waited(
    requests: list[int], waited_s: float
) -> None:
    """A slot stays unused, or a request queues at a full upstream beside it."""
    got = decided(services(*requests), request(waited_s))
    assert (got.step is Step.SEND) == (min(requests) < SLOTS)
    assert got.chosen is None or free_slots(got.chosen) >= 1


@given(loads, st.integers(0, 40), st.floats(0.0, OBJECTIVE_S))
def test_no_request_is_refused_while_a_slot_will_be_free_in_time(
    requests: list[int], ahead: int, waited_s: float
) -> None:
    candidates = services(*requests)
    got = decided(candidates, request(waited_s, ahead=ahead))
    end_s = waited_s + slot_free_s(candidates, ahead) + RUN_MARGIN * RUN_S
    if end_s <= OBJECTIVE_S:
        assert got.step is not Step.REFUSE
    if got.step is Step.REFUSE:
        assert got.after_s >= MIN_RETRY_AFTER_S


def test_those_ahead_get_the_free_slots_first() -> None:
    """Otherwise a request that has just arrived overtakes one that waits."""
    assert decided(services(4, 6, 6), request(ahead=1)).step is Step.SEND
    assert decided(services(4, 6, 6), request(ahead=2)).step is Step.WAIT


def test_a_refusal_comes_at_once_and_names_the_time_of_a_free_slot() -> None:
    got = decided(FULL, request(ahead=600))
    assert got.step is Step.REFUSE
    assert got.after_s == pytest.approx(DEADLINE_S * REMAINING_TIME_FRACTION)
    got = decided(FULL, request(waited_s=0.2, ahead=120))
    assert got.step is Step.REFUSE
    assert got.after_s == pytest.approx(121 * RUN_S / (3 * SLOTS))


def test_a_caller_that_was_refused_waits_until_its_deadline() -> None:
    """It does not retry again, so another refusal is the end of its request."""
    late = request(objective_s=OBJECTIVE_S, left_s=1.0, ahead=100, prior_wait_s=2.0)
    got = decided(FULL, late)
    assert (got.step, got.late) == (Step.WAIT, True)
    assert decided(FULL, replace(late, prior_wait_s=0.0)).step is Step.REFUSE


def test_a_request_that_can_not_end_in_time_is_not_sent() -> None:
    """It would use a slot for nothing, and may have run when its caller is told."""
    assert decided(services(0), request(left_s=0.05)).step is Step.REFUSE
    slow = [service(requests=0, slowness=2.5)]
    # Momentary slowness alone refuses nothing.
    assert decided(slow, request(left_s=2 * RUN_S)).step is Step.SEND


def test_faster_upstreams_are_preferred_until_they_fill_up() -> None:
    fast, slow = service("fast", 1, run_s=0.06), service("slow", 0, run_s=0.15)
    rng = random.Random(1)
    assert choose_service([slow, fast], rng).name == "fast"
    full = service("fast", SLOTS, run_s=0.06)
    assert choose_service([slow, full], rng).name == "slow"


def test_an_upstream_that_is_avoided_offers_no_slot() -> None:
    """Its slots would be waited for although they never become free."""
    dead = replace(service("dead"), usable=False)
    got = decided([dead, *services(5)], request())
    assert got.chosen is not None and got.chosen.name == "s0"
    assert decided([dead, *services(6)], request()).step is Step.WAIT


def test_equal_upstreams_are_chosen_by_their_free_slots() -> None:
    """Gateways with the same reports would all send to the same upstream."""
    rng = random.Random(1)
    chosen = [choose_service(services(2, 3), rng).name for _ in range(100)]
    assert 20 < chosen.count("s1") < chosen.count("s0")


def test_an_upstream_that_fails_as_often_as_usual_is_not_avoided() -> None:
    """One lookup in seven fails at every upstream; a rate is of few answers."""
    usual, often = replace(service("a"), error_rate=0.2), service("b", 2)
    rng = random.Random(1)
    names = {choose_service([usual, often], rng).name for _ in range(20)}
    assert "a" in names
    broken = replace(usual, error_rate=0.8)
    assert choose_service([broken, often], rng).name == "b"


def test_an_upstream_of_unknown_size_always_has_a_free_slot() -> None:
    unknown = replace(service("a", 9), slots=0)
    assert decided([unknown, *services(6)], request(ahead=9)).chosen == unknown


def test_without_a_learned_speed_services_are_compared_as_before() -> None:
    """Pools that share no capacity are served as before."""
    plain = Candidate("s", Load(3.0, 0.0, 0.0), slots=SLOTS, speed=NEUTRAL)
    assert expected_s(plain, Demand()) == 0.06 * (0.5 * 0.1)


@pytest.mark.parametrize("run_s", [(RUN_S, RUN_S, RUN_S), (0.06, RUN_S, 0.15)])
def test_a_burst_wastes_no_slot(run_s: tuple[float, ...]) -> None:
    """Four times the load for 2 s is 1.4 times what the upstreams serve."""
    got = ServiceFleet(70.0, burst=4.0, report_s=0.0, run_s=run_s).run()
    assert got.queued == 0
    assert got.in_time > 0.7 * got.total
    assert len(got.refused_after_s) < 0.2 * got.total
    # Those that are refused can still retry.
    assert max(got.refused_after_s) < 0.3 * DEADLINE_S


def test_late_reports_leave_most_requests_in_time() -> None:
    """Two gateways may take the same slot if reports take 20 ms."""
    got = ServiceFleet(70.0, burst=4.0, report_s=0.02).run()
    assert got.queued < 0.15 * got.total
    assert got.in_time > 0.6 * got.total


def test_on_a_calm_day_nobody_waits() -> None:
    got = ServiceFleet(54.0, report_s=0.0).run()
    assert (got.late, got.queued, got.refused_after_s) == (0, 0, [])


def test_a_refusal_after_a_run_does_not_promise_that_nothing_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers repeat what has "not run", so the request would run twice."""
    place = Placer.place

    async def place_once(placer: Placer) -> Placement | None:
        if placer.tried:
            raise NoCapacityError
        return await place(placer)

    async def fails(req: dict[str, str], body: bytes, writer: Writer) -> None:
        writer.write(answer_bytes(req["id"], b"broken", "500 Failed"))

    async def main() -> None:
        monkeypatch.setattr(Placer, "place", place_once)
        upstreams = RawUpstream("u1", fails), RawUpstream("u2", fails)
        document = declared(route(repeatable=True, max_runs=2))
        async with running_gateway(document, *upstreams) as gateway:
            got = await call(gateway)
        assert (got.status, got.body) == (500, b"broken")
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    run(main())
