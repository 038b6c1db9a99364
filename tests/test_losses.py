"""Lost requests and their causes, derived from logs."""

from __future__ import annotations

from typing import Any

import pytest

from gooseberrydale.process.log_lines import read_lines
from gooseberrydale.process.losses import Cause, Loss, find_lost, render
from tests.test_explain import line

PREFERRED = "u1 rank=0 requests=0.0 prefill=0 usable=True stored=False yields=False"
NOT_PREFERRED = (
    "u1 rank=2 requests=1.0 prefill=10 usable=True stored=False yields=False"
)
BUSY = "u1 rank=0 requests=9.0 prefill=9000 usable=True stored=True yields=False"
YIELDING = "u1 rank=0 requests=9.0 prefill=0 usable=True stored=True yields=True"
CHANGING = "u1 rank=0 requests=0.0 prefill=0 usable=False stored=True yields=False"

BEHIND_URGENT = {"rank": 2, "queued_behind": 9, "behind_rank": 0}
BEHIND_EQUAL = {"rank": 2, "queued_behind": 9, "behind_rank": 2}


def ended(outcome: str, first_ms: float = 0.0, **fields: Any) -> str:
    content = {
        "request_id": "r",
        "route": "notes",
        "objective_ms": 300.0,
        "outcome": outcome,
        "sends": [PREFERRED],
        "first_ms": first_ms,
        "took_ms": max(first_ms, 100.0),
        "held_ms": 0.0,
        "status": 200 if first_ms else 0,
        **fields,
    }
    return line(20.0, "g1", "request", **content)


CASES: dict[str, tuple[str, Loss, Cause]] = {
    "request terminates its upstreams": (
        ended("ends_upstreams", sends=[]),
        Loss.REFUSED,
        Cause.QUARANTINED,
    ),
    "late behind others": (
        ended("answered", 900.0, sends=[BUSY]),
        Loss.LATE,
        Cause.QUEUED,
    ),
    "late behind others after yielding": (
        ended("answered", 900.0, sends=[YIELDING]),
        Loss.LATE,
        Cause.QUEUED,
    ),
    "late where its prefix is not cached": (
        ended("answered", 400.0, sends=[NOT_PREFERRED]),
        Loss.LATE,
        Cause.PREFIX_RECOMPUTED,
    ),
    "late after being held": (
        ended("answered", 500.0, held_ms=400.0),
        Loss.LATE,
        Cause.CHANGING_WEIGHTS,
    ),
    "caller left while weights changed": (
        ended("caller_gone", sends=[CHANGING]),
        Loss.FAILED,
        Cause.CHANGING_WEIGHTS,
    ),
    "caller left before a send": (
        ended("caller_gone", sends=[]),
        Loss.FAILED,
        Cause.LEFT,
    ),
    "sent again after a lost attempt": (
        ended("answered", 700.0, sends=[PREFERRED, PREFERRED]),
        Loss.LATE,
        Cause.INSTANCE_GONE,
    ),
    "refused without capacity": (
        ended("no_room", sends=[]),
        Loss.REFUSED,
        Cause.QUEUED,
    ),
    "refused behind more urgent work": (
        ended("no_room", sends=[], **BEHIND_URGENT),
        Loss.REFUSED,
        Cause.BEHIND_URGENT,
    ),
    "refused behind its own rank": (
        ended("no_room", sends=[], **BEHIND_EQUAL),
        Loss.REFUSED,
        Cause.QUEUED,
    ),
    "refused over its share": (
        ended("no_room", sends=[], rank=2, over_share=True),
        Loss.REFUSED,
        Cause.OVER_SHARE,
    ),
    "declined by its gateway": (
        ended("gateway_overloaded", sends=[]),
        Loss.REFUSED,
        Cause.GATEWAY_OVERLOADED,
    ),
    "refused as its upstreams are slow": (
        ended("no_room", sends=[], slowness=2.5),
        Loss.REFUSED,
        Cause.UPSTREAM_SLOWED,
    ),
    "late behind more urgent work": (
        ended("answered", 500.0, held_ms=400.0, **BEHIND_URGENT),
        Loss.LATE,
        Cause.BEHIND_URGENT,
    ),
    "late as it was over its share": (
        ended("answered", 500.0, held_ms=400.0, over_share=True, **BEHIND_EQUAL),
        Loss.LATE,
        Cause.OVER_SHARE,
    ),
    "late though hardly held": (
        ended("answered", 500.0, held_ms=20.0, **BEHIND_URGENT),
        Loss.LATE,
        Cause.UNKNOWN,
    ),
    "late at a slow upstream": (
        ended("answered", 500.0, slowness=2.5),
        Loss.LATE,
        Cause.UPSTREAM_SLOWED,
    ),
    "caller left while it waited behind more urgent work": (
        ended("caller_gone", sends=[], **BEHIND_URGENT),
        Loss.FAILED,
        Cause.BEHIND_URGENT,
    ),
    "no document": (ended("not_ready", sends=[]), Loss.REFUSED, Cause.NOT_READY),
    "configuration unconfirmed": (
        ended("config_unconfirmed", sends=[]),
        Loss.REFUSED,
        Cause.CONFIG_UNCONFIRMED,
    ),
    "no upstream": (ended("no_upstream", sends=[]), Loss.REFUSED, Cause.INSTANCE_GONE),
    "service failed": (ended("failed"), Loss.FAILED, Cause.SERVICE),
    "stream cut": (ended("broken", 50.0), Loss.FAILED, Cause.INSTANCE_GONE),
    "no evidence of a cause": (ended("answered", 400.0), Loss.LATE, Cause.UNKNOWN),
}


@pytest.mark.parametrize("case", CASES)
def test_how_and_why_a_request_was_lost(case: str) -> None:
    text, loss, cause = CASES[case]
    [request] = find_lost(read_lines([text]))
    assert (request.route, request.loss, request.cause) == ("notes", loss, cause)


def test_answers_in_time_and_undeclared_requests_are_no_losses() -> None:
    not_lost = [ended("answered", 300.0), ended("no_declared_route"), ended("answered")]
    assert find_lost(read_lines(not_lost)) == []
    assert list(render([])) == ["no request was late, refused or failed"]


def test_upstream_found_silent_soon_after_is_the_cause_of_a_wait() -> None:
    texts = [
        ended("caller_gone", sends=[BUSY]),
        line(21.0, "g1", "upstream_silent", upstream="u1"),
    ]
    assert [request.cause for request in find_lost(read_lines(texts))] == [Cause.SILENT]
    other_gateway = [texts[0], line(21.0, "g2", "upstream_silent", upstream="u1")]
    assert [request.cause for request in find_lost(read_lines(other_gateway))] == [
        Cause.QUEUED
    ]


def test_table_counts_by_window_route_and_cause() -> None:
    texts = [
        ended("failed"),
        ended("failed", took_ms=50.0),
        ended("answered", 900.0, sends=[BUSY]),
        line(20.0, "g1", "other"),
        "no JSON",
    ]
    rendered = list(render(find_lost(read_lines(texts))))
    assert (
        rendered[-1] == "total: the service itself failed: 2, queued behind others: 1"
    )
    assert len(rendered) == 3
    assert "notes  failed 2  the service itself failed: 2" in rendered[0]
