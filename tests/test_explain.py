"""The explanation of one request from the logs of several processes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from loguru import logger

from gooseberrydale.log_events import (
    LogEvent,
    RequestEnded,
    SendEnded,
    UpstreamSuspected,
    all_events,
    emit,
)
from gooseberrydale.process import logs
from gooseberrydale.process.cfg import LogCfg
from gooseberrydale.process.explain import OUTCOME_TEXTS, render, trace_request
from gooseberrydale.process.log_lines import read_lines
from gooseberrydale.process.queue_waits import MAX_SHOWN
from gooseberrydale.request.attempt_end import End

OPERATIONS = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
CHOICE = "u1 rank=0 requests=0.0"


def line(second: float, node: str, event: str, **fields: Any) -> str:
    time = f"2026-05-01T10:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "name": node, "event": event, **fields})


def request(second: float, outcome: str, **fields: Any) -> str:
    content = {"request_id": "r1", "outcome": outcome, "sends": [CHOICE], **fields}
    return line(second, "g1", "request", **content)


def test_trace_contains_events_of_its_gateway_and_upstream_in_order() -> None:
    texts = [
        request(20.0, "refused", status=503),
        line(19.9, "g1", "send_ended", request_id="r1", upstream="u1", end="refused"),
        "2.1 c1 | " + line(19.5, "c1", "weights_order", upstream="u1", version=3),
        line(19.6, "c1", "weights_order", upstream="u2", version=3),
        line(12.0, "g1", "document_in_force", number=7),
        line(12.0, "g2", "document_in_force", number=6),
        line(19.0, "g1", "request", request_id="r2", outcome="answered"),
        line(1.0, "g1", "serving"),
        "no JSON {at all",
        "",
    ]
    trace = trace_request(read_lines(texts), "r1")
    events = [(item.node, item.event) for item in trace.lines]
    assert events == [
        ("g1", "document_in_force"),
        ("c1", "weights_order"),
        ("g1", "send_ended"),
        ("g1", "request"),
    ]
    rendered = list(render(trace))
    assert rendered[1].startswith("   -0.500 s  c1  weights_order  upstream=u1")
    assert rendered[-1].startswith("cause: the upstreams refused it without running it")


SEND_ENDS: dict[str, tuple[dict[str, Any], str]] = {
    "the only upstream": ({"others": False}, "no other upstream was left"),
    "no retries left": ({"others": True, "retries": 0.4}, "retry budget was exhausted"),
}


@pytest.mark.parametrize("case", SEND_ENDS)
def test_cause_says_why_a_request_was_not_sent_again(case: str) -> None:
    fields, expected = SEND_ENDS[case]
    ended = line(
        19.9, "g1", "send_ended", request_id="r1", upstream="u1", end="lost", **fields
    )
    trace = trace_request(read_lines([request(20.0, "lost"), ended]), "r1")
    assert "it may have run" in trace.cause and expected in trace.cause


def test_missing_end_of_a_request_is_explained() -> None:
    ended = line(19.9, "g1", "send_ended", request_id="r1", upstream="u1", end="lost")
    assert "gateway itself terminated" in trace_request(read_lines([ended]), "r1").cause
    assert list(render(trace_request(read_lines([ended]), "other"))) == [
        "no log line has the request id other"
    ]


def test_refusal_for_lack_of_capacity_shows_upstreams_that_accepted_no_work() -> None:
    texts = [
        request(20.0, "no_room", status=503, sends=[]),
        line(18.0, "g1", "upstream_limited", upstream="u1", per_s=1.6),
        line(18.5, "g1", "upstream_backoff", upstream="u2", for_ms=3000.0),
        line(19.0, "g1", "upstream_leaving", upstream="u3"),
        line(19.0, "g2", "upstream_leaving", upstream="u4"),
    ]
    trace = trace_request(read_lines(texts), "r1")
    assert [item.event for item in trace.lines] == [
        *("upstream_limited", "upstream_backoff", "upstream_leaving", "request"),
    ]


def test_quarantined_request_shows_the_upstreams_it_terminated() -> None:
    """Upstreams that terminated long before the request are shown too."""
    ended = {"waiting": ["req-a", "req-b"], "answering": []}
    texts = [
        line(0.0, "g1", "upstream_ended", upstream="u1", **ended),
        line(0.5, "g1", "upstream_ended", upstream="u2", waiting=[], answering=["x"]),
        line(1.0, "g2", "upstream_ended", upstream="u3", **ended),
        line(
            *(50.0, "g1", "request_quarantined"),
            **{"request_id": "r1", "digest": "req-a", "ended": ["u1", "u3"]},
        ),
        request(50.0, "ends_upstreams", status=503, sends=[], digest="req-a"),
    ]
    trace = trace_request(read_lines(texts), "r1")
    upstreams = [item.fields.get("upstream") for item in trace.lines[:2]]
    assert upstreams == ["u1", "u3"]
    assert trace.cause.endswith("(ended: u1, u3)")


def test_quarantined_parts_show_the_upstreams_that_ended_under_prompts_with_them() -> (
    None
):
    prompts = {
        "u1": ["part-g+part-a+part-b"],
        "u2": ["part-g+part-a"],
        "u3": ["part-h+part-a", "part-b+part-a"],
    }
    texts = [
        line(
            *(float(at), "g1", "upstream_ended"),
            **{"upstream": name, "waiting": [], "answering": [], "prompts": waited},
        )
        for at, (name, waited) in enumerate(prompts.items())
    ]
    texts.append(
        line(
            *(50.0, "g1", "request_quarantined"),
            **{"request_id": "r1", "digest": "part-a+part-b", "ended": ["u1", "u3"]},
        )
    )
    texts.append(request(50.0, "part_ends_upstreams", status=503, sends=[], digest="r"))
    trace = trace_request(read_lines(texts), "r1")
    upstreams = [item.fields.get("upstream") for item in trace.lines[:2]]
    assert upstreams == ["u1", "u3"]
    assert trace.cause.startswith("upstreams had terminated under a part")


WAITED = {"pool": "engines", "rank": 2, "workspace": "dealers", "took_ms": 500.0}


def test_request_that_waited_shows_those_of_its_gateway_that_went_before_it() -> None:
    """Guards against a list with requests that did not compete with this one."""
    texts = [
        queued(20.1, "urgent", rank=0, took_ms=300.0),
        queued(20.0, "earlier", took_ms=600.0),
        queued(19.9, "within-share", took_ms=200.0),
        queued(20.2, "sent", rank=0, sends=[CHOICE], held_ms=90.0),
        # None of these went before it.
        queued(20.2, "later", took_ms=100.0, over_share=True),
        queued(20.0, "less-urgent", rank=3, took_ms=600.0),
        queued(19.4, "ended-before", rank=0, took_ms=300.0),
        queued(20.5, "began-after", rank=0, took_ms=300.0),
        queued(20.0, "other-pool", rank=0, pool="services"),
        queued(20.0, "at-once", rank=0, took_ms=1.0),
        line(20.0, "g2", "request", request_id="elsewhere", **{**WAITED, "rank": 0}),
        queued(
            *(20.0, "r1"),
            **{
                "outcome": "no_room",
                "over_share": True,
                "queued_behind": 4,
                "behind_rank": 0,
                "backlog_tokens": 51_000.0,
                "decided_ms": 40.0,
            },
        ),
    ]
    trace = trace_request(read_lines(texts), "r1")
    ahead = [wait.request_id for wait in trace.ahead]
    assert ahead == ["sent", "urgent", "earlier", "within-share"]
    rendered = list(render(trace))
    assert (
        "waited 500.0 ms at g1 for pool engines, first behind 4 requests; the fleet"
        " had 51000 tokens ahead (reported 40 ms before)"
    ) in rendered
    assert (
        "  behind sent  rank 0    dealers within its share  waited 90.0 ms, sent"
        in rendered
    )
    assert "dealers was over its share" in trace.cause
    assert "of rank 2, it waited behind 4 requests, the most urgent of rank 0" in (
        trace.cause
    )


def queued(second: float, request_id: str, **fields: Any) -> str:
    content = {**WAITED, "sends": [], "outcome": "no_room", **fields}
    return line(second, "g1", "request", request_id=request_id, **content)


def test_long_list_of_requests_ahead_is_cut() -> None:
    ahead = [queued(20.0, f"u{n}", rank=0) for n in range(MAX_SHOWN + 5)]
    own = queued(20.0, "r1", queued_behind=15, behind_rank=0)
    rendered = list(render(trace_request(read_lines([*ahead, own]), "r1")))
    assert sum("  behind u" in text for text in rendered) == MAX_SHOWN
    assert "  and 5 more" in rendered


def test_request_that_was_held_for_another_reason_waited_behind_nobody() -> None:
    """Guards against blaming competition for a wait for weights."""
    texts = [
        queued(20.0, "urgent", rank=0),
        queued(20.0, "r1", sends=[CHOICE], held_ms=400.0, outcome="answered"),
    ]
    trace = trace_request(read_lines(texts), "r1")
    assert (trace.wait, trace.ahead, trace.cause) == (None, (), "it was answered")


def test_events_of_capacity_are_those_of_the_gateway_the_upstream_and_workspace() -> (
    None
):
    texts = [
        line(18.0, "g1", "capacity_sharing", pool="engines", applies=True),
        line(18.1, "g1", "gateway_overloaded", reason="link", from_rank=2),
        line(18.2, "g1", "workspace_share", workspace="dealers", over=True),
        line(18.3, "g1", "upstream_speed", upstream="u1", factor=0.5),
        line(18.4, "g1", "reservation_owner", upstream="u1", owner="g2"),
        line(18.5, "g1", "workspace_share", workspace="other", over=True),
        line(18.5, "g1", "upstream_speed", upstream="u2", factor=0.5),
        line(18.5, "g2", "upstream_speed", upstream="u1", factor=0.5),
        line(18.5, "g2", "reservation_owner", upstream="u1", owner="g2"),
        line(18.5, "g2", "workspace_share", workspace="dealers", over=True),
        request(20.0, "answered", workspace="dealers", slowness=2.5),
    ]
    trace = trace_request(read_lines(texts), "r1")
    assert [(item.node, item.event) for item in trace.lines[:-1]] == [
        ("g1", "capacity_sharing"),
        ("g1", "gateway_overloaded"),
        ("g1", "workspace_share"),
        ("g1", "upstream_speed"),
        ("g1", "reservation_owner"),
    ]
    assert trace.cause.endswith("(its upstream took 2.5 times as long as usual)")


def test_every_end_of_a_send_has_an_outcome_text() -> None:
    ends = {end.name.lower() for end in End}
    assert ends <= OUTCOME_TEXTS.keys()


def test_every_event_is_documented_for_operators() -> None:
    page = OPERATIONS.read_text()
    missing = [name for name in all_events() if f"`{name}`" not in page]
    assert missing == []


def test_event_names_are_unique() -> None:
    classes = {cls.__qualname__ for cls in LogEvent.__subclasses__()}
    assert len(all_events()) == len(classes)


def test_emitted_events_can_be_parsed(tmp_path: Path) -> None:
    path = tmp_path / "log"
    logs.setup(LogCfg(file=str(path)), logs.Identity("gateway", "g1"))
    emit(UpstreamSuspected("u1", 500.0, 1, "no connection in time"))
    emit(SendEnded("r1", "u1", "not_sent", "GiveUp", False, 100.0, 0, 2.0))
    ended = RequestEnded(
        *(
            "r1",
            "h",
            "/p",
            "route",
            300.0,
            "not_sent",
            [CHOICE],
            503,
            True,
            0.0,
            2.0,
            2.1,
            7,
        )
    )
    emit(ended)
    logger.remove()
    trace = trace_request(read_lines(path.read_text().splitlines()), "r1")
    assert [item.event for item in trace.lines] == [
        "upstream_suspected",
        "send_ended",
        "request",
    ]
    assert "no other upstream was left" in trace.cause
