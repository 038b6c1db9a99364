"""Software versions are committed before their upstreams serve, and end late."""

from __future__ import annotations

import asyncio
from typing import Any

from result import Err, Ok, Result

from gooseberrydale.connection.control_messages import ServeSoftwareReq
from gooseberrydale.errors import NO_QUORUM, Problem, problem
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.control.machine import PublishingMachine
from gooseberrydale.process.control.software_versions import SoftwareVersions
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.served_software import KEPT_S, MAX_POOLS, MAX_VERSIONS
from tests.builders_control import run as apply
from tests.builders_gateway import POOL, record
from tests.clock import run_paused


class LeaderLog:
    """Stands for the proposer and the requests to the leader, which is this process."""

    def __init__(self, machine: PublishingMachine) -> None:
        self.leads = True
        self.problem: Problem | None = None
        self._machine = machine

    async def ask(self, req: Any) -> Result[Any, Problem]:
        """Apply a request at once."""
        if self.problem is not None:
            return Err(self.problem)
        return Ok(apply(self._machine.state, req)[0])


class Setup:
    """One control process that leads, on a paused clock."""

    def __init__(self) -> None:
        self.state = ControlState()
        machine = PublishingMachine(self.state, ConfigStore())
        self.directory = Directory()
        self.log = LeaderLog(machine)
        log: Any = self.log
        self.versions = SoftwareVersions(machine, self.directory, log, log)
        self.announcements = Announcements(self.directory, 1.2, software=self.versions)

    async def announce(self, name: str, software: str, seq: int, **more: Any) -> bool:
        """Send an announcement; return whether it was acknowledged."""
        sent = record(name, software=software, seq=seq, **more)
        result = await self.announcements.announce(sent, None, names_models=False)
        return result.is_ok()

    @property
    def listed(self) -> tuple[str, ...]:
        """The versions that the configuration lists."""
        return self.state.config.software.get(POOL, ())


def test_an_upstream_serves_only_once_its_version_is_committed() -> None:
    async def main() -> None:
        setup = Setup()
        assert await setup.announce("u1", "v1", 1)
        setup.log.problem = problem(NO_QUORUM, not_run=None)
        assert await setup.announce("u1", "v1", 2)
        assert not await setup.announce("u2", "v2", 1)
        now = asyncio.get_running_loop().time()
        assert [known.name for known in setup.directory.ready(POOL, now)] == ["u1"]
        setup.log.problem = None
        assert await setup.announce("u2", "v2", 2)
        assert setup.listed == ("v1", "v2")

    run_paused(main())


def test_a_version_ends_a_minute_after_its_last_upstream_left_service() -> None:
    async def main() -> None:
        setup = Setup()
        await setup.versions.start()
        assert await setup.announce("u1", "v1", 1)
        assert await setup.announce("u2", "v2", 1)
        seq = 1

        async def serve_on(seconds: float) -> None:
            nonlocal seq
            for _ in range(round(seconds)):
                seq += 1
                await setup.announce("u2", "v2", seq)
                await asyncio.sleep(1.0)

        await serve_on(3)
        setup.announcements.retire("u1")
        await serve_on(KEPT_S - 5)
        assert setup.listed == ("v1", "v2")
        await serve_on(10)
        assert setup.listed == ("v2",)
        # Where no upstream is known, nobody can say what serves.
        setup.announcements.retire("u2")
        await asyncio.sleep(3 * KEPT_S)
        assert setup.listed == ("v2",)
        await setup.versions.close()

    run_paused(main())


def test_a_new_leader_ends_no_version_before_it_has_watched_for_as_long() -> None:
    async def main() -> None:
        setup = Setup()
        setup.log.leads = False
        await setup.versions.start()
        apply(setup.state, ServeSoftwareReq(POOL, "v1"))
        seq = 0
        for second in range(round(2 * KEPT_S)):
            seq += 1
            await setup.announce("u2", "v2", seq)
            setup.log.leads = second >= KEPT_S + 2
            await asyncio.sleep(1.0)
        assert setup.listed == ("v1", "v2")
        await setup.versions.close()

    run_paused(main())


def test_versions_survive_in_a_snapshot_and_are_bounded() -> None:
    state = ControlState()
    for number in range(MAX_VERSIONS + 3):
        apply(state, ServeSoftwareReq(POOL, f"v{number}"))
    for number in range(MAX_POOLS + 3):
        apply(state, ServeSoftwareReq(f"pool-{number}", "v1"))
    restored = ControlState()
    restored.restore(state.snapshot())
    assert restored.config == state.config
    assert len(restored.config.software[POOL]) == MAX_VERSIONS
    assert len(restored.config.software) == MAX_POOLS
