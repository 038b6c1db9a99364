"""Committed departures in the replicated state, and what is acknowledged of them."""

from __future__ import annotations

import asyncio
from typing import Any

from result import Err, Ok, Result

from gooseberrydale.connection.control_messages import DepartReq, TickReq
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import NO_QUORUM, Problem, problem
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.departed import KEPT_S, MAX_KEPT, Departed
from gooseberrydale.version.directory import MAX_LEASE_S, Directory
from tests.builders_control import command
from tests.builders_gateway import record
from tests.clock import run_paused


def leaving(name: str = "u1", **fields: Any) -> UpstreamRecord:
    """Return the record of an upstream that leaves."""
    return record(name, ready=False, leaving=True, **fields)


def test_a_departure_is_kept_as_long_as_directories_remember_its_upstream() -> None:
    departed = Departed().add(leaving(), now_s=100.0)
    assert departed.expire(100.0 + KEPT_S - 1.0) is departed
    assert departed.expire(100.0 + KEPT_S).departures == ()
    assert [known.lease_s for known in departed.records] == [MAX_LEASE_S]


def test_only_a_later_departure_of_an_upstream_replaces_the_known_one() -> None:
    departed = Departed().add(leaving(incarnation="b", seq=5), 0.0)
    for stale in (leaving(incarnation="a", seq=9), leaving(incarnation="b", seq=5)):
        assert departed.add(stale, 1.0) is departed
    assert not departed.knows(leaving(incarnation="c"))
    later = departed.add(leaving(incarnation="c"), 1.0)
    assert [known.incarnation for known in later.records] == ["c"]


def test_departures_are_bounded_and_the_oldest_are_dropped() -> None:
    departed = Departed()
    for number in range(MAX_KEPT + 10):
        departed = departed.add(leaving(f"u{number}"), 0.0)
    names = [known.name for known in departed.records]
    assert (names[0], len(names)) == ("u10", MAX_KEPT)


def test_departures_survive_in_a_snapshot_until_they_expire() -> None:
    state = ControlState()
    state.apply(1, command(DepartReq(leaving()), wall_s=100.0))
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.departed.knows(leaving())
    restored.apply(2, command(TickReq(), wall_s=100.0 + KEPT_S))
    assert not restored.departed.knows(leaving())


class FakeLog:
    """Commits departures unless there is no quorum; counts the commits."""

    def __init__(self) -> None:
        self.departed = Departed()
        self.commits = 0
        self.problem: Problem | None = None

    def knows(self, upstream: UpstreamRecord) -> bool:
        """Whether a departure of this incarnation is committed."""
        return self.departed.knows(upstream)

    async def commit(self, upstream: UpstreamRecord) -> Result[None, Problem]:
        """Commit a departure."""
        if self.problem is not None:
            return Err(self.problem)
        self.commits += 1
        self.departed = self.departed.add(upstream, 0.0)
        return Ok(None)


def test_a_departure_is_acknowledged_only_once_it_is_committed() -> None:
    """Without a quorum it is propagated all the same, as it is true."""

    async def main() -> None:
        directory, log = Directory(), FakeLog()
        announcements = Announcements(directory, 1.2, departures=log)
        log.problem = problem(NO_QUORUM, not_run=None)
        announced = await announcements.announce(
            leaving(seq=2), None, names_models=False
        )
        assert announced.is_err()
        assert (await announcements.depart("u2")).is_err()
        now = asyncio.get_running_loop().time()
        assert all(known.leaving for known in directory.records(now))
        log.problem = None
        assert (await announcements.depart("u2")).is_ok()
        assert log.knows(leaving("u2"))

    run_paused(main())


def test_heartbeats_of_a_leaving_upstream_are_committed_once() -> None:
    """Guards against an entry of the log for each heartbeat of a long drain."""

    async def main() -> None:
        log = FakeLog()
        announcements = Announcements(Directory(), 1.2, departures=log)

        async def beat(upstream: UpstreamRecord) -> None:
            result = await announcements.announce(upstream, None, names_models=False)
            assert result.is_ok()

        await beat(record(seq=1))
        assert log.commits == 0
        for seq in range(2, 8):
            await beat(leaving(seq=seq))
        assert log.commits == 1
        # It serves on after all, and leaves later.
        await beat(record(seq=8))
        await beat(leaving(seq=9))
        assert log.commits == 2

    run_paused(main())
