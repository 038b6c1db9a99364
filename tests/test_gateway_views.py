"""What a gateway knows: loads, peers, the store, weights, saves; and its choices."""

from __future__ import annotations

import random

import pytest

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.retry_budgets import RetryBudgets
from gooseberrydale.process.gateway.save_memory import PATIENCE_S, SaveMemory
from gooseberrydale.process.gateway.upstreams import Sought, Upstreams, demand_of
from gooseberrydale.request.gateway_call import Prompt, PromptPart, ReportedLoad
from gooseberrydale.request.placement import (
    Candidate,
    Demand,
    choose,
    homes_in_reach,
)
from gooseberrydale.version.declared import EngineSize, Pool
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.open_runs import NOTICED_S, RunEnd
from gooseberrydale.version.order_marks import mark
from gooseberrydale.version.peer_loads import (
    FORGET_S,
    PeerLoads,
    UpstreamWork,
    WorkReport,
    changes,
)
from gooseberrydale.version.store_view import StoreEvent, StoreNews, StoreView
from gooseberrydale.version.stores import Stores
from gooseberrydale.version.upstream_load import Load, UpstreamLoad, Work
from tests.builders_gateway import POOL, no_limits, prompt, record

IDLE = Load(0.0, 0.0, 0.0)
GUIDE, LOT = PromptPart("guide", 2_000), PromptPart("lot", 4_000)


def report(
    name: str, seq: int, *works: UpstreamWork, incarnation: str = "1"
) -> WorkReport:
    return WorkReport(name, incarnation, seq, works)


def test_peers_work_adds_up_and_the_newest_report_counts() -> None:
    loads = PeerLoads()
    assert loads.take(report("g2", 1, UpstreamWork("u1", 2, 100, 200)), 0.0)
    assert loads.take(report("g3", 1, UpstreamWork("u1", 1, 10, 20)), 0.0)
    assert loads.take(report("g2", 3, UpstreamWork("u1", 1, 50, 60)), 0.1)
    assert not loads.take(report("g2", 2, UpstreamWork("u1", 9, 9, 9)), 0.2)
    totals = loads.at("u1")
    assert (totals.requests, totals.prefill_tokens, totals.kv_tokens) == (2, 60, 80)
    assert loads.take(report("g2", 1, incarnation="2"), 0.3)
    assert loads.at("u1").requests == 1


def test_changes_alone_replace_what_was_told_of_those_upstreams() -> None:
    loads = PeerLoads()
    both = UpstreamWork("u1", 2, 100, 200), UpstreamWork("u2", 1, 10, 20)
    loads.take(report("g2", 1, *both), 0.0)
    ended = WorkReport("g2", "1", 2, (UpstreamWork("u2", 0, 0, 0),), whole=False)
    assert loads.take(ended, 0.1)
    assert (loads.at("u1").requests, loads.at("u2").requests) == (2, 0)
    grown = WorkReport("g2", "1", 3, (UpstreamWork("u1", 5, 300, 400),), whole=False)
    assert loads.take(grown, 0.2)
    assert (loads.at("u1").requests, loads.at("u1").kv_tokens) == (5, 400)
    # A whole report makes up for changes that were lost.
    loads.take(report("g2", 9, UpstreamWork("u3", 1, 0, 0)), 0.3)
    assert [loads.at(name).requests for name in ("u1", "u2", "u3")] == [0, 0, 1]
    # Changes of another incarnation say that nothing of the earlier one goes on.
    loads.take(WorkReport("g2", "2", 1, (both[1],), whole=False), 0.4)
    assert [loads.at(name).requests for name in ("u1", "u2", "u3")] == [0, 1, 0]


def test_what_is_told_of_changes() -> None:
    told = {"u1": UpstreamWork("u1", 1, 2, 3), "u2": UpstreamWork("u2", 1, 2, 3)}
    works = {"u2": told["u2"], "u3": UpstreamWork("u3", 4, 5, 6)}
    assert changes(told, works) == (UpstreamWork("u1", 0, 0, 0), works["u3"])
    assert changes(works, works) == ()


def test_a_silent_gateway_is_forgotten() -> None:
    loads = PeerLoads()
    loads.take(report("g2", 1, UpstreamWork("u1", 2, 0, 0)), 0.0)
    loads.expire(FORGET_S - 0.1)
    assert loads.at("u1").requests == 2
    loads.expire(FORGET_S)
    assert (loads.at("u1").requests, len(loads)) == (0, 0)


def test_own_work_is_exact_and_reports_of_others_fade() -> None:
    load = UpstreamLoad()
    work = Work(1_000, 1_500)
    load.began(work)
    load.reported(ReportedLoad(running=4, waiting=1, slots=6), 0.0)
    assert load.load(0.0, None).requests == 5
    assert load.load(60.0, None).requests == pytest.approx(1)
    load.first_part(work)
    assert load.load(60.0, None).prefill_tokens == 0
    load.ended(work, prefilled=True)
    assert load.own == (0, 0, 0)


def test_a_dead_upstream_is_left_alone_for_longer_each_time() -> None:
    load = UpstreamLoad()
    pauses = []
    for _ in range(6):
        load.unreachable(0.0)
        pauses.append(load.suspect_until)
    assert pauses == [0.5, 1.0, 2.0, 4.0, 6.0, 6.0]
    load.answered(failed=False)
    assert load.suspect_until < 0


def test_the_store_holds_whole_parts_in_order_of_one_incarnation() -> None:
    view = StoreView("store")
    parts = (GUIDE, LOT)
    assert not view.lacks("s", parts)  # it is not known to be there
    events = (StoreEvent("s", "guide", 2_000), StoreEvent("s", "lot", 3_999))
    view.take(StoreNews("1", events))
    assert view.held_tokens("s", parts) == 2_000
    assert view.lacks("s", parts)
    view.take(StoreNews("1", (StoreEvent("s", "lot", 4_000),)))
    assert (view.held_tokens("s", parts), view.lacks("s", parts)) == (6_000, False)
    assert view.held_tokens("other salt", parts) == 0
    view.take(StoreNews("1", (StoreEvent("s", "guide", 0),)))
    assert view.held_tokens("s", parts) == 0
    view.lost()
    assert not view.lacks("s", parts)
    view.take(StoreNews("2", ()))
    assert view.held_tokens("s", (LOT,)) == 0


def test_a_whole_list_replaces_what_was_known() -> None:
    view = StoreView("store")
    view.take(StoreNews("1", (StoreEvent("s", "guide", 2_000),)))
    view.take(StoreNews("1", (StoreEvent("s", "lot", 4_000),), whole=True))
    held = [view.held_tokens("s", (part,)) for part in (GUIDE, LOT)]
    assert held == [0, 4_000]


def test_since_when_weights_are_overtaken() -> None:
    weights = NamedWeights()
    weights.note({"m": 1}, 0.0)
    weights.note({"m": 3}, 10.0)
    weights.note({"m": 3}, 12.0)
    weights.note({"m": 4}, 20.0)
    found = [weights.old_for_s("m", version, 25.0) for version in range(5)]
    assert found == [25.0, 15.0, 15.0, 5.0, 0.0]
    assert weights.old_for_s("other", 1, 25.0) == 0.0


def test_a_save_is_asked_for_once_until_it_may_have_failed() -> None:
    saves = SaveMemory()
    times = [0.0, 0.1, PATIENCE_S - 0.01, PATIENCE_S, PATIENCE_S + 0.1]
    assert [saves.due("s", "k", now) for now in times] == [
        True,
        False,
        False,
        True,
        False,
    ]
    assert saves.due("other", "k", 0.1)


def test_retry_slack_is_shared_by_the_gateways_that_are_known() -> None:
    known = [0]
    cfg = GatewayCfg(retry_ratio=0.0, retry_slack=80.0, gateways=8)
    budgets = RetryBudgets(cfg, lambda: max(cfg.gateways, known[0]))

    def burst() -> int:
        budget = budgets.of("fresh" + str(known[0]))
        return sum(budget.spend(0.0) for _ in range(100))

    few = burst()
    known[0] = 40
    many = burst()
    # All gateways together stay within the number, also if each spends its burst.
    assert few * 8 <= 80 and many * 40 <= 80 and few > many >= 1


def candidate(name: str, **fields: object) -> Candidate:
    merged = {"load": IDLE, "kv_tokens": 100_000, **fields}
    return Candidate(name, **merged)  # type: ignore[arg-type]


LONG = Demand(own_tokens=3_000, shared_tokens=4_000, common_tokens=2_000)
CHOICES: dict[str, tuple[list[Candidate], str]] = {
    "the home of the prefix": (
        [candidate("away", home_rank=1), candidate("home")],
        "home",
    ),
    "away if the home is busier than computing again takes": (
        [candidate("away", home_rank=1), candidate("home", load=Load(2, 12_000, 0))],
        "away",
    ),
    "away earlier if a store holds the prefix": (
        [
            candidate("away", home_rank=1, stored=True),
            candidate("home", load=Load(1, 3_000, 0)),
        ],
        "away",
    ),
    "not where memory is short": (
        [candidate("full", load=Load(9, 0, 90_000)), candidate("free", home_rank=3)],
        "free",
    ),
    "not where an order is carried out": (
        [candidate("changing", usable=False), candidate("other", home_rank=4)],
        "other",
    ),
    "where an order is carried out if there is no other": (
        [candidate("changing", usable=False)],
        "changing",
    ),
    "on the newest weights": (
        [candidate("old", old_for_s=2.0), candidate("new", home_rank=1, stored=True)],
        "new",
    ),
    "not where answers fail": (
        [candidate("grey", error_share=0.6), candidate("sound", home_rank=1)],
        "sound",
    ),
}


@pytest.mark.parametrize("case", CHOICES)
def test_choice_for_a_long_prompt(case: str) -> None:
    candidates, wanted = CHOICES[case]
    chosen = choose(candidates, LONG, random.Random(1))
    assert chosen is not None and chosen.name == wanted


def test_runs_that_go_on_for_long_avoid_engines_that_will_change_their_weights() -> (
    None
):
    """A short run ends there in time; a long one would be moved."""
    old = candidate("old", old_for_s=0.5)
    new = candidate("new", load=Load(20, 6_000, 40_000))
    for run_s, wanted in ((0.2, "old"), (1.6, "new")):
        demand = Demand(own_tokens=800, new_tokens=900, run_s=run_s)
        chosen = choose([old, new], demand, random.Random(1))
        assert chosen is not None and chosen.name == wanted


def test_homes_are_counted_among_those_that_can_be_one_now() -> None:
    found = homes_in_reach(
        [
            candidate("changing", home_rank=0, weights="1", usable=False),
            candidate("old", home_rank=1, weights="1"),
            candidate("new", home_rank=3, weights="2"),
            candidate("older", home_rank=2, weights="1"),
        ]
    )
    ranks = {one.name: one.home_rank for one in found}
    assert ranks == {"old": 0, "older": 1, "changing": 2, "new": 0}


def test_plain_calls_go_where_a_place_is_free() -> None:
    busy = candidate("busy", slots=6, load=Load(6, 0, 0))
    free = candidate("free", slots=6, load=Load(5, 0, 0), far=True)
    chosen = choose([busy, free], Demand(), random.Random(1))
    assert chosen is not None and chosen.name == "free"
    assert choose([], Demand(), random.Random(1)) is None


def upstreams(directory: Directory, weights: NamedWeights | None = None) -> Upstreams:
    return Upstreams(
        directory,
        "local",
        random.Random(1),
        PeerLoads(),
        weights or NamedWeights(),
        8.0,
        Stores(),
        EndedIncarnations(),
        no_limits(),
    )


def names(found: Upstreams, asked: Prompt | None, now: float) -> dict[str, Candidate]:
    pool = Pool(POOL, 10, EngineSize(48, 100_000))
    sought = Sought(pool, asked, "")
    return {one.name: one for _, one in found.candidates(sought, now)}


def test_engines_on_weights_overtaken_for_too_long_get_nothing() -> None:
    directory, weights = Directory(), NamedWeights()
    for name, version in [("old", "1"), ("new", "2")]:
        directory.offer(record(name, model="m", weights_version=version), 0.0)
    found = upstreams(directory, weights)
    weights.note({"m": 1}, 0.0)
    weights.note({"m": 2}, 1.0)
    asked = prompt(("guide", 100))
    # Half a second before work could still begin too late, after 2.4 s inside.
    assert names(found, asked, 6.4).keys() == {"old", "new"}
    assert names(found, asked, 6.6).keys() == {"new"}


def test_every_process_finds_the_same_home_of_a_prefix() -> None:
    directory = Directory()
    for number in range(9):
        directory.offer(record(f"u{number}", model="m"), 0.0)
    asked = prompt(("guide", 2_000), ("lot", 4_000))
    homes = set()
    for _ in range(3):
        found = names(upstreams(directory), asked, 1.0)
        homes.add(next(name for name, one in found.items() if one.home_rank == 0))
    assert len(homes) == 1


def test_a_marked_upstream_is_not_usable_until_the_mark_ends() -> None:
    directory = Directory()
    directory.offer(record("u1", model="m"), 0.0)
    found = upstreams(directory)
    asked = prompt(("guide", 100))
    directory.offer(mark("u1", term=3, seq=1), 0.0)
    assert not names(found, asked, 0.1)["u1"].usable
    directory.offer(mark("u1", term=3, seq=2, over=True), 0.2)
    assert names(found, asked, 0.3)["u1"].usable
    # A mark of an earlier leader that comes late changes nothing.
    directory.offer(mark("u1", term=2, seq=9), 0.4)
    assert names(found, asked, 0.5)["u1"].usable


def test_a_prompt_is_split_into_what_lies_everywhere_at_home_and_its_own() -> None:
    asked = prompt(("guide", 2_000), ("lot", 4_000), own=300, new=20)
    demand = demand_of(asked)
    assert (demand.common_tokens, demand.shared_tokens) == (2_000, 4_000)
    assert (demand.own_tokens, demand.tokens) == (300, 6_320)
    assert demand_of(None).is_prompt is False


def test_work_of_gateways_that_are_not_heard_is_spread_evenly() -> None:
    """Taken times their number where it lies, one prompt would fill an idle engine."""
    directory, peers = Directory(), PeerLoads()
    for number in range(4):
        directory.offer(record(f"u{number}", model="m"), 0.0)
    peers.take(report("g2", 1, UpstreamWork("u1", 2, 400, 8_000)), 0.0)
    view = Upstreams(
        *(directory, "local", random.Random(1), peers, NamedWeights(), 8.0, Stores()),
        EndedIncarnations(),
        no_limits(),
    )
    asked = prompt(("guide", 100), ("lot", 100))
    assert names(view, asked, 0.0)["u0"].load == IDLE
    peers.note_unheard(6, 1)
    found = names(view, asked, 0.0)
    assert found["u0"].load == Load(3.0, 600.0, 12_000.0)
    assert found["u1"].load == Load(5.0, 1_000.0, 20_000.0)


def test_an_upstream_is_asked_at_once_when_its_connections_break() -> None:
    """However many break together, which makes the pause after them a long one.

    Asked later, it may be back as another incarnation, and what ended it is not known.
    """
    directory = Directory()
    directory.offer(record("u1"), 0.0)
    view = upstreams(directory)
    view.records(POOL, 0.0)
    load = view.load_of("u1")
    runs = [load.runs.began(bytes(16)) for _ in range(8)]
    for run in runs:
        load.unreachable(10.0)
        view.run_ended("u1", load, run, 10.0, RunEnd.BROKE)
    assert load.suspect_until > 10.0 + NOTICED_S
    assert [one.name for one in view.doubtful(10.1)] == ["u1"]
    assert view.doubtful(10.2) == []


@pytest.mark.parametrize("leaving", [False, True])
def test_an_upstream_that_has_said_that_it_leaves_ends_by_itself(leaving: bool) -> None:
    directory = Directory()
    directory.offer(record("u1"), 0.0)
    view = upstreams(directory)
    view.records(POOL, 0.0)
    load = view.load_of("u1")
    load.runs.began(bytes(16))
    directory.offer(record("u1", seq=2, leaving=leaving), 1.0)
    view.ended("u1", load, 2.0, "refused")
    assert len(view.ended_incarnations) == int(not leaving)


def test_a_limit_holds_while_the_announcement_of_its_upstream_lapses() -> None:
    directory = Directory()
    view = upstreams(directory)
    directory.offer(record("u1", lease_s=2.0), 0.0)
    directory.offer(record("u2"), 0.0)
    assert names(view, None, 0.0).keys() == {"u1", "u2"}
    view.limited("u1", 0.0, 0.5)
    assert names(view, None, 4.0).keys() == {"u2"}
    view.sweep(5.0)
    directory.offer(record("u1", seq=2), 6.0)
    assert names(view, None, 6.0).keys() == {"u2"}


def test_a_limit_is_not_that_of_the_next_incarnation() -> None:
    directory = Directory()
    view = upstreams(directory)
    directory.offer(record("u1", incarnation="1"), 0.0)
    assert names(view, None, 0.0).keys() == {"u1"}
    view.limited("u1", 0.0, 0.5)
    assert names(view, None, 1.0).keys() == set()
    directory.offer(record("u1", incarnation="2"), 1.0)
    assert names(view, None, 1.0).keys() == {"u1"}


@pytest.mark.parametrize("asked", ["back off", "leaving"])
def test_what_an_upstream_asked_for_holds_while_its_announcement_lapses(
    asked: str,
) -> None:
    directory = Directory()
    view = upstreams(directory)
    directory.offer(record("u1", lease_s=2.0), 0.0)
    directory.offer(record("u2"), 0.0)
    assert names(view, None, 0.0).keys() == {"u1", "u2"}
    if asked == "back off":
        view.back_off("u1", 8.0, 0.5)
    else:
        view.leaving("u1", 0.5)
    assert names(view, None, 4.0).keys() == {"u2"}
    view.sweep(5.0)
    directory.offer(record("u1", seq=2), 6.0)
    assert names(view, None, 6.0).keys() == {"u2"}
