"""Tests of the load generator, the client and the figures of the measurements."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
from collections.abc import AsyncIterator

import msgspec
import pytest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from gooseberrydale.example.answers import answer_text
from gooseberrydale.example.app_server import AppServer
from gooseberrydale.example.prompts import parse_prompt
from measure.client import Answer, CallAnswer, Caller, Outcome, Target
from measure.figures import Figures, compute_figures, ideal_cached_tokens, percentiles
from measure.fit import fit
from measure.load import LoadResult
from measure.table import figures_table
from measure.workload import PromptRequest, ServiceCall, Shape, calls, prompts

SHAPE = Shape(warm_up_s=0.0, guide_tokens=40, lot_tokens=20, question_tokens=10)


def ask(
    name: str = "q", guide: str = "g", lot: str = "l", due_s: float = 0.0
) -> PromptRequest:
    return PromptRequest(due_s, name, 0, guide, lot, SHAPE)


def complete_answer(of: PromptRequest) -> Answer:
    prompt = parse_prompt(msgspec.json.encode(of.body("m")), chat=True).unwrap()
    text = answer_text(prompt.digest, prompt.answer_tokens)
    return Answer(of, Outcome.WHOLE, text=text, ttft_s=0.5, prompt_tokens=70)


def call(name: str, outcome: Outcome, not_run: bool | None = None) -> CallAnswer:
    service_call = ServiceCall(0.0, name, 0, keyed=True)
    return CallAnswer(service_call, name.encode(), outcome, not_run=not_run)


def service_record(*names: str) -> dict[str, object]:
    digests = [hashlib.sha256(name.encode()).hexdigest() for name in names]
    return {"runs": [{"body_digest": digest} for digest in digests]}


def engine_run(request_id: str, state: str = "finished", first: int = 0):
    return {"request_id": request_id, "state": state, "first_index": first}


def figures_of(answers=(), call_answers=(), engine_runs=(), service_runs=()) -> Figures:
    result = LoadResult(list(answers), list(call_answers))
    engines = [{"requests": list(engine_runs)}]
    return compute_figures(
        result, 1_000, 60.0, engines, [service_record(*service_runs)]
    )


def test_a_load_is_the_same_for_a_seed_and_its_texts_differ_by_salt():
    shape = Shape(duration_s=20.0)
    load, repeated = prompts(shape, "1", "a"), prompts(shape, "1", "a")
    other = prompts(shape, "1", "b")
    assert load == repeated
    assert [(a.due_s, a.workspace) for a in load] == [
        (a.due_s, a.workspace) for a in other
    ]
    assert not {a.guide for a in load} & {a.guide for a in other}
    assert [c.due_s for c in calls(shape, "1", "a")] != [
        c.due_s for c in calls(shape, "2", "a")
    ]


def test_hot_lots_shift_during_the_run():
    shape = Shape(duration_s=20.0, prompts_per_s=50.0, hot_share=1.0, shift_s=10.0)
    load = prompts(shape, "1", "a")
    early = {a.lot for a in load if a.due_s < 10.0}
    late = {a.lot for a in load if a.due_s >= 10.0}
    assert len(early) <= shape.hot_lots
    assert early != late


@pytest.mark.parametrize(
    "text, wrong",
    [(None, 0), ("", 1), ("cut", 1), ("more", 1)],
)
def test_an_incomplete_or_different_answer_counts_as_wrong(text, wrong):
    answer = complete_answer(ask())
    changed = {"cut": answer.text[:-1], "more": answer.text + "x", "": ""}
    if text is not None:
        answer.text = changed[text]
    assert figures_of([answer]).wrong == wrong


def test_outcomes_are_counted_separately():
    kinds = [Outcome.REFUSED, Outcome.BROKEN, Outcome.BROKEN, Outcome.LOST]
    result = figures_of([Answer(ask(), kind) for kind in kinds])
    assert (result.asked, result.whole) == (4, 0)
    assert (result.refused, result.broken, result.lost) == (1, 2, 1)


@pytest.mark.parametrize(
    "runs, doubled",
    [
        ([engine_run("a"), engine_run("b")], 0),
        ([engine_run("a"), engine_run("a")], 1),
        ([engine_run("a", "cancelled"), engine_run("a")], 0),
        ([engine_run("a"), engine_run("a", first=7)], 0),
    ],
)
def test_a_request_that_engines_answered_twice_is_counted(runs, doubled):
    assert figures_of(engine_runs=runs).doubled == doubled


@pytest.mark.parametrize(
    "outcome, not_run, ran, field",
    [
        (Outcome.WHOLE, None, 2, "calls_doubled"),
        (Outcome.LOST, None, 2, "calls_doubled"),
        (Outcome.WHOLE, None, 0, "calls_missing"),
        (Outcome.REFUSED, True, 1, "false_refusals"),
    ],
)
def test_answers_that_contradict_the_record_of_the_service_are_counted(
    outcome, not_run, ran, field
):
    answer = call("a", outcome, not_run)
    result = dataclasses.asdict(figures_of((), [answer], (), ["a"] * ran))
    faults = ("calls_doubled", "calls_missing", "false_refusals")
    assert {name: result[name] for name in faults} == {
        name: int(name == field) for name in faults
    }


def test_the_ideal_cache_holds_each_prefix_once_and_evicts_unused_ones():
    load = [
        complete_answer(ask("q1", due_s=0.0)),
        complete_answer(ask("q2", due_s=1.0)),
        complete_answer(ask("q3", lot="other", due_s=2.0)),
    ]
    assert ideal_cached_tokens(load, 1_000, 60.0) == 60 + 40
    assert ideal_cached_tokens(load, 1_000, 0.5) == 0
    assert ideal_cached_tokens(load, 0, 60.0) == 0


def test_wasted_tokens_are_those_that_the_ideal_cache_held():
    load = [
        complete_answer(ask("q1", due_s=0.0)),
        complete_answer(ask("q2", due_s=1.0)),
    ]
    load[1].cached_tokens = 40
    assert figures_of(load).wasted_tokens == 20


def test_the_warm_up_fills_caches_but_is_not_counted():
    shape = dataclasses.replace(SHAPE, warm_up_s=1.0)
    cold = complete_answer(dataclasses.replace(ask("q1", due_s=0.0), shape=shape))
    warm = complete_answer(dataclasses.replace(ask("q2", due_s=1.0), shape=shape))
    cold.ttft_s, warm.ttft_s = 9.0, 1.0
    cold.cached_tokens = 70
    result = figures_of([cold, warm])
    assert (result.asked, result.whole, result.hit_rate) == (2, 2, 0.0)
    assert result.first_p99 == pytest.approx(1.0, rel=0.01)
    assert ideal_cached_tokens([cold, warm], 1_000, 60.0) == 60


def test_percentiles_are_in_seconds():
    p50, p95, p99 = percentiles([i / 100 for i in range(1, 101)])
    assert (p50, p95, p99) == pytest.approx((0.50, 0.95, 0.99), rel=0.01)


def test_the_table_compares_with_the_best_baseline():
    base = figures_of([complete_answer(ask())])
    runs = {
        "affinity": [dataclasses.replace(base, hit_rate=0.9, first_p95=1.0)],
        "random": [dataclasses.replace(base, hit_rate=0.3, first_p95=2.0)],
        "hash-only": [dataclasses.replace(base, hit_rate=0.6, first_p95=4.0)],
    }
    last = figures_table(runs, "affinity").splitlines()[-1].split(" | ")
    assert last[1] == "1.50"
    assert last[3] == "0.50"


def cutting_app(
    events: list[str], cut_after: int, attachable: bool, clean: bool
) -> Starlette:
    """Serve a stream that is interrupted once, and its remainder on reattachment."""

    async def cut() -> AsyncIterator[str]:
        for event in events[:cut_after]:
            yield event
        if not clean:
            raise ConnectionResetError("cut")

    async def start(_req: Request) -> StreamingResponse:
        return StreamingResponse(cut(), media_type="text/event-stream")

    async def attach(req: Request) -> Response:
        if not attachable:
            error = {"error": {"code": "unknown_stream", "not_run": None}}
            return Response(msgspec.json.encode(error), 404)
        rest = events[int(req.headers["last-event-id"]) + 1 :]
        return Response("".join(rest), media_type="text/event-stream")

    return Starlette(
        routes=[
            Route("/v1/chat/completions", start, methods=["POST"]),
            Route("/v1/streams", attach),
        ]
    )


@pytest.mark.parametrize(
    "cut_after, attachable, outcome, text",
    [
        (2, True, Outcome.WHOLE, "one two three "),
        (2, False, Outcome.BROKEN, "one two "),
        (0, True, Outcome.LOST, ""),
    ],
)
@pytest.mark.parametrize("clean", [False, True], ids=["torn", "ended"])
def test_a_caller_reattaches_and_never_reports_a_cut_answer_as_complete(
    cut_after, attachable, outcome, text, clean
):
    words = ["one ", "two ", "three "]
    events = [
        f'id: {i}\ndata: {{"choices":[{{"delta":{{"content":"{word}"}}}}]}}\n\n'
        for i, word in enumerate(words)
    ]
    events.append("id: 3\ndata: [DONE]\n\n")

    async def scenario() -> Answer:
        server = AppServer(cutting_app(events, cut_after, attachable, clean))
        await server.start()
        caller = Caller(Target((server.url,), "answers", "bids", ("key",)))
        try:
            return await caller.send_prompt(ask(), 0, b"{}")
        finally:
            await caller.close()
            await server.close()

    answer = asyncio.run(scenario())
    assert (answer.outcome, answer.text) == (outcome, text)


@pytest.mark.parametrize("keyed", [False, True])
def test_a_call_is_sent_to_another_entry_if_one_refuses_the_connection(keyed):
    async def scenario() -> CallAnswer:
        async def bids(_req: Request) -> Response:
            return Response(b"{}")

        path = "/services/bids/bids"
        server = AppServer(Starlette(routes=[Route(path, bids, methods=["POST"])]))
        closed_server = AppServer(Starlette())
        await closed_server.start()
        await closed_server.close()
        await server.start()
        caller = Caller(
            Target((closed_server.url, server.url), "answers", "bids", ("key",))
        )
        try:
            return await caller.send_call(ServiceCall(0.0, "a", 0, keyed), 0)
        finally:
            await caller.close()
            await server.close()

    assert asyncio.run(scenario()).outcome is Outcome.WHOLE


def test_a_fitted_line_shows_its_slope_and_how_well_it_fits():
    line = fit([0, 1, 2, 3], [5.0, 7.0, 9.0, 11.0])
    assert (line.slope, line.intercept, line.r2) == pytest.approx((2.0, 5.0, 1.0))
    assert (line.low, line.high) == pytest.approx((2.0, 2.0))
    noisy = fit([0, 1, 2, 3], [0.0, 0.0, 0.0, 9.0])
    assert noisy.r2 < 0.7
    assert noisy.low == 0.0 < noisy.slope < noisy.high


def test_a_fit_needs_three_sizes():
    with pytest.raises(ValueError):
        fit([0, 1, 0], [1.0, 2.0, 1.0])
