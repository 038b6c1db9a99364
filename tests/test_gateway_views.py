"""The state on which a gateway bases its choices of upstreams, and the choices."""

from __future__ import annotations

import random

import pytest

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.recent_saves import SAVE_TIMEOUT_S, RecentSaves
from gooseberrydale.process.gateway.retry_budgets import RetryBudgets
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery, demand_of
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.request.gateway_call import Prompt, PromptPart, ReportedLoad
from gooseberrydale.request.placement import (
    Candidate,
    Demand,
    choose,
    rank_preferred,
)
from gooseberrydale.version.declared import EngineSize, Pool
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.open_runs import END_DETECTION_S, RunEnd
from gooseberrydale.version.order_marks import mark
from gooseberrydale.version.peer_loads import (
    REPORT_RETENTION_S,
    PeerLoads,
    UpstreamWork,
    WorkReport,
    changes,
)
from gooseberrydale.version.store_view import StoreEvent, StoreUpdate, StoreView
from gooseberrydale.version.stores import Stores
from gooseberrydale.version.upstream_load import Load, UpstreamLoad, Work
from tests.builders_gateway import POOL, no_limits, prompt, record

IDLE = Load(0.0, 0.0, 0.0)
GUIDE, LOT = PromptPart("guide", 2_000), PromptPart("lot", 4_000)


def report(
    name: str, seq: int, *works: UpstreamWork, incarnation: str = "1"
) -> WorkReport:
    return WorkReport(name, incarnation, seq, works)


def test_work_of_peers_is_summed_from_their_newest_reports() -> None:
    loads = PeerLoads()
    assert loads.merge(report("g2", 1, UpstreamWork("u1", 2, 100, 200)), 0.0)
    assert loads.merge(report("g3", 1, UpstreamWork("u1", 1, 10, 20)), 0.0)
    assert loads.merge(report("g2", 3, UpstreamWork("u1", 1, 50, 60)), 0.1)
    assert not loads.merge(report("g2", 2, UpstreamWork("u1", 9, 9, 9)), 0.2)
    totals = loads.at("u1")
    assert (totals.requests, totals.prefill_tokens, totals.kv_tokens) == (2, 60, 80)
    assert loads.merge(report("g2", 1, incarnation="2"), 0.3)
    assert loads.at("u1").requests == 1


def test_partial_report_replaces_only_the_upstreams_it_names() -> None:
    loads = PeerLoads()
    both_works = UpstreamWork("u1", 2, 100, 200), UpstreamWork("u2", 1, 10, 20)
    loads.merge(report("g2", 1, *both_works), 0.0)
    ended = WorkReport("g2", "1", 2, (UpstreamWork("u2", 0, 0, 0),), whole=False)
    assert loads.merge(ended, 0.1)
    assert (loads.at("u1").requests, loads.at("u2").requests) == (2, 0)
    grown = WorkReport("g2", "1", 3, (UpstreamWork("u1", 5, 300, 400),), whole=False)
    assert loads.merge(grown, 0.2)
    assert (loads.at("u1").requests, loads.at("u1").kv_tokens) == (5, 400)
    # A whole report makes up for lost messages with changes.
    loads.merge(report("g2", 9, UpstreamWork("u3", 1, 0, 0)), 0.3)
    assert [loads.at(name).requests for name in ("u1", "u2", "u3")] == [0, 0, 1]
    # Changes of another incarnation imply that all work of the earlier one has ended.
    loads.merge(WorkReport("g2", "2", 1, (both_works[1],), whole=False), 0.4)
    assert [loads.at(name).requests for name in ("u1", "u2", "u3")] == [0, 1, 0]


def test_changes_between_two_reports() -> None:
    previous = {"u1": UpstreamWork("u1", 1, 2, 3), "u2": UpstreamWork("u2", 1, 2, 3)}
    works = {"u2": previous["u2"], "u3": UpstreamWork("u3", 4, 5, 6)}
    assert changes(previous, works) == (UpstreamWork("u1", 0, 0, 0), works["u3"])
    assert changes(works, works) == ()


def test_work_of_a_silent_gateway_expires() -> None:
    loads = PeerLoads()
    loads.merge(report("g2", 1, UpstreamWork("u1", 2, 0, 0)), 0.0)
    loads.expire(REPORT_RETENTION_S - 0.1)
    assert loads.at("u1").requests == 2
    loads.expire(REPORT_RETENTION_S)
    assert (loads.at("u1").requests, len(loads)) == (0, 0)


def test_own_work_is_exact_and_reported_work_of_others_decays() -> None:
    load = UpstreamLoad()
    work = Work(1_000, 1_500)
    load.began(work)
    load.reported(ReportedLoad(running=4, waiting=1, slots=6), 0.0)
    assert load.load(0.0, None).requests == 5
    assert load.load(60.0, None).requests == pytest.approx(1)
    load.prefill_done(work)
    assert load.load(60.0, None).prefill_tokens == 0
    load.ended(work, prefilled=True)
    assert load.own_work == (0, 0, 0)


def test_pause_after_each_failure_doubles_up_to_a_maximum() -> None:
    load = UpstreamLoad()
    pauses = []
    for _ in range(6):
        load.note_unreachable(0.0)
        pauses.append(load.suspect_until)
    assert pauses == [0.5, 1.0, 2.0, 4.0, 6.0, 6.0]
    load.answered(failed=False)
    assert load.suspect_until < 0


def test_store_view_counts_complete_parts_in_order_of_one_incarnation() -> None:
    view = StoreView("store")
    parts = (GUIDE, LOT)
    assert not view.lacks("s", parts)  # it has not answered yet
    events = (StoreEvent("s", "guide", 2_000), StoreEvent("s", "lot", 3_999))
    view.take(StoreUpdate("1", events))
    assert view.held_tokens("s", parts) == 2_000
    assert view.lacks("s", parts)
    view.take(StoreUpdate("1", (StoreEvent("s", "lot", 4_000),)))
    assert (view.held_tokens("s", parts), view.lacks("s", parts)) == (6_000, False)
    assert view.held_tokens("other salt", parts) == 0
    view.take(StoreUpdate("1", (StoreEvent("s", "guide", 0),)))
    assert view.held_tokens("s", parts) == 0
    view.lost()
    assert not view.lacks("s", parts)
    view.take(StoreUpdate("2", ()))
    assert view.held_tokens("s", (LOT,)) == 0


def test_complete_list_replaces_the_view() -> None:
    view = StoreView("store")
    view.take(StoreUpdate("1", (StoreEvent("s", "guide", 2_000),)))
    view.take(StoreUpdate("1", (StoreEvent("s", "lot", 4_000),), whole=True))
    held = [view.held_tokens("s", (part,)) for part in (GUIDE, LOT)]
    assert held == [0, 4_000]


def test_how_long_weights_have_been_outdated() -> None:
    weights = NamedWeights()
    weights.record({"m": 1}, 0.0)
    weights.record({"m": 3}, 10.0)
    weights.record({"m": 3}, 12.0)
    weights.record({"m": 4}, 20.0)
    ages_s = [weights.outdated_for_s("m", version, 25.0) for version in range(5)]
    assert ages_s == [25.0, 15.0, 15.0, 5.0, 0.0]
    assert weights.outdated_for_s("other", 1, 25.0) == 0.0


def test_save_is_requested_again_only_after_its_timeout() -> None:
    saves = RecentSaves()
    times = [0.0, 0.1, SAVE_TIMEOUT_S - 0.01, SAVE_TIMEOUT_S, SAVE_TIMEOUT_S + 0.1]
    assert [saves.due("s", "k", now) for now in times] == [
        True,
        False,
        False,
        True,
        False,
    ]
    assert saves.due("other", "k", 0.1)


def test_retry_slack_is_shared_by_the_counted_gateways() -> None:
    counted = [0]
    cfg = GatewayCfg(retry_ratio=0.0, retry_slack=80.0, gateways=8)
    budgets = RetryBudgets(cfg, lambda: max(cfg.gateways, counted[0]))

    def burst() -> int:
        budget = budgets.of("fresh" + str(counted[0]))
        return sum(budget.spend(0.0) for _ in range(100))

    few = burst()
    counted[0] = 40
    many = burst()
    # All gateways together stay within the slack, even if each spends its burst.
    assert few * 8 <= 80 and many * 40 <= 80 and few > many >= 1


def candidate(name: str, **fields: object) -> Candidate:
    merged = {"load": IDLE, "kv_tokens": 100_000, **fields}
    return Candidate(name, **merged)  # type: ignore[arg-type]


LONG = Demand(own_tokens=3_000, shared_tokens=4_000, common_tokens=2_000)
CHOICES: dict[str, tuple[list[Candidate], str]] = {
    "the preferred upstream of the prefix": (
        [candidate("other", preference_rank=1), candidate("preferred")],
        "preferred",
    ),
    "another if the preferred one is busier than recomputing takes": (
        [
            candidate("other", preference_rank=1),
            candidate("preferred", load=Load(2, 12_000, 0)),
        ],
        "other",
    ),
    "another sooner if a store holds the prefix": (
        [
            candidate("other", preference_rank=1, stored=True),
            candidate("preferred", load=Load(1, 3_000, 0)),
        ],
        "other",
    ),
    "not where memory is short": (
        [
            candidate("full", load=Load(9, 0, 90_000)),
            candidate("free", preference_rank=3),
        ],
        "free",
    ),
    "not where an order is carried out": (
        [candidate("changing", usable=False), candidate("other", preference_rank=4)],
        "other",
    ),
    "where an order is carried out if there is no other": (
        [candidate("changing", usable=False)],
        "changing",
    ),
    "on the newest weights": (
        [
            candidate("old", outdated_for_s=2.0),
            candidate("new", preference_rank=1, stored=True),
        ],
        "new",
    ),
    "not where answers fail": (
        [candidate("grey", error_rate=0.6), candidate("sound", preference_rank=1)],
        "sound",
    ),
}


@pytest.mark.parametrize("case", CHOICES)
def test_choice_for_long_prompt(case: str) -> None:
    candidates, expected = CHOICES[case]
    chosen = choose(candidates, LONG, random.Random(1))
    assert chosen is not None and chosen.name == expected


def test_long_runs_avoid_engines_that_are_about_to_change_weights() -> None:
    """A short run ends before the change of weights; a long one would delay it."""
    old = candidate("old", outdated_for_s=0.5)
    new = candidate("new", load=Load(20, 6_000, 40_000))
    for run_s, expected in ((0.2, "old"), (1.6, "new")):
        demand = Demand(own_tokens=800, new_tokens=900, run_s=run_s)
        chosen = choose([old, new], demand, random.Random(1))
        assert chosen is not None and chosen.name == expected


def test_preferred_upstreams_are_ranked_among_usable_ones_of_equal_weights() -> None:
    ranked = rank_preferred(
        [
            candidate("changing", preference_rank=0, weights="1", usable=False),
            candidate("old", preference_rank=1, weights="1"),
            candidate("new", preference_rank=3, weights="2"),
            candidate("older", preference_rank=2, weights="1"),
        ]
    )
    ranks = {c.name: c.preference_rank for c in ranked}
    assert ranks == {"old": 0, "older": 1, "changing": 2, "new": 0}


def test_plain_request_goes_to_upstream_with_a_free_slot() -> None:
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


def candidates_by_name(
    view: Upstreams, asked: Prompt | None, now: float
) -> dict[str, Candidate]:
    pool = Pool(POOL, 10, EngineSize(48, 100_000))
    query = UpstreamQuery(pool, asked, "")
    return {c.name: c for _, c in view.candidates(query, now)}


def test_engines_with_weights_outdated_for_too_long_get_nothing() -> None:
    directory, weights = Directory(), NamedWeights()
    for name, version in [("old", "1"), ("new", "2")]:
        directory.offer(record(name, model="m", weights_version=version), 0.0)
    view = upstreams(directory, weights)
    weights.record({"m": 1}, 0.0)
    weights.record({"m": 2}, 1.0)
    asked = prompt(("guide", 100))
    # The weights are outdated since 1.0 s and the bound is 8 s.  As work may wait 2.4 s
    # inside an engine, new work ends 2.5 s earlier, at 6.5 s.
    assert candidates_by_name(view, asked, 6.4).keys() == {"old", "new"}
    assert candidates_by_name(view, asked, 6.6).keys() == {"new"}


def test_every_process_finds_the_same_preferred_upstream_of_a_prefix() -> None:
    directory = Directory()
    for number in range(9):
        directory.offer(record(f"u{number}", model="m"), 0.0)
    asked = prompt(("guide", 2_000), ("lot", 4_000))
    preferred = set()
    for _ in range(3):
        by_name = candidates_by_name(upstreams(directory), asked, 1.0)
        preferred.add(
            next(name for name, c in by_name.items() if c.preference_rank == 0)
        )
    assert len(preferred) == 1


def test_marked_upstream_is_not_usable_until_the_mark_ends() -> None:
    directory = Directory()
    directory.offer(record("u1", model="m"), 0.0)
    view = upstreams(directory)
    asked = prompt(("guide", 100))
    directory.offer(mark("u1", term=3, seq=1), 0.0)
    assert not candidates_by_name(view, asked, 0.1)["u1"].usable
    directory.offer(mark("u1", term=3, seq=2, over=True), 0.2)
    assert candidates_by_name(view, asked, 0.3)["u1"].usable
    # A late mark of an earlier leader is ignored.
    directory.offer(mark("u1", term=2, seq=9), 0.4)
    assert candidates_by_name(view, asked, 0.5)["u1"].usable


def test_prompt_is_split_into_common_shared_and_own_tokens() -> None:
    asked = prompt(("guide", 2_000), ("lot", 4_000), own=300, new=20)
    demand = demand_of(asked)
    assert (demand.common_tokens, demand.shared_tokens) == (2_000, 4_000)
    assert (demand.own_tokens, demand.tokens) == (300, 6_320)
    assert demand_of(None).is_prompt is False


def test_work_of_unreported_gateways_is_spread_evenly() -> None:
    """Scaling each engine's load instead would fill an idle engine with one prompt."""
    directory, peers = Directory(), PeerLoads()
    for number in range(4):
        directory.offer(record(f"u{number}", model="m"), 0.0)
    peers.merge(report("g2", 1, UpstreamWork("u1", 2, 400, 8_000)), 0.0)
    view = Upstreams(
        *(directory, "local", random.Random(1), peers, NamedWeights(), 8.0, Stores()),
        EndedIncarnations(),
        no_limits(),
    )
    asked = prompt(("guide", 100), ("lot", 100))
    assert candidates_by_name(view, asked, 0.0)["u0"].load == IDLE
    peers.note_unreported(6, 1)
    by_name = candidates_by_name(view, asked, 0.0)
    assert by_name["u0"].load == Load(3.0, 600.0, 12_000.0)
    assert by_name["u1"].load == Load(5.0, 1_000.0, 20_000.0)


def test_upstream_is_probed_immediately_after_its_connections_break() -> None:
    """This holds even if many connections break together, which makes the pause long.

    A later probe may reach the next incarnation; then the end of this one, and the
    requests that caused it, would go unnoticed.
    """
    directory = Directory()
    directory.offer(record("u1"), 0.0)
    view = upstreams(directory)
    view.records(POOL, 0.0)
    load = view.load_of("u1")
    runs = [load.runs.began(bytes(16)) for _ in range(8)]
    for run in runs:
        load.note_unreachable(10.0)
        view.run_ended("u1", load, run, 10.0, RunEnd.BROKE)
    assert load.suspect_until > 10.0 + END_DETECTION_S
    assert [due.name for due in view.due_for_probe(10.1)] == ["u1"]
    assert view.due_for_probe(10.2) == []


@pytest.mark.parametrize("leaving", [False, True])
def test_end_of_a_leaving_upstream_is_not_reported_with_its_runs(leaving: bool) -> None:
    directory = Directory()
    directory.offer(record("u1"), 0.0)
    view = upstreams(directory)
    view.records(POOL, 0.0)
    load = view.load_of("u1")
    load.runs.began(bytes(16))
    directory.offer(record("u1", seq=2, leaving=leaving), 1.0)
    view.ended("u1", load, 2.0, "refused")
    assert len(view.ended_incarnations) == int(not leaving)


def test_limit_outlasts_a_lapsed_announcement() -> None:
    directory = Directory()
    view = upstreams(directory)
    directory.offer(record("u1", lease_s=2.0), 0.0)
    directory.offer(record("u2"), 0.0)
    assert candidates_by_name(view, None, 0.0).keys() == {"u1", "u2"}
    view.limited("u1", 0.0, 0.5)
    assert candidates_by_name(view, None, 4.0).keys() == {"u2"}
    view.sweep(5.0)
    directory.offer(record("u1", seq=2), 6.0)
    assert candidates_by_name(view, None, 6.0).keys() == {"u2"}


def test_limit_does_not_apply_to_the_next_incarnation() -> None:
    directory = Directory()
    view = upstreams(directory)
    directory.offer(record("u1", incarnation="1"), 0.0)
    assert candidates_by_name(view, None, 0.0).keys() == {"u1"}
    view.limited("u1", 0.0, 0.5)
    assert candidates_by_name(view, None, 1.0).keys() == set()
    directory.offer(record("u1", incarnation="2"), 1.0)
    assert candidates_by_name(view, None, 1.0).keys() == {"u1"}


@pytest.mark.parametrize("asked", ["back off", "leaving"])
def test_backoff_and_leaving_outlast_a_lapsed_announcement(
    asked: str,
) -> None:
    directory = Directory()
    view = upstreams(directory)
    directory.offer(record("u1", lease_s=2.0), 0.0)
    directory.offer(record("u2"), 0.0)
    assert candidates_by_name(view, None, 0.0).keys() == {"u1", "u2"}
    if asked == "back off":
        view.back_off("u1", 8.0, 0.5)
    else:
        view.leaving("u1", 0.5)
    assert candidates_by_name(view, None, 4.0).keys() == {"u2"}
    view.sweep(5.0)
    directory.offer(record("u1", seq=2), 6.0)
    assert candidates_by_name(view, None, 6.0).keys() == {"u2"}
