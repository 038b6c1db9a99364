"""The story of a request from the logs of several processes."""

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
from gooseberrydale.process.explain import CAUSES, read, story, told
from gooseberrydale.request.attempt_end import End

OPERATIONS = Path(__file__).parent.parent / "docs" / "OPERATIONS.md"
CHOICE = "u1 rank=0 requests=0.0"


def line(second: float, node: str, event: str, **fields: Any) -> str:
    time = f"2026-05-01T10:00:{second:06.3f}+00:00"
    return json.dumps({"time": time, "name": node, "event": event, **fields})


def request(second: float, outcome: str, **fields: Any) -> str:
    content = {"request_id": "r1", "outcome": outcome, "sends": [CHOICE], **fields}
    return line(second, "g1", "request", **content)


def test_what_upstream_and_gateway_did_around_it_is_told_in_order() -> None:
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
    found = story(read(texts), "r1")
    events = [(one.node, one.event) for one in found.lines]
    assert events == [
        ("g1", "document_in_force"),
        ("c1", "weights_order"),
        ("g1", "send_ended"),
        ("g1", "request"),
    ]
    shown = list(told(found))
    assert shown[1].startswith("   -0.500 s  c1  weights_order  upstream=u1")
    assert shown[-1].startswith("cause: the upstreams said that they did not run it")


ENDS: dict[str, tuple[dict[str, Any], str]] = {
    "the only upstream": ({"others": False}, "no other upstream was left"),
    "no retries left": ({"others": True, "retries": 0.4}, "retry budget was spent"),
}


@pytest.mark.parametrize("case", ENDS)
def test_why_it_was_not_sent_again(case: str) -> None:
    fields, expected = ENDS[case]
    ended = line(
        19.9, "g1", "send_ended", request_id="r1", upstream="u1", end="lost", **fields
    )
    found = story(read([request(20.0, "lost"), ended]), "r1")
    assert "it may have run" in found.cause and expected in found.cause


def test_a_request_whose_gateway_ended_has_no_end() -> None:
    ended = line(19.9, "g1", "send_ended", request_id="r1", upstream="u1", end="lost")
    assert "gateway itself ended" in story(read([ended]), "r1").cause
    assert list(told(story(read([ended]), "other"))) == ["no line bears the id other"]


def test_who_found_no_room_is_told_which_upstreams_took_none() -> None:
    texts = [
        request(20.0, "no_room", status=503, sends=[]),
        line(18.0, "g1", "upstream_limited", upstream="u1", per_s=1.6),
        line(18.5, "g1", "upstream_backoff", upstream="u2", for_ms=3000.0),
        line(19.0, "g1", "upstream_leaving", upstream="u3"),
        line(19.0, "g2", "upstream_leaving", upstream="u4"),
    ]
    found = story(read(texts), "r1")
    assert [one.event for one in found.lines] == [
        *("upstream_limited", "upstream_backoff", "upstream_leaving", "request"),
    ]


def test_who_is_quarantined_is_told_which_upstreams_ended_however_long_ago() -> None:
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
    found = story(read(texts), "r1")
    told_of = [one.fields.get("upstream") for one in found.lines[:2]]
    assert told_of == ["u1", "u3"]
    assert found.cause.endswith("(ended: u1, u3)")


def test_every_end_of_a_send_has_a_cause() -> None:
    ends = {end.name.lower() for end in End} - {"moved"}
    assert ends <= CAUSES.keys()


def test_every_event_has_its_row_on_the_operators_page() -> None:
    page = OPERATIONS.read_text()
    missing = [name for name in all_events() if f"`{name}`" not in page]
    assert missing == []


def test_names_of_events_are_unlike() -> None:
    classes = {one.__qualname__ for one in LogEvent.__subclasses__()}
    assert len(all_events()) == len(classes)


def test_what_is_emitted_is_read_again(tmp_path: Path) -> None:
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
    found = story(read(path.read_text().splitlines()), "r1")
    assert [one.event for one in found.lines] == [
        "upstream_suspected",
        "send_ended",
        "request",
    ]
    assert "no other upstream was left" in found.cause
