"""What is known to have run at an upstream that ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from gooseberrydale import log_events
from gooseberrydale.process.gateway import upstreams as upstreams_module
from gooseberrydale.request.fingerprint import fingerprint, shown
from gooseberrydale.version.open_runs import (
    MOST_BROKEN,
    NOTICED_S,
    LostRuns,
    OpenRuns,
    RunEnd,
)
from tests.builders_ending import HARMFUL, SLOW, deployment
from tests.builders_gateway import HOST, declared, route
from tests.sidecar_bench import run

A, B = b"a" * 16, b"b" * 16


def test_open_runs_are_told_once_and_apart_by_whether_they_were_answered() -> None:
    runs = OpenRuns()
    runs.began(A)
    runs.began(B).answering = True
    assert runs.over(1.0) == LostRuns((A,), (B,))
    assert runs.is_over
    assert not runs.over(1.1)


@pytest.mark.parametrize(
    ("found_s", "end", "told"),
    [
        (0.3, RunEnd.BROKE, (A,)),
        (NOTICED_S, RunEnd.BROKE, ()),  # the end had nothing to do with it
        (0.3, RunEnd.LEFT, (A,)),  # the upstream may have worked on
        (0.3, RunEnd.ANSWERED, ()),  # the upstream outlived it
    ],
)
def test_a_run_that_broke_belongs_to_an_end_found_soon(
    found_s: float, end: RunEnd, told: tuple[bytes, ...]
) -> None:
    runs = OpenRuns()
    runs.ended(runs.began(A), 5.0, end)
    assert runs.over(5.0 + found_s) == LostRuns(waiting=told)


def test_runs_that_break_after_the_end_are_told_then() -> None:
    runs = OpenRuns()
    runs.over(1.0)
    runs.ended(runs.began(A), 1.2, RunEnd.BROKE)
    assert runs.over(1.2) == LostRuns((A,))


@pytest.mark.parametrize("end", RunEnd)
def test_a_broken_run_makes_its_upstream_doubtful_once(end: RunEnd) -> None:
    runs = OpenRuns()
    runs.ended(runs.began(A), 1.0, end)
    assert runs.take_doubt() == (end is RunEnd.BROKE)
    assert not runs.take_doubt()
    runs.over(1.1)
    runs.ended(runs.began(A), 1.2, end)
    assert not runs.take_doubt()


def test_what_is_remembered_is_bounded() -> None:
    runs = OpenRuns()
    for number in range(2 * MOST_BROKEN):
        request = number.to_bytes(16, "big")
        runs.ended(runs.began(request), 1.0, RunEnd.BROKE)
    assert len(runs.over(1.0).waiting) == MOST_BROKEN


CONTENT = ("west", "POST", "shop.example", "/calls/1?x=1", b"body")


@pytest.mark.parametrize("place", range(len(CONTENT)))
def test_a_request_is_named_by_all_of_its_content(place: int) -> None:
    changed: list[Any] = list(CONTENT)
    changed[place] = changed[place] + type(changed[place])(b"x" if place == 4 else "x")
    assert fingerprint(*changed) != fingerprint(*CONTENT)
    assert fingerprint(*CONTENT) == fingerprint(*CONTENT)


def test_bytes_that_move_from_one_part_to_the_next_make_another_request() -> None:
    assert fingerprint("a", "bc", "", "", b"") != fingerprint("ab", "c", "", "", b"")


@pytest.mark.parametrize("bystander", [False, True])
def test_the_line_of_an_end_names_what_ran_there(
    bystander: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[log_events.LogEvent] = []
    monkeypatch.setattr(upstreams_module, "emit", _collecting(lines))
    calls, streams = "/calls/1", "/streams/1"

    async def main() -> None:
        # The stream lasts two seconds, as long as the default timeout: on a busy
        # machine it would be cut, and so not be over.
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
    ended = [one for one in lines if isinstance(one, log_events.UpstreamEnded)]
    harmful = shown(fingerprint("a", "POST", HOST, calls, HARMFUL))
    slow = shown(fingerprint("a", "POST", HOST, streams, SLOW))
    assert {one.upstream for one in ended} == {"u1"}
    assert [name for one in ended for name in one.waiting] == [harmful]
    told = [name for one in ended for name in one.answering]
    assert told == ([slow] if bystander else [])


def _collecting(
    lines: list[log_events.LogEvent],
) -> Callable[[log_events.LogEvent], None]:
    return lines.append
