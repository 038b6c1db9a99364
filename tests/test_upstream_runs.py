"""Which incarnation of its upstream a sidecar blames a request for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from gooseberrydale.process.sidecar.upstream_runs import Running, UpstreamRuns
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import RunEnd
from tests.builders_sidecar import dispatch_req

Step = Callable[[UpstreamRuns, list[Running]], None]


def _runs_told_to(table: EndedIncarnations, *, leaving: bool = False) -> UpstreamRuns:
    return UpstreamRuns("upstream-1", "incarnation-1", table, lambda: leaving)


def begin(runs: UpstreamRuns, open_: list[Running]) -> None:
    open_.append(runs.began(dispatch_req("i1")))


def end(how: RunEnd) -> Step:
    def step(runs: UpstreamRuns, open_: list[Running]) -> None:
        runs.ended(open_.pop(), how)

    return step


def gone(runs: UpstreamRuns, open_: list[Running]) -> None:
    runs.upstream_gone("refused")


def there(incarnation: str) -> Step:
    return lambda runs, _: runs.upstream_there(incarnation)


BREAK, WELL, LEAVE = end(RunEnd.BROKE), end(RunEnd.ANSWERED), end(RunEnd.LEFT)
CASES: dict[str, tuple[list[Step], int]] = {
    # what happens, and how many incarnations the request is to blame for
    "it runs when its upstream is gone": ([there("a"), begin, gone], 1),
    "it broke just before": ([there("a"), begin, BREAK, gone], 1),
    "it breaks just after": ([there("a"), begin, gone, BREAK], 1),
    "its caller left just before": ([there("a"), begin, LEAVE, gone], 1),
    "it was answered before": ([there("a"), begin, WELL, gone], 0),
    "gone for several looks": ([there("a"), begin, gone, gone, gone], 1),
    "another incarnation is there at the next look": (
        [there("a"), begin, BREAK, there("b")],
        1,
    ),
    "the same incarnation is there at the next look": (
        [there("a"), begin, BREAK, there("a")],
        0,
    ),
    "two incarnations": (
        [there("a"), begin, gone, BREAK, there("b"), begin, gone, BREAK],
        2,
    ),
    "two incarnations that don't tell": (
        [there(""), begin, gone, BREAK, there(""), begin, gone, BREAK],
        2,
    ),
    "out of reach for a while, then well": (
        [there("a"), begin, gone, there("a"), WELL, begin, there("a"), gone],
        1,
    ),
    "it breaks once another incarnation is there": (
        [there("a"), begin, gone, there("b"), BREAK],
        1,
    ),
    "the first look after the start": ([there(""), there("a"), begin, WELL], 0),
}


@pytest.mark.parametrize("case", CASES)
def test_the_incarnations_that_a_request_ended(case: str) -> None:
    steps, blamed = CASES[case]

    async def main() -> None:
        table = EndedIncarnations()
        runs, open_ = _runs_told_to(table), []
        for step in steps:
            step(runs, open_)
        found = {
            name
            for one in table.since(0, 0.0).incarnations
            for name in [one.incarnation]
        }
        assert len(found) == blamed

    asyncio.run(main())


def test_an_upstream_that_leaves_ends_by_itself() -> None:
    async def main() -> None:
        table = EndedIncarnations()
        runs = _runs_told_to(table, leaving=True)
        runs.began(dispatch_req("i1"))
        runs.upstream_gone("refused")
        assert len(table) == 0

    asyncio.run(main())
