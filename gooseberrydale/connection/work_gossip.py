"""Reports the work of this gateway at each upstream to nearby gateways, by datagrams.

There is one :class:`WorkGossip` per process.  It reports changes soon after they occur,
and all work once a second, which limits the harm of a lost report.  The more gateways
there are, the longer changes are gathered into one report: this bounds the share of a
node's processor time and link that reports take.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from gooseberrydale.connection.gateway_datagrams import FleetView, GatewayDatagrams
from gooseberrydale.version.peer_loads import (
    PeerLoads,
    ReportExtra,
    UpstreamWork,
    WorkReport,
    changes,
)

GATHER_S = 0.005
"""Changes within this time share a report.  It is a third of the time that the shortest
request takes, so the other gateways receive the change before they have chosen
upstreams for more than one or two further requests."""

MAX_DATAGRAMS_PER_S = 400.0
"""Most datagrams that a gateway sends in a second, and also receives if the nearby
gateways send as many.  They take about 32 ms of processor time at both ends together,
and 60 KB."""

FULL_REPORT_INTERVAL_S = 1.0
"""Interval between two reports of all work."""


class LocalWork(Protocol):
    """The work that this gateway reports, and its handling of reports from others."""

    def works(self) -> tuple[UpstreamWork, ...]:
        """Return the work of this gateway at each upstream."""

    def refusing(self, now: float) -> tuple[str, ...]:
        """Return the upstreams that have just refused a request of this gateway."""

    def peer_refused(self, names: Collection[str], now: float) -> None:
        """Handle a report that these upstreams refused another gateway."""

    def silent(self, now: float) -> tuple[str, ...]:
        """Return the upstreams that this gateway considers dead."""

    def peer_silent(self, names: Collection[str], now: float) -> None:
        """Handle a report that another gateway considers these upstreams dead."""


class WorkGossip:
    """Sends and receives reports of work.

    The caller calls ``changed`` at each change; ``view`` and ``extras`` are read when a
    report is due.  ``merged`` is called after the report of another gateway is merged.
    """

    def __init__(
        self,
        datagrams: GatewayDatagrams,
        name: str,
        incarnation: str,
        loads: PeerLoads,
        view: LocalWork,
        fleet: FleetView,
        extras: Collection[ReportExtra] = (),
        merged: Callable[[], None] | None = None,
    ) -> None:
        self._merged = merged
        self._extras = {extra.name: extra for extra in extras}
        self._datagrams = datagrams
        self._name = name
        self._incarnation = incarnation
        self._loads = loads
        self._view = view
        self._fleet = fleet
        self._seq = 0
        self._last_works: dict[str, UpstreamWork] = {}
        self._last_report_at = -math.inf
        self._report_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        datagrams.on(WorkReport, self._receive)

    async def start(self) -> None:
        """Start to send reports; the socket must be open."""
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stop sending reports."""
        if self._report_timer is not None:
            self._report_timer.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def changed(self) -> None:
        """Schedule a report, since the work of this gateway has changed."""
        if self._report_timer is None and self._datagrams.is_open:
            loop = asyncio.get_running_loop()
            min_interval_s = len(self._fleet().near) / MAX_DATAGRAMS_PER_S
            due_at = max(loop.time() + GATHER_S, self._last_report_at + min_interval_s)
            self._report_timer = loop.call_at(due_at, self._send_report)

    def _receive(self, report: WorkReport) -> None:
        """Merge a report of another gateway."""
        if report.name == self._name:
            return
        now = asyncio.get_running_loop().time()
        if self._loads.merge(report, now):
            self._view.peer_refused(report.refusing, now)
            self._view.peer_silent(report.silent, now)
            for name, data in report.extras.items():
                if name in self._extras:
                    self._extras[name].merge_own(report.name, data, now)
            if self._merged is not None:
                self._merged()

    async def _repeat(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(FULL_REPORT_INTERVAL_S)
            self._loads.expire(loop.time())
            self._send_report(whole=True)

    def _send_report(self, *, whole: bool = False) -> None:
        """Send the changes since the last report, or all work if ``whole`` is set."""
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        now = asyncio.get_running_loop().time()
        works = {work.upstream: work for work in self._view.works()}
        reported = tuple(works.values()) if whole else changes(self._last_works, works)
        refusing = self._view.refusing(now)
        silent = self._view.silent(now)
        extras = collect_extras(self._extras.values(), lambda extra: extra.own(now))
        if not (whole or reported or refusing or silent or extras):
            return
        self._last_works, self._last_report_at = works, now
        self._seq += 1
        report = WorkReport(
            name=self._name,
            incarnation=self._incarnation,
            seq=self._seq,
            works=reported,
            refusing=refusing,
            whole=whole,
            silent=silent,
            extras=extras,
        )
        self._datagrams.send(report, self._fleet().near)


def collect_extras(
    extras: Iterable[ReportExtra], read: Callable[[ReportExtra], bytes]
) -> dict[str, bytes]:
    """Return what ``read`` returns of each of ``extras``, without empty data."""
    return {extra.name: data for extra in extras if (data := read(extra))}
