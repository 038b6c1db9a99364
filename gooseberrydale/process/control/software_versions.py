"""Commits which software versions the upstreams of each pool run.

A stream goes on only at the version that began it.  Where its caller does not say which
stream it was, the version is certain only if the pool has had a single one for as long
as the stream may have lasted.  No process knows that from what is announced to it: it
may have started since, or the upstreams of other versions have left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from result import Ok, Result

from gooseberrydale.connection.control_messages import ServeSoftwareReq
from gooseberrydale.connection.mesh import GATEWAY_ROLE
from gooseberrydale.errors import Problem
from gooseberrydale.log_events import SoftwareServed, emit
from gooseberrydale.process.control.leader_requests import LeaderRequests
from gooseberrydale.process.control.machine import PublishingMachine
from gooseberrydale.process.control.proposer import Proposer
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.order_marks import is_mark
from gooseberrydale.version.served_software import KEPT_S, Served, knows

CHECK_INTERVAL_S = 2.0
"""Interval at which the leader checks which versions are still in service."""

_Version = tuple[str, str]


class SoftwareVersions:
    """Commits versions before their upstreams are known, and ends the unused ones."""

    def __init__(
        self,
        machine: PublishingMachine,
        directory: Directory,
        requests: LeaderRequests,
        proposer: Proposer,
    ) -> None:
        self._machine = machine
        self._directory = directory
        self._requests = requests
        self._proposer = proposer
        # When this process, while it led, last knew upstreams of a version in service.
        self._served_at: dict[_Version, float] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the periodic check."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop the periodic check."""
        await stop(self._tasks)

    async def commit(self, pool: str, software: str) -> Result[None, Problem]:
        """Store on a quorum of disks that upstreams of a pool run this version."""
        if knows(self._served, pool, software):
            return Ok(None)
        result = await self._requests.ask(ServeSoftwareReq(pool, software))
        if result.is_ok():
            emit(SoftwareServed(pool, software, in_service=True))
        return result.map(lambda _: None)

    @property
    def _served(self) -> Served:
        return self._machine.state.config.software

    async def _run(self) -> None:
        while True:
            if self._proposer.leads:
                await self._end_unused()
            else:
                self._served_at.clear()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _end_unused(self) -> None:
        now = asyncio.get_running_loop().time()
        in_service = set(self._in_service(now))
        listed = [(p, v) for p, versions in self._served.items() for v in versions]
        for version in listed:
            if version in in_service or version not in self._served_at:
                self._served_at[version] = now
        for pool, software in listed:
            if self._is_unused(pool, software, in_service, now):
                emit(SoftwareServed(pool, software, in_service=False))
                del self._served_at[pool, software]
                await self._requests.ask(
                    ServeSoftwareReq(pool, software, in_service=False)
                )

    def _is_unused(
        self, pool: str, software: str, in_service: set[_Version], now: float
    ) -> bool:
        """Whether a version ended long ago; those in service have to be listed."""
        others = {version for of_pool, version in in_service if of_pool == pool}
        if not others or not others <= set(self._served[pool]):
            return False
        return now >= self._served_at[pool, software] + KEPT_S

    def _in_service(self, now: float) -> Iterator[_Version]:
        """Yield the versions of the upstreams that may be sent work."""
        for record in self._directory.records(now):
            if record.kind == GATEWAY_ROLE or is_mark(record) or record.leaving:
                continue
            yield record.pool, record.software
