"""Which ended incarnations of an upstream a sidecar attributes to a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from gooseberrydale.process.sidecar.upstream_runs import RunningAttempt, UpstreamRuns
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import RunEnd
from tests.builders_sidecar import dispatch_req

Step = Callable[[UpstreamRuns, list[RunningAttempt]], None]


def _runs_reported_to(
    table: EndedIncarnations, *, leaving: bool = False
) -> UpstreamRuns:
    return UpstreamRuns("upstream-1", "incarnation-1", table, lambda: leaving)


def start(runs: UpstreamRuns, open_runs: list[RunningAttempt]) -> None:
    open_runs.append(runs.record_start(dispatch_req("i1")))


def end(how: RunEnd) -> Step:
    def step(runs: UpstreamRuns, open_runs: list[RunningAttempt]) -> None:
        runs.record_end(open_runs.pop(), how)

    return step


def unreachable(runs: UpstreamRuns, open_runs: list[RunningAttempt]) -> None:
    runs.upstream_unreachable("refused")


def polled(incarnation: str) -> Step:
    return lambda runs, _: runs.upstream_answered(incarnation)


BREAK, ANSWER, LEAVE = end(RunEnd.BROKE), end(RunEnd.ANSWERED), end(RunEnd.LEFT)
CASES: dict[str, tuple[list[Step], int]] = {
    # the events, and the number of ended incarnations attributed to the request
    "running when the upstream becomes unreachable": (
        [polled("a"), start, unreachable],
        1,
    ),
    "connection breaks just before": ([polled("a"), start, BREAK, unreachable], 1),
    "connection breaks just after": ([polled("a"), start, unreachable, BREAK], 1),
    "caller disconnects just before": ([polled("a"), start, LEAVE, unreachable], 1),
    "answered before": ([polled("a"), start, ANSWER, unreachable], 0),
    "unreachable in several polls": (
        [polled("a"), start, unreachable, unreachable, unreachable],
        1,
    ),
    "another incarnation answers the next poll": (
        [polled("a"), start, BREAK, polled("b")],
        1,
    ),
    "the same incarnation answers the next poll": (
        [polled("a"), start, BREAK, polled("a")],
        0,
    ),
    "two incarnations": (
        [
            polled("a"),
            start,
            unreachable,
            BREAK,
            polled("b"),
            start,
            unreachable,
            BREAK,
        ],
        2,
    ),
    "two incarnations without names": (
        [
            polled(""),
            start,
            unreachable,
            BREAK,
            polled(""),
            start,
            unreachable,
            BREAK,
        ],
        2,
    ),
    "unreachable for a while, then answered": (
        [
            polled("a"),
            start,
            unreachable,
            polled("a"),
            ANSWER,
            start,
            polled("a"),
            unreachable,
        ],
        1,
    ),
    "connection breaks once another incarnation has answered": (
        [polled("a"), start, unreachable, polled("b"), BREAK],
        1,
    ),
    "first poll after the start": ([polled(""), polled("a"), start, ANSWER], 0),
}


@pytest.mark.parametrize("case", CASES)
def test_ended_incarnations_attributed_to_a_request(case: str) -> None:
    steps, expected = CASES[case]

    async def main() -> None:
        table = EndedIncarnations()
        runs, open_runs = _runs_reported_to(table), []
        for step in steps:
            step(runs, open_runs)
        names = {
            name
            for ended in table.since(0, 0.0).incarnations
            for name in [ended.incarnation]
        }
        assert len(names) == expected

    asyncio.run(main())


def test_the_end_of_a_leaving_upstream_is_not_reported() -> None:
    async def main() -> None:
        table = EndedIncarnations()
        runs = _runs_reported_to(table, leaving=True)
        runs.record_start(dispatch_req("i1"))
        runs.upstream_unreachable("refused")
        assert len(table) == 0

    asyncio.run(main())
