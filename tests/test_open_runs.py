"""Requests that are reported as running at an upstream that ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from gooseberrydale import log_events
from gooseberrydale.process.gateway import upstreams as upstreams_module
from gooseberrydale.request.fingerprint import fingerprint, fingerprint_text
from gooseberrydale.version.open_runs import (
    END_DETECTION_S,
    MAX_BROKEN_RUNS,
    LostRuns,
    OpenRuns,
    RunEnd,
)
from tests.builders_ending import HARMFUL, SLOW, deployment
from tests.builders_gateway import HOST, declared, route
from tests.sidecar_harness import run

A, B = b"a" * 16, b"b" * 16


def test_open_runs_are_reported_once_and_separately_if_being_answered() -> None:
    runs = OpenRuns()
    runs.began(A)
    runs.began(B).answering = True
    assert runs.mark_ended(1.0) == LostRuns((A,), (B,))
    assert runs.has_ended
    assert not runs.mark_ended(1.1)


@pytest.mark.parametrize(
    ("detected_s", "end", "reported"),
    [
        (0.3, RunEnd.BROKE, (A,)),
        (END_DETECTION_S, RunEnd.BROKE, ()),  # too early to be caused by the end
        (0.3, RunEnd.LEFT, (A,)),  # the upstream may have kept running it
        (0.3, RunEnd.ANSWERED, ()),  # the run ended before the upstream
    ],
)
def test_a_broken_run_is_attributed_to_an_end_detected_soon(
    detected_s: float, end: RunEnd, reported: tuple[bytes, ...]
) -> None:
    runs = OpenRuns()
    runs.ended(runs.began(A), 5.0, end)
    assert runs.mark_ended(5.0 + detected_s) == LostRuns(waiting=reported)


def test_runs_that_break_after_the_end_are_reported_then() -> None:
    runs = OpenRuns()
    runs.mark_ended(1.0)
    runs.ended(runs.began(A), 1.2, RunEnd.BROKE)
    assert runs.mark_ended(1.2) == LostRuns((A,))


@pytest.mark.parametrize("end", RunEnd)
def test_a_broken_run_triggers_one_probe_of_its_upstream(end: RunEnd) -> None:
    runs = OpenRuns()
    runs.ended(runs.began(A), 1.0, end)
    assert runs.take_run_broke() == (end is RunEnd.BROKE)
    assert not runs.take_run_broke()
    runs.mark_ended(1.1)
    runs.ended(runs.began(A), 1.2, end)
    assert not runs.take_run_broke()


def test_the_number_of_broken_runs_is_bounded() -> None:
    runs = OpenRuns()
    for number in range(2 * MAX_BROKEN_RUNS):
        request = number.to_bytes(16, "big")
        runs.ended(runs.began(request), 1.0, RunEnd.BROKE)
    assert len(runs.mark_ended(1.0).waiting) == MAX_BROKEN_RUNS


CONTENT = ("west", "POST", "shop.example", "/calls/1?x=1", b"body")


@pytest.mark.parametrize("place", range(len(CONTENT)))
def test_a_fingerprint_covers_all_content_of_a_request(place: int) -> None:
    changed: list[Any] = list(CONTENT)
    changed[place] = changed[place] + type(changed[place])(b"x" if place == 4 else "x")
    assert fingerprint(*changed) != fingerprint(*CONTENT)
    assert fingerprint(*CONTENT) == fingerprint(*CONTENT)


def test_bytes_that_move_between_fields_change_the_fingerprint() -> None:
    assert fingerprint("a", "bc", "", "", b"") != fingerprint("ab", "c", "", "", b"")


@pytest.mark.parametrize("bystander", [False, True])
def test_the_log_line_of_an_end_names_the_requests_that_ran(
    bystander: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[log_events.LogEvent] = []
    monkeypatch.setattr(upstreams_module, "emit", _collecting(lines))
    calls, streams = "/calls/1", "/streams/1"

    async def main() -> None:
        # The stream takes two seconds, as long as the default timeout.  On a busy
        # machine it would time out, and so not end by itself.
        stream = route(path_prefix="/streams/", streamed=True, name="s", timeout_s=10.0)
        routes = route(), stream
        async with deployment(declared(*routes), gateways=1, upstreams=1) as fleet:
            [gateway] = fleet.gateways
            other = asyncio.create_task(fleet.send(gateway, SLOW, streams))
            if not bystander:
                await other
            await asyncio.sleep(0.2)
            await fleet.send(gateway, HARMFUL, calls)
            await asyncio.sleep(0.3)
            await other

    run(main())
    ended = [line for line in lines if isinstance(line, log_events.UpstreamEnded)]
    harmful = fingerprint_text(fingerprint("a", "POST", HOST, calls, HARMFUL))
    slow = fingerprint_text(fingerprint("a", "POST", HOST, streams, SLOW))
    assert {line.upstream for line in ended} == {"u1"}
    assert [name for line in ended for name in line.waiting] == [harmful]
    answering = [name for line in ended for name in line.answering]
    assert answering == ([slow] if bystander else [])


def _collecting(
    lines: list[log_events.LogEvent],
) -> Callable[[log_events.LogEvent], None]:
    return lines.append
