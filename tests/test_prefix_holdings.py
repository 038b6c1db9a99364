"""What engines are taken to hold, where the rest is got, and how soon they begin."""

from __future__ import annotations

import random

import pytest

from gooseberrydale.request.gateway_call import PromptPart
from gooseberrydale.request.prefix_source import (
    FAR_TIMES,
    Source,
    best_fetch,
    move_token_s,
)
from gooseberrydale.request.timeliness import Goal, is_hopeless
from gooseberrydale.version.compute_rate import (
    MOST_TOKENS_PER_S,
    SHORT_TOKENS,
    ComputeRate,
)
from gooseberrydale.version.holdings import Holdings, Place, levels_of

GUIDE = PromptPart("guide", 2_000)
LOTS = [PromptPart(f"lot{number}", 4_000) for number in range(9)]
HERE = Place("e", "3")


def levels(lot: int, scope: str = "") -> tuple:  # type: ignore[type-arg]
    return levels_of((GUIDE, LOTS[lot]), scope)


def test_what_was_sent_is_held_and_what_it_shares_with_others() -> None:
    holdings = Holdings()
    assert holdings.held_tokens(HERE, levels(0)) == 0
    holdings.sent(HERE, levels(0), 3_000)
    assert holdings.held_tokens(HERE, levels(0)) == 6_000
    assert holdings.held_tokens(HERE, levels(1)) == 2_000
    assert holdings.held_tokens(Place("e", "4"), levels(0)) == 0
    assert holdings.held_tokens(Place("f", "3"), levels(0)) == 0


def test_workspaces_that_are_isolated_share_nothing() -> None:
    holdings = Holdings()
    holdings.sent(HERE, levels(0, scope="a"), 0)
    assert holdings.held_tokens(HERE, levels(0, scope="b")) == 0
    assert holdings.held_tokens(HERE, levels(0)) == 0


def test_the_least_recently_used_leaves_first_and_own_parts_take_room_too() -> None:
    holdings = Holdings()
    for lot in range(4):
        holdings.sent(HERE, levels(lot), 3_000)
    holdings.sent(HERE, levels(0), 3_000)
    # The guide, lots 3 and 0, and what came between and after them.
    holdings.make_room(HERE, 2_000 + 2 * 4_000 + 2 * 3_000)
    held = [holdings.held_tokens(HERE, levels(lot)) for lot in range(4)]
    assert held == [6_000, 2_000, 2_000, 6_000]


def test_a_life_that_is_over_holds_nothing() -> None:
    holdings = Holdings()
    holdings.sent(HERE, levels(0), 0)
    holdings.forget("e")
    assert holdings.held_tokens(HERE, levels(0)) == 0
    holdings.make_room(HERE, 0.0)


SOURCES = (
    Source("store", "a", 6_000, 2e-6),
    Source("peer-far", "b", 6_000, 4e-7),
    Source("peer-part", "a", 2_000, 4e-7),
)
FETCHES = {
    "the soonest of those that hold all": (0, "a", SOURCES, 1e-5, "peer-far"),
    "what is held is not fetched": (6_000, "a", SOURCES, 1e-5, None),
    "a part if no one has more": (0, "a", SOURCES[2:], 1e-5, "peer-part"),
    "not if computing is as fast": (0, "a", SOURCES[:1], 1e-6, None),
    "nobody holds anything": (0, "a", (), 1e-5, None),
}


@pytest.mark.parametrize("case", FETCHES)
def test_where_the_rest_of_a_prefix_comes_from(case: str) -> None:
    held, zone, sources, compute_s, wanted = FETCHES[case]
    found = best_fetch(held, zone, sources, compute_s)
    assert (found.address if found else None) == wanted


def test_a_fetch_takes_its_time_by_the_way() -> None:
    near = best_fetch(1_000, "b", SOURCES[1:2], 1e-5)
    far = best_fetch(1_000, "a", SOURCES[1:2], 1e-5)
    assert near is not None and far is not None
    assert near.seconds == pytest.approx(5_000 * 4e-7)
    assert far.seconds == pytest.approx(FAR_TIMES * near.seconds)
    assert move_token_s(18_432, 46.25e9) == pytest.approx(3.99e-7, rel=0.01)
    assert move_token_s(0, 0) > 0


@pytest.mark.parametrize("seed", range(20))
def test_the_rate_of_any_engine_is_found_from_its_first_events(seed: int) -> None:
    """Whatever the engines, expectations are within a quarter of what comes."""
    rng = random.Random(seed)
    true_rate = rng.uniform(20_000, 300_000)
    fixed_s = rng.uniform(0.02, 0.1)
    rate = ComputeRate()
    for _ in range(400):
        tokens = rng.choice((500, 900, 3_000, 9_000, 20_000))
        took_s = (fixed_s + tokens / true_rate) * rng.uniform(0.9, 1.1)
        rate.observed(tokens, took_s)
    for tokens in (900, 9_000, 20_000):
        expected = rate.first_s + tokens / rate.tokens_per_s
        assert expected == pytest.approx(fixed_s + tokens / true_rate, rel=0.25)


def test_the_rate_stays_within_what_engines_can_do() -> None:
    rate = ComputeRate()
    for _ in range(200):
        rate.observed(10 * SHORT_TOKENS, 0.0)
    assert rate.tokens_per_s == MOST_TOKENS_PER_S


GOAL = Goal(objective_s=0.3, rank=1, gap_s=0.25)
PATIENCES = [
    # queue, own, waited -> its caller will have left
    (1.0, 0.1, 0.0, False),
    (1.9, 0.1, 0.0, True),
    (1.0, 0.1, 0.8, True),
    (0.0, 0.1, 1.8, True),
]


@pytest.mark.parametrize("case", PATIENCES)
def test_whose_caller_will_have_left_is_told_so(
    case: tuple[float, float, float, bool],
) -> None:
    queued, own, waited, expected = case
    assert is_hopeless(queued, own, waited, GOAL) is expected


def test_patience_follows_the_goals_of_a_route() -> None:
    assert GOAL.patience_s == 2.0
    assert Goal(0.9, 0).patience_s == pytest.approx(3.6)
    assert Goal(0.3, 0, gap_s=0.5).patience_s == 4.0
