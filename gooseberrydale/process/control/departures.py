"""Commits that upstreams leave, before their announcements of it are acknowledged.

An upstream that has been told that its departure is known may announce nothing more.
The replica that told it may be lost at once, with its disk, so the departure has to be
stored on a quorum of disks by then.  Every replica offers committed departures to its
directory, from which mesh sessions send them to all other processes.
"""

from __future__ import annotations

import asyncio

from result import Ok, Result

from gooseberrydale.connection.control_messages import DepartReq
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import Problem
from gooseberrydale.process.control.leader_requests import LeaderRequests
from gooseberrydale.process.control.machine import PublishingMachine
from gooseberrydale.version.departed import Departed
from gooseberrydale.version.directory import Directory


class Departures:
    """Commits departures through the leader and publishes all that are committed."""

    def __init__(
        self,
        machine: PublishingMachine,
        directory: Directory,
        requests: LeaderRequests,
    ) -> None:
        self._machine = machine
        self._directory = directory
        self._requests = requests
        self._published: Departed | None = None

    def start(self) -> None:
        """Publish what is committed, now and after each entry of the log."""
        self._machine.subscribe(self._publish)
        self._publish()

    def knows(self, record: UpstreamRecord) -> bool:
        """Whether a departure of this incarnation of an upstream is committed."""
        return self._machine.state.departed.knows(record)

    async def commit(self, record: UpstreamRecord) -> Result[None, Problem]:
        """Store on a quorum of disks that the upstream of ``record`` leaves."""
        if self._machine.state.departed.contains(record):
            return Ok(None)
        return (await self._requests.ask(DepartReq(record))).map(lambda _: None)

    def _publish(self) -> None:
        departed = self._machine.state.departed
        if departed is self._published:
            return
        known = () if self._published is None else self._published.records
        self._published = departed
        now = asyncio.get_running_loop().time()
        for record in departed.since(known):
            self._directory.offer(record, now)
