"""Which parts are found harmful from what waited at upstreams that ended."""

from __future__ import annotations

import itertools
import random

import pytest

from gooseberrydale.connection.mesh import EndedIncarnation
from gooseberrydale.version.ended_incarnations import (
    BEGUN_RETENTION_S,
    MAX_REQUESTS,
    EndedIncarnations,
)
from gooseberrydale.version.open_runs import END_DETECTION_S, OpenRuns, RunEnd
from tests.builders_incarnations import request
from tests.builders_part_pool import PartPool, part

CONTACT_S = 3.0
"""Time after the fifth end by which all gateways must know."""

Ends = list[list[tuple[int, str]]]
"""For each end the prompts that waited: the number of the request, and its parts."""


def ended(number: int, prompts: list[tuple[int, str]]) -> EndedIncarnation:
    """Return a report of an end."""
    return EndedIncarnation(
        f"u{number}",
        waiting=tuple(request(name) for name, _ in prompts),
        prompts=tuple(
            (request(name), *(part(p) for p in parts.split()))
            for name, parts in prompts
        ),
    )


def table_of(ends: Ends) -> EndedIncarnations:
    table = EndedIncarnations()
    for number, prompts in enumerate(ends):
        table.offer(ended(number, prompts), float(number))
    return table


def harmful(table: EndedIncarnations) -> set[str]:
    """Return the harmful groups as texts."""
    groups = (group.parts for group in table.harmful_parts)
    return {" ".join(sorted(p.decode().strip("-") for p in group)) for group in groups}


CASES: dict[str, tuple[Ends, set[str]]] = {
    "two ends": ([[(1, "g bad")], [(2, "g bad")]], set()),
    "three ends": ([[(1, "g bad")], [(2, "h bad")], [(3, "g bad")]], {"bad"}),
    "a first part": ([[(1, "bad a")], [(2, "bad b")], [(3, "bad c")]], {"bad"}),
    "parts that always come together": (
        [[(1, "g bad x")], [(2, "h bad x")], [(3, "g bad x")]],
        {"bad x"},
    ),
    "one of them came without the other": (
        [[(1, "g bad x")], [(2, "h bad x")], [(3, "g bad x")], [(4, "g bad y")]],
        {"bad"},
    ),
    "one request that is repeated": ([[(1, "g bad")]] * 3, set()),
    "sound parts that waited beside it twice": (
        [
            [(1, "g bad"), (9, "h s")],
            [(2, "h bad"), (8, "k s")],
            [(3, "k bad"), (7, "k t")],
        ],
        {"bad"},
    ),
    "a sound part at three of its four ends": (
        [
            [(1, "g bad"), (9, "h s")],
            [(2, "h bad"), (8, "k s")],
            [(3, "k bad"), (7, "k s")],
            [(4, "k bad")],
        ],
        {"bad"},
    ),
    "two harmful parts at a time": (
        [
            [(1, "g bad"), (2, "h evil")],
            [(3, "h bad")],
            [(4, "h evil")],
            [(5, "k bad"), (6, "k s")],
            [(7, "g evil")],
            [(8, "g evil")],
            [(9, "g bad")],
        ],
        {"bad", "evil"},
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_harmful_parts(case: str) -> None:
    ends, expected = CASES[case]
    assert harmful(table_of(ends)) == expected


@pytest.mark.parametrize("case", CASES)
def test_harmful_parts_do_not_depend_on_the_order_of_reports(case: str) -> None:
    ends, expected = CASES[case]
    for order in itertools.islice(itertools.permutations(range(len(ends))), 60):
        table = EndedIncarnations()
        for number in (*order, *order):
            for prompt in ends[number]:
                table.offer(ended(number, [prompt]), 0.0)
        assert harmful(table) == expected


HARMFUL = CASES["three ends"][0]


def test_a_prompt_is_refused_only_with_all_parts_that_came_together() -> None:
    table = table_of(CASES["parts that always come together"][0])
    assert table.harmful_parts_in((part("g"), part("bad"), part("x")))
    for parts in [("g", "bad"), ("g", "x"), ("g",), ()]:
        assert table.harmful_parts_in(tuple(map(part, parts))) is None


def test_an_answer_that_begins_clears_the_parts_of_its_prompt() -> None:
    table = table_of(HARMFUL)
    table.begun((part("g"),), 3.0)
    assert harmful(table) == {"bad"}
    table.begun((part("bad"), part("g")), 3.0)
    assert harmful(table) == set()


def test_parts_in_use_are_not_blamed_for_ends_just_after_an_event() -> None:
    """A rack of upstreams is lost, and prompts of a guide wait at each."""
    table = EndedIncarnations()
    table.begun((part("g"),), 1.0)
    at_once, later = 1.0 + BEGUN_RETENTION_S / 2, 1.0 + 2 * BEGUN_RETENTION_S
    for number in range(4):
        table.offer(ended(number, [(number, f"g s{number}")]), at_once)
    assert harmful(table) == set()
    for number in range(4, 8):
        table.offer(ended(number, [(number, f"g s{number}")]), later)
    assert harmful(table) == {"g"}


def test_requests_at_ends_that_a_part_explains_are_not_quarantined() -> None:
    """Callers repeat their sound requests while engines end under another one."""
    ends = [[(9, "g s"), (number, f"{'hkl'[number]} bad")] for number in range(3)]
    assert table_of([prompts[:1] for prompts in ends]).is_quarantined(request(9))
    table = table_of(ends)
    assert harmful(table) == {"bad"}
    assert not table.is_quarantined(request(9))
    table.clear_parts((part("bad"),), 5.0)
    assert table.is_quarantined(request(9))


def test_connections_that_break_long_after_the_end_blame_no_prompt() -> None:
    """An engine falls silent; its connections are reset when it comes back."""
    runs = OpenRuns()
    broke, silent = (runs.began(request(n), (part("g"),)) for n in (1, 2))
    runs.ended(broke, 1.0, RunEnd.BROKE)
    assert runs.mark_ended(1.1).prompts == ((request(1), part("g")),)
    runs.ended(silent, 1.1 + END_DETECTION_S, RunEnd.BROKE)
    assert runs.mark_ended(1.1 + END_DETECTION_S).prompts == ()


@pytest.mark.parametrize("end", [RunEnd.LEFT, RunEnd.ANSWERED])
def test_only_prompts_whose_connection_broke_are_blamed(end: RunEnd) -> None:
    runs = OpenRuns()
    runs.ended(runs.began(request(1), (part("g"),)), 1.0, end)
    assert runs.mark_ended(1.1).prompts == ()


def test_records_of_prompts_are_bounded() -> None:
    table = table_of(HARMFUL)
    for number in range(300):
        prompts = [(number * 400 + n, f"{number}.{n}") for n in range(400)]
        table.offer(ended(100 + number, prompts), 10.0 + number)
        assert table.size <= MAX_REQUESTS
    assert "bad" in harmful(table)


POOLS: dict[str, dict[str, object]] = {
    "a part after the guide": {},
    "a guide": {"as_guide": True},
    "two parts at a time": {"harmful_parts": ("bad", "evil"), "harmful": 0.08},
    "frequent": {"harmful": 0.25},
    "gateways are killed": {"kill_each_s": 1.0},
    "sessions break": {"breaking": 0.02},
    "slow starts of answers": {"prefill_s": 0.6},
}


@pytest.mark.parametrize("case", POOLS)
def test_few_prompts_with_a_harmful_part_reach_upstreams(case: str) -> None:
    sound = refused = 0
    for seed in range(8):
        pool = PartPool(random.Random(seed), **POOLS[case])  # type: ignore[arg-type]
        pool.play(30.0)
        for name in pool.harmful_parts:
            assert pool.ended[name]
            assert pool.late(name, CONTACT_S) <= 3, (case, seed, name)
        sound += pool.sound
        refused += pool.sound_refused
    assert refused <= sound / 200
