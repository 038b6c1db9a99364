"""Reports to the gateways nearby what work this one has at each upstream, by datagrams.

Lives as long as the process.  A report of what changed goes out soon after a change,
and all work each second, so that a lost report does little harm.  The more gateways
there are, the longer changes are gathered, so that reports never take more than a small
part of a node's processor and link.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection
from typing import Protocol

from gooseberrydale.connection.gateway_datagrams import FleetView, GatewayDatagrams
from gooseberrydale.version.peer_loads import (
    PeerLoads,
    UpstreamWork,
    WorkReport,
    changes,
)

GATHER_S = 0.005
"""Changes within this time share a report: a third of the least time that a request
takes, so that the others know of it before they choose for the next one or two."""

DATAGRAMS_PER_S = 400.0
"""What a gateway sends, and with as many gateways nearby also gets, in a second at
most: some 32 ms of processor time for both ends together, and 60 KB."""

REPEAT_S = 1.0


class OwnView(Protocol):
    """What this gateway tells of itself, and what it does with others' refusals."""

    def works(self) -> tuple[UpstreamWork, ...]:
        """Its work at each upstream."""

    def refusing(self, now: float) -> tuple[str, ...]:
        """The upstreams that refused a request of it just now."""

    def peer_refused(self, names: Collection[str], now: float) -> None:
        """Another gateway was refused by these upstreams."""

    def silent(self, now: float) -> tuple[str, ...]:
        """The upstreams that it takes for dead."""

    def peer_silent(self, names: Collection[str], now: float) -> None:
        """Another gateway takes these upstreams for dead."""


class WorkGossip:
    """``changed`` is called at each change; ``view`` is read when a report is due."""

    def __init__(
        self,
        datagrams: GatewayDatagrams,
        name: str,
        incarnation: str,
        loads: PeerLoads,
        view: OwnView,
        fleet: FleetView,
    ) -> None:
        self._datagrams = datagrams
        self._name = name
        self._incarnation = incarnation
        self._loads = loads
        self._view = view
        self._fleet = fleet
        self._seq = 0
        self._told: dict[str, UpstreamWork] = {}
        self._told_at = -math.inf
        self._due: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        datagrams.on(WorkReport, self._hear)

    async def start(self) -> None:
        """Begin to tell; the socket is open."""
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stop telling."""
        if self._due is not None:
            self._due.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def changed(self) -> None:
        """The own work has changed; tell it soon."""
        if self._due is None and self._datagrams.is_open:
            loop = asyncio.get_running_loop()
            pause_s = len(self._fleet().near) / DATAGRAMS_PER_S
            due_at = max(loop.time() + GATHER_S, self._told_at + pause_s)
            self._due = loop.call_at(due_at, self._tell)

    def _hear(self, report: WorkReport) -> None:
        """Take a report of another gateway in."""
        if report.name == self._name:
            return
        now = asyncio.get_running_loop().time()
        if self._loads.take(report, now):
            self._view.peer_refused(report.refusing, now)
            self._view.peer_silent(report.silent, now)

    async def _repeat(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPEAT_S)
            self._loads.expire(loop.time())
            self._tell(whole=True)

    def _tell(self, *, whole: bool = False) -> None:
        """Send what changed since the last report, or all work."""
        if self._due is not None:
            self._due.cancel()
            self._due = None
        now = asyncio.get_running_loop().time()
        works = {work.upstream: work for work in self._view.works()}
        told = tuple(works.values()) if whole else changes(self._told, works)
        refusing = self._view.refusing(now)
        silent = self._view.silent(now)
        if not (whole or told or refusing or silent):
            return
        self._told, self._told_at = works, now
        self._seq += 1
        report = WorkReport(
            name=self._name,
            incarnation=self._incarnation,
            seq=self._seq,
            works=told,
            refusing=refusing,
            whole=whole,
            silent=silent,
        )
        self._datagrams.send(report, self._fleet().near)
