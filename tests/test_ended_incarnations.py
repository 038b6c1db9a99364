"""Reports of ended upstreams, and the requests that are quarantined for them."""

from __future__ import annotations

import random

import pytest

from gooseberrydale.connection.mesh import EndedIncarnation
from gooseberrydale.version.ended_incarnations import (
    ANSWERED_RETENTION_S,
    MAX_INCARNATIONS,
    MAX_REQUESTS,
    MAX_REQUESTS_PER_INCARNATION,
    RETENTION_S,
    EndedIncarnations,
)
from tests.builders_incarnations import Fleet, Node, lost, reported, request

HARMFUL, STREAM, OTHER = 1, 2, 3
DELIVERY_BOUND_S = 3.0
"""Time by which every process that reaches control has received an end."""

Ends = list[tuple[tuple[int, ...], tuple[int, ...]]]

CASES: dict[str, tuple[Ends, set[int]]] = {
    # For each incarnation the requests waiting and being answered; then the expected
    # quarantined requests.
    "two ends": ([((1,), ()), ((1,), ())], set()),
    "three ends": ([((1,), ())] * 3, {1}),
    "three ends while it was being answered": ([((), (1,))] * 3, {1}),
    "some before, some after the start of its answer": (
        [((1,), ()), ((), (1,)), ((1,), ())],
        {1},
    ),
    "a stream at the same upstreams": ([((1,), (2,))] * 3, {1}),
    "a stream at the same upstreams, and two more ends of it": (
        [((1,), (2,))] * 3 + [((), (2,))] * 2,
        {1},
    ),
    "a stream at the same upstreams that then ends three by itself": (
        [((1,), (2,))] * 3 + [((), (2,))] * 3,
        {1, 2},
    ),
    "two that both wait can't be distinguished": ([((1, 2), ())] * 3, {1, 2}),
    "a different request each time": ([((n,), ()) for n in range(9)], set()),
    "many other requests, each at one end": (
        [((1, *range(10 * n, 10 * n + 9)), ()) for n in range(1, 4)],
        {1},
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_the_requests_that_ended_three_upstreams_are_quarantined(case: str) -> None:
    ends, quarantined = CASES[case]
    table = EndedIncarnations()
    for number, (waiting, answering) in enumerate(ends):
        table.report(f"u{number}", lost(*waiting, answering=answering), 1.0)
    assert set(table.quarantined()) == {request(n) for n in quarantined}
    for n in range(10):
        assert table.is_quarantined(request(n)) == (n in quarantined)


def test_an_end_reported_by_several_processes_counts_once() -> None:
    table = EndedIncarnations()
    for _ in range(5):
        table.offer(reported("u1", HARMFUL), 1.0, source=object())
    assert table.blamed_for(request(HARMFUL)) == ("u1",)


def has_quarantined(table: EndedIncarnations, number: int = HARMFUL) -> bool:
    return table.is_quarantined(request(number))


def end_all(
    table: EndedIncarnations, incarnations: int, now: float, number: int = HARMFUL
) -> None:
    for incarnation in range(incarnations):
        table.report(f"{now}/{incarnation}", lost(number), now)


def test_a_complete_answer_clears_a_request_of_earlier_ends() -> None:
    table = EndedIncarnations()
    end_all(table, 2, 1.0)
    table.answered(request(HARMFUL), 2.0)
    end_all(table, 1, 2.0 + ANSWERED_RETENTION_S)
    assert not has_quarantined(table)
    end_all(table, 2, 3.0 + ANSWERED_RETENTION_S)
    assert has_quarantined(table)


def test_a_request_that_all_upstreams_run_survives_the_loss_of_a_rack() -> None:
    """A request that is sent all the time runs at every upstream that is lost.

    Its complete answer before must keep it out of quarantine everywhere.
    """
    here, there = EndedIncarnations(), EndedIncarnations()
    here.answered(request(HARMFUL), 1.0)
    for incarnation in range(40):
        there.report(f"u{incarnation}", lost(HARMFUL), 2.0)
    for update in there.since(0, 2.1).incarnations:
        here.offer(update, 2.1, source=there)
    assert has_quarantined(there) and not has_quarantined(here)
    # Processes that have not seen an answer of it receive that it is cleared.
    for update in here.since(0, 2.2).incarnations:
        there.offer(update, 2.2, source=here)
    assert not has_quarantined(there)


def test_an_expired_quarantine_returns_after_one_more_end() -> None:
    table = EndedIncarnations()
    for second in range(3):
        table.report(f"u{second}", lost(HARMFUL), float(second))
    table.expire(RETENTION_S - 0.1)
    assert has_quarantined(table)
    table.expire(RETENTION_S)
    assert not has_quarantined(table)
    table.report("u4", lost(HARMFUL), RETENTION_S)
    assert has_quarantined(table)


def test_an_end_reported_late_expires_at_the_same_time() -> None:
    table = EndedIncarnations()
    table.offer(
        EndedIncarnation("u1", (request(HARMFUL),), age_s=RETENTION_S - 10.0), 100.0
    )
    table.offer(EndedIncarnation("u2", (request(HARMFUL),), age_s=RETENTION_S), 100.0)
    assert table.blamed_for(request(HARMFUL)) == ("u1",)
    table.expire(109.0)
    assert table.blamed_for(request(HARMFUL)) == ("u1",)
    table.expire(110.0)
    assert table.blamed_for(request(HARMFUL)) == ()
    [] = table.since(0, 111.0).incarnations


def test_a_session_gets_only_updates_that_it_did_not_send() -> None:
    table, session = EndedIncarnations(), object()
    table.report("u1", lost(HARMFUL), 1.0)
    update = table.since(0, 2.0, exclude=session)
    assert [(end.incarnation, end.age_s) for end in update.incarnations] == [
        ("u1", 1.0)
    ]
    table.offer(reported("u1", HARMFUL, OTHER), 2.0, source=session)
    assert not table.since(update.version, 3.0, exclude=session).incarnations
    [end] = table.since(update.version, 3.0, exclude=object()).incarnations
    assert end.waiting == (request(OTHER),)


@pytest.mark.parametrize("relays", [False, True])
def test_a_process_that_does_not_relay_sends_others_reports_only_at_first(
    relays: bool,
) -> None:
    table = EndedIncarnations(relays=relays)
    session = object()
    assert not table.since(0, 0.0, exclude=session).incarnations
    version = table.since(0, 0.0, exclude=session).version
    table.offer(reported("u1", HARMFUL), 1.0, source=object())
    assert len(table.since(version, 1.0, exclude=session).incarnations) == int(relays)
    assert len(table.since(0, 1.0, exclude=session).incarnations) == 1


def test_memory_is_bounded_and_quarantined_requests_stay() -> None:
    table = EndedIncarnations()
    for incarnation in range(3):
        table.report(f"harmful{incarnation}", lost(HARMFUL), 0.0)
    number = 10
    for incarnation in range(2 * MAX_INCARNATIONS):
        flood = range(number, number + (incarnation % 7) * 20)
        number = flood.stop
        table.report(f"u{incarnation}", lost(*flood, answering=(number,)), 1.0)
        number += 1
        assert table.size <= MAX_REQUESTS and len(table) <= MAX_INCARNATIONS
    assert has_quarantined(table)
    table.report(
        "wide", lost(*range(number, number + 4 * MAX_REQUESTS_PER_INCARNATION)), 2.0
    )
    assert table.size <= MAX_REQUESTS


def test_a_flood_of_answers_does_not_displace_a_frequent_request() -> None:
    table = EndedIncarnations()
    for number in range(20_000):
        table.answered(request(10 + number), 1.0)
        if number % 100 == 0:
            table.answered(request(HARMFUL), 1.0)
    end_all(table, 3, 2.0)
    assert not has_quarantined(table)


SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_agree_though_messages_are_lost_delayed_and_repeated(seed: int) -> None:
    """Sessions break, controls restart, and processes are cut off for a while."""
    rng = random.Random(seed)
    fleet = Fleet.of(rng, gateways=8, controls=4)
    for number in range(160):
        gateway = rng.choice(fleet.gateways)
        if gateway.up:
            waiting, answering = rng.sample(range(6), 2), (rng.randrange(6, 9),)
            incarnation = f"u{rng.randrange(12)}"
            runs = lost(*waiting, answering=answering)
            gateway.table.report(incarnation, runs, fleet.now)
        if rng.random() < 0.2:
            gateway.table.answered(request(rng.randrange(9)), fleet.now)
        if rng.random() < 0.1:
            node = rng.choice([*fleet.gateways, *fleet.controls])
            node.up = not node.up
        if rng.random() < 0.03:
            _restart(fleet, rng.choice(fleet.controls))
        fleet.step(rng.uniform(0.0, 0.2), breaking=0.02)
    for node in (*fleet.gateways, *fleet.controls):
        node.up = True
    for pair in fleet.pairs():
        fleet.open(pair)
    fleet.settle(DELIVERY_BOUND_S)
    views = {
        tuple(node.table.blamed_for(request(number)) for number in range(9))
        for node in (*fleet.gateways, *fleet.controls)
    }
    assert len(views) == 1


def _restart(fleet: Fleet, node: Node) -> None:
    node.table = Node.of(node.name, relays=node.relays).table
    for pair in fleet.pairs():
        if node in pair:
            fleet.open(pair)


@pytest.mark.parametrize("seed", [1, 2])
def test_seventy_gateways_receive_a_third_end_in_time_in_few_bytes(seed: int) -> None:
    """Ten upstreams end, each with 24 requests from as many gateways."""
    rng = random.Random(seed)
    fleet = Fleet.of(rng, gateways=70, controls=12)
    number = 100
    for incarnation in range(10):
        for place, gateway in enumerate(rng.sample(fleet.gateways, 24)):
            own = HARMFUL if place == 0 and incarnation < 3 else number
            gateway.table.report(f"u{incarnation}", lost(own), fleet.now)
            number += 1
        fleet.step(0.05)
    fleet.settle(DELIVERY_BOUND_S)
    assert all(
        has_quarantined(node.table) for node in (*fleet.gateways, *fleet.controls)
    )
    # 240 requests, each received from three sessions, at 64 bytes with its overhead.
    for node in fleet.gateways:
        assert node.bytes_in <= 3 * 240 * 64
