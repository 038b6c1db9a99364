"""Exchanges sums of work between availability zones through one relay per zone.

Each gateway process has one :class:`AreaGossip`, but only the relay of a zone sends.
It sums up the work that the gateways of its zone have reported, sends the sums to the
relays of the other zones, and forwards the sums that it receives to its own zone.  An
"area" in the messages is one availability zone, or all zones but the receiver's.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Iterable, Mapping

from gooseberrydale.connection.gateway_datagrams import FleetView, GatewayDatagrams
from gooseberrydale.connection.work_gossip import (
    FULL_REPORT_INTERVAL_S,
    LocalWork,
    collect_extras,
)
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.peer_loads import (
    OTHER_ZONES,
    REPORT_RETENTION_S,
    AreaReport,
    PeerLoads,
    ReportExtra,
    Summary,
    UpstreamWork,
    add_up,
    changes,
)

REPORT_INTERVAL_S = 0.05
"""Interval between two sums.  Together with the transfer to the relay and from the
other relay it takes about half of the time that a prompt takes."""

RELAY_CHECK_INTERVAL_S = 0.25
"""How often a gateway checks whether it must replace a relay that is silent."""

FALLBACK_RELAYS = 2
"""How many gateways of another zone are sent the sums while its relay is unknown:
no report from it has arrived yet, or the last one is too old."""


class AreaGossip:
    """Sends sums of work between zones while this gateway is the relay of its zone.

    On other gateways it only merges the sums that the relay forwards.  ``merged`` is
    called after sums are merged.
    """

    def __init__(
        self,
        datagrams: GatewayDatagrams,
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
        self._loads = loads
        self._view = view
        self._fleet = fleet
        self._is_relay = False
        # By zone: the relay that last reported, and when (loop clock).
        self._last_reports: dict[str, tuple[str, float]] = {}
        self._far_sums = _SumReporter(incarnation)
        self._near_sums = _SumReporter(incarnation)
        self._started_at = -math.inf
        self._task: asyncio.Task[None] | None = None
        datagrams.on(AreaReport, self._receive)

    async def start(self) -> None:
        """Start checking whether this gateway is the relay; the socket must be open."""
        self._started_at = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending reports."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            fleet = self._fleet()
            self._update_relay(fleet, loop.time())
            if self._is_relay:
                self._send_sums(fleet, loop.time())
            await asyncio.sleep(
                REPORT_INTERVAL_S if self._is_relay else RELAY_CHECK_INTERVAL_S
            )

    def _update_relay(self, fleet: Fleet, now: float) -> None:
        alive: Iterable[str] = self._loads.gateways
        if now < self._started_at + REPORT_RETENTION_S:
            # After the start, not every gateway has had time to report.
            alive = [gateway.name for gateway in fleet.near]
        near = len(fleet.near)
        self._loads.note_unreported(len(fleet.others) - near, near)
        is_relay = fleet.relay(set(alive)) == fleet.own.name
        if is_relay != self._is_relay:
            self._is_relay = is_relay
            self._loads.forget_areas()

    def _send_sums(self, fleet: Fleet, now: float) -> None:
        own, near = self._view.works(), self._loads.near(now)
        zone = Summary(
            works=add_up((*own, *near.works.values())),
            refusing=(*self._view.refusing(now), *near.refusing),
            silent=tuple({*self._view.silent(now), *near.silent}),
        )
        name, extras = fleet.own.name, self._extras.values()
        more = collect_extras(extras, lambda extra: extra.zone(now))
        report = self._far_sums.next(fleet.own.zone, name, zone, more, now)
        if report is not None:
            self._datagrams.send(report, self._far_relays(fleet, now))
        more = collect_extras(extras, lambda extra: extra.elsewhere(now))
        report = self._near_sums.next(
            OTHER_ZONES, name, self._loads.elsewhere(now), more, now
        )
        if report is not None:
            self._datagrams.send(report, fleet.near)

    def _far_relays(self, fleet: Fleet, now: float) -> list[GatewayPeer]:
        targets: list[GatewayPeer] = []
        for zone, relay_order in fleet.far.items():
            name, reported_at = self._last_reports.get(zone, ("", -math.inf))
            recent = [
                peer
                for peer in relay_order
                if peer.name == name and now < reported_at + FULL_REPORT_INTERVAL_S
            ]
            targets.extend(recent or relay_order[:FALLBACK_RELAYS])
        return targets

    def _receive(self, report: AreaReport) -> None:
        now = asyncio.get_running_loop().time()
        # A relay merges reports of single zones; the other gateways merge their sum.
        if self._is_relay == (report.area == OTHER_ZONES):
            return
        if self._loads.merge_area(report, now):
            self._last_reports[report.area] = report.relay, now
            self._view.peer_refused(report.refusing, now)
            self._view.peer_silent(report.silent, now)
            for name, data in report.extras.items():
                if name in self._extras:
                    self._extras[name].merge_area(report.area, data, now)
            if self._merged is not None:
                self._merged()


class _SumReporter:
    """Builds the reports for one set of gateways.

    A report holds the sums that have changed; once a second it holds all of them.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._seq = 0
        self._last_works: Mapping[str, UpstreamWork] = {}
        self._last_refusing: tuple[str, ...] = ()
        self._last_full_at = -math.inf

    def next(
        self,
        area: str,
        relay: str,
        summary: Summary,
        extras: dict[str, bytes],
        now: float,
    ) -> AreaReport | None:
        """Return the report to send now, or None if nothing has changed."""
        whole = now >= self._last_full_at + FULL_REPORT_INTERVAL_S
        works = summary.works
        reported = tuple(works.values()) if whole else changes(self._last_works, works)
        names_changed = summary.refusing != self._last_refusing
        if not (whole or reported or names_changed or extras):
            return None
        self._last_works, self._last_refusing = works, summary.refusing
        if whole:
            self._last_full_at = now
        self._seq += 1
        return AreaReport(
            area=area,
            relay=relay,
            incarnation=self._incarnation,
            seq=self._seq,
            works=reported,
            refusing=summary.refusing,
            whole=whole,
            silent=summary.silent,
            extras=extras,
        )
