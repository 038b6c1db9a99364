"""What is known of ended upstreams, and which requests it quarantines."""

from __future__ import annotations

import random

import pytest

from gooseberrydale.connection.mesh import EndedIncarnation
from gooseberrydale.version.ended_incarnations import (
    ANSWERED_LASTS_S,
    KEPT_S,
    MOST_INCARNATIONS,
    MOST_OF_INCARNATION,
    MOST_REQUESTS,
    EndedIncarnations,
)
from tests.builders_incarnations import Fleet, Node, lost, request, told

HARMFUL, STREAM, OTHER = 1, 2, 3
CONTACT_S = 3.0
"""Who can reach control has heard of an end after this."""

Ends = list[tuple[tuple[int, ...], tuple[int, ...]]]

CASES: dict[str, tuple[Ends, set[int]]] = {
    # for each incarnation: who waited, who was answering; then who is quarantined
    "two ends": ([((1,), ()), ((1,), ())], set()),
    "three ends": ([((1,), ())] * 3, {1}),
    "three ends in the middle of its answers": ([((), (1,))] * 3, {1}),
    "some before, some after the first part": (
        [((1,), ()), ((), (1,)), ((1,), ())],
        {1},
    ),
    "a stream beside it": ([((1,), (2,))] * 3, {1}),
    "a stream beside it, and one more end": (
        [((1,), (2,))] * 3 + [((), (2,))] * 2,
        {1},
    ),
    "a stream beside it that then ends three by itself": (
        [((1,), (2,))] * 3 + [((), (2,))] * 3,
        {1, 2},
    ),
    "two that both wait can't be told apart": ([((1, 2), ())] * 3, {1, 2}),
    "each another one": ([((n,), ()) for n in range(9)], set()),
    "many beside it, each once": (
        [((1, *range(10 * n, 10 * n + 9)), ()) for n in range(1, 4)],
        {1},
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_who_is_quarantined(case: str) -> None:
    ends, quarantined = CASES[case]
    table = EndedIncarnations()
    for number, (waiting, answering) in enumerate(ends):
        table.report(f"u{number}", lost(*waiting, answering=answering), 1.0)
    assert set(table.quarantined()) == {request(one) for one in quarantined}
    for one in range(10):
        assert table.is_quarantined(request(one)) == (one in quarantined)


def test_the_same_end_told_by_many_counts_once() -> None:
    table = EndedIncarnations()
    for _ in range(5):
        table.offer(told("u1", HARMFUL), 1.0, source=object())
    assert table.blamed_for(request(HARMFUL)) == ("u1",)


def has_quarantined(table: EndedIncarnations, number: int = HARMFUL) -> bool:
    return table.is_quarantined(request(number))


def end_all(
    table: EndedIncarnations, incarnations: int, now: float, number: int = HARMFUL
) -> None:
    for incarnation in range(incarnations):
        table.report(f"{now}/{incarnation}", lost(number), now)


def test_what_is_answered_whole_is_not_blamed_for_what_ended_before() -> None:
    table = EndedIncarnations()
    end_all(table, 2, 1.0)
    table.answered(request(HARMFUL), 2.0)
    end_all(table, 1, 2.0 + ANSWERED_LASTS_S)
    assert not has_quarantined(table)
    end_all(table, 2, 3.0 + ANSWERED_LASTS_S)
    assert has_quarantined(table)


def test_what_all_upstreams_run_is_not_quarantined_when_a_rack_is_lost() -> None:
    """A request that is asked for all the time runs at each of them."""
    here, there = EndedIncarnations(), EndedIncarnations()
    here.answered(request(HARMFUL), 1.0)
    for incarnation in range(40):
        there.report(f"u{incarnation}", lost(HARMFUL), 2.0)
    for news in there.since(0, 2.1).incarnations:
        here.offer(news, 2.1, source=there)
    assert has_quarantined(there) and not has_quarantined(here)
    # And those that have not seen an answer of it hear so.
    for news in here.since(0, 2.2).incarnations:
        there.offer(news, 2.2, source=here)
    assert not has_quarantined(there)


def test_after_a_while_it_may_end_one_more() -> None:
    table = EndedIncarnations()
    for second in range(3):
        table.report(f"u{second}", lost(HARMFUL), float(second))
    table.expire(KEPT_S - 0.1)
    assert has_quarantined(table)
    table.expire(KEPT_S)
    assert not has_quarantined(table)
    table.report("u4", lost(HARMFUL), KEPT_S)
    assert has_quarantined(table)


def test_what_was_told_late_is_forgotten_at_the_same_time() -> None:
    table = EndedIncarnations()
    table.offer(EndedIncarnation("u1", (request(HARMFUL),), age_s=KEPT_S - 10.0), 100.0)
    table.offer(EndedIncarnation("u2", (request(HARMFUL),), age_s=KEPT_S), 100.0)
    assert table.blamed_for(request(HARMFUL)) == ("u1",)
    table.expire(109.0)
    assert table.blamed_for(request(HARMFUL)) == ("u1",)
    table.expire(110.0)
    assert table.blamed_for(request(HARMFUL)) == ()
    [] = table.since(0, 111.0).incarnations


def test_a_session_gets_what_is_new_to_it_and_not_its_own_words() -> None:
    table, session = EndedIncarnations(), object()
    table.report("u1", lost(HARMFUL), 1.0)
    news = table.since(0, 2.0, exclude=session)
    assert [(one.incarnation, one.age_s) for one in news.incarnations] == [("u1", 1.0)]
    table.offer(told("u1", HARMFUL, OTHER), 2.0, source=session)
    assert not table.since(news.version, 3.0, exclude=session).incarnations
    [one] = table.since(news.version, 3.0, exclude=object()).incarnations
    assert one.waiting == (request(OTHER),)


@pytest.mark.parametrize("relays", [False, True])
def test_who_does_not_relay_tells_of_others_only_at_first(relays: bool) -> None:
    table = EndedIncarnations(relays=relays)
    session = object()
    assert not table.since(0, 0.0, exclude=session).incarnations
    version = table.since(0, 0.0, exclude=session).version
    table.offer(told("u1", HARMFUL), 1.0, source=object())
    assert len(table.since(version, 1.0, exclude=session).incarnations) == int(relays)
    assert len(table.since(0, 1.0, exclude=session).incarnations) == 1


def test_memory_is_bounded_whatever_comes_and_what_is_quarantined_stays() -> None:
    table = EndedIncarnations()
    for incarnation in range(3):
        table.report(f"harmful{incarnation}", lost(HARMFUL), 0.0)
    number = 10
    for incarnation in range(2 * MOST_INCARNATIONS):
        flood = range(number, number + (incarnation % 7) * 20)
        number = flood.stop
        table.report(f"u{incarnation}", lost(*flood, answering=(number,)), 1.0)
        number += 1
        assert table.size <= MOST_REQUESTS and len(table) <= MOST_INCARNATIONS
    assert has_quarantined(table)
    table.report("wide", lost(*range(number, number + 4 * MOST_OF_INCARNATION)), 2.0)
    assert table.size <= MOST_REQUESTS


def test_a_flood_of_answers_is_bounded_and_spares_what_is_asked_for_often() -> None:
    table = EndedIncarnations()
    for number in range(20_000):
        table.answered(request(10 + number), 1.0)
        if number % 100 == 0:
            table.answered(request(HARMFUL), 1.0)
    end_all(table, 3, 2.0)
    assert not has_quarantined(table)


SEEDS = range(12)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_agree_whatever_is_lost_late_twice_or_out_of_order(seed: int) -> None:
    """Sessions break, controls and gateways start anew and are cut off for a while."""
    rng = random.Random(seed)
    fleet = Fleet.of(rng, gateways=8, controls=4)
    for number in range(160):
        gateway = rng.choice(fleet.gateways)
        if gateway.up:
            waiting, answering = rng.sample(range(6), 2), (rng.randrange(6, 9),)
            incarnation = f"u{rng.randrange(12)}"
            found = lost(*waiting, answering=answering)
            gateway.table.report(incarnation, found, fleet.now)
        if rng.random() < 0.2:
            gateway.table.answered(request(rng.randrange(9)), fleet.now)
        if rng.random() < 0.1:
            node = rng.choice([*fleet.gateways, *fleet.controls])
            node.up = not node.up
        if rng.random() < 0.03:
            _start_anew(fleet, rng.choice(fleet.controls))
        fleet.step(rng.uniform(0.0, 0.2), breaking=0.02)
    for node in (*fleet.gateways, *fleet.controls):
        node.up = True
    for pair in fleet.pairs():
        fleet.open(pair)
    fleet.settle(CONTACT_S)
    views = {
        tuple(node.table.blamed_for(request(number)) for number in range(9))
        for node in (*fleet.gateways, *fleet.controls)
    }
    assert len(views) == 1


def _start_anew(fleet: Fleet, node: Node) -> None:
    node.table = Node.of(node.name, relays=node.relays).table
    for pair in fleet.pairs():
        if node in pair:
            fleet.open(pair)


@pytest.mark.parametrize("seed", [1, 2])
def test_seventy_gateways_hear_of_a_third_end_in_time_for_few_bytes(seed: int) -> None:
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
    fleet.settle(CONTACT_S)
    assert all(
        has_quarantined(node.table) for node in (*fleet.gateways, *fleet.controls)
    )
    # Each of 240 requests by three sessions, and what goes with it.
    for node in fleet.gateways:
        assert node.bytes_in <= 3 * 240 * 64
