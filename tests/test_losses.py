"""Which requests were lost, and why, from logs."""

from __future__ import annotations

from typing import Any

import pytest

from gooseberrydale.process.explain import read
from gooseberrydale.process.losses import Cause, Loss, lost, told
from tests.test_explain import line

AT_HOME = "u1 rank=0 requests=0.0 prefill=0 usable=True stored=False yields=False"
AWAY = "u1 rank=2 requests=1.0 prefill=10 usable=True stored=False yields=False"
BUSY = "u1 rank=0 requests=9.0 prefill=9000 usable=True stored=True yields=False"
YIELDS = "u1 rank=0 requests=9.0 prefill=0 usable=True stored=True yields=True"
CHANGING = "u1 rank=0 requests=0.0 prefill=0 usable=False stored=True yields=False"


def ended(outcome: str, first_ms: float = 0.0, **fields: Any) -> str:
    content = {
        "request_id": "r",
        "route": "notes",
        "objective_ms": 300.0,
        "outcome": outcome,
        "sends": [AT_HOME],
        "first_ms": first_ms,
        "took_ms": max(first_ms, 100.0),
        "held_ms": 0.0,
        "status": 200 if first_ms else 0,
        **fields,
    }
    return line(20.0, "g1", "request", **content)


CASES: dict[str, tuple[str, Loss, Cause]] = {
    "it ends its upstreams": (
        ended("ends_upstreams", sends=[]),
        Loss.REFUSED,
        Cause.QUARANTINED,
    ),
    "late behind others": (
        ended("answered", 900.0, sends=[BUSY]),
        Loss.LATE,
        Cause.QUEUED,
    ),
    "late as it gave way": (
        ended("answered", 900.0, sends=[YIELDS]),
        Loss.LATE,
        Cause.QUEUED,
    ),
    "late away from its prefix": (
        ended("answered", 400.0, sends=[AWAY]),
        Loss.LATE,
        Cause.ANEW,
    ),
    "late for waiting": (
        ended("answered", 500.0, held_ms=400.0),
        Loss.LATE,
        Cause.CHANGING,
    ),
    "left at one that changes": (
        ended("caller_gone", sends=[CHANGING]),
        Loss.FAILED,
        Cause.CHANGING,
    ),
    "left before it was sent": (
        ended("caller_gone", sends=[]),
        Loss.FAILED,
        Cause.LEFT,
    ),
    "sent again after a loss": (
        ended("answered", 700.0, sends=[AT_HOME, AT_HOME]),
        Loss.LATE,
        Cause.GONE,
    ),
    "no document": (ended("not_ready", sends=[]), Loss.REFUSED, Cause.NOT_READY),
    "none known": (ended("no_upstream", sends=[]), Loss.REFUSED, Cause.GONE),
    "the service": (ended("failed"), Loss.FAILED, Cause.SERVICE),
    "cut": (ended("broken", 50.0), Loss.FAILED, Cause.GONE),
    "nothing speaks": (ended("answered", 400.0), Loss.LATE, Cause.UNKNOWN),
}


@pytest.mark.parametrize("case", CASES)
def test_how_and_why_a_request_was_lost(case: str) -> None:
    text, loss, cause = CASES[case]
    [found] = lost(read([text]))
    assert (found.route, found.loss, found.cause) == ("notes", loss, cause)


def test_what_was_in_time_or_not_declared_is_no_loss() -> None:
    fine = [ended("answered", 300.0), ended("no_declared_route"), ended("answered")]
    assert lost(read(fine)) == []
    assert list(told([])) == ["no request was late, refused or failed"]


def test_an_upstream_found_silent_soon_after_explains_a_wait() -> None:
    texts = [
        ended("caller_gone", sends=[BUSY]),
        line(21.0, "g1", "upstream_silent", upstream="u1"),
    ]
    assert [one.cause for one in lost(read(texts))] == [Cause.SILENT]
    elsewhere = [texts[0], line(21.0, "g2", "upstream_silent", upstream="u1")]
    assert [one.cause for one in lost(read(elsewhere))] == [Cause.QUEUED]


def test_the_table_counts_by_window_route_and_cause() -> None:
    texts = [
        ended("failed"),
        ended("failed", took_ms=50.0),
        ended("answered", 900.0, sends=[BUSY]),
        line(20.0, "g1", "other"),
        "no JSON",
    ]
    shown = list(told(lost(read(texts))))
    assert shown[-1] == "in all: the service itself failed: 2, queued behind others: 1"
    assert len(shown) == 3
    assert "notes  failed 2  the service itself failed: 2" in shown[0]
