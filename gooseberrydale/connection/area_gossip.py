"""Reports sums of work between availability zones, as the relay of the own one.

Lives as long as the process; only the relay of a zone sends anything.  It adds up what
the gateways of its zone have reported, sends the sums to the relays of the other zones,
and passes on to its own zone what these send.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable, Mapping

from gooseberrydale.connection.gateway_datagrams import FleetView, GatewayDatagrams
from gooseberrydale.connection.work_gossip import REPEAT_S, OwnView
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.peer_loads import (
    ELSEWHERE,
    FORGET_S,
    AreaReport,
    PeerLoads,
    Summary,
    UpstreamWork,
    add_up,
    changes,
)

TELL_S = 0.05
"""Between two sums: with the way to the relay and from the other one about half of the
time that a prompt takes."""

LOOK_S = 0.25
"""How soon a gateway takes over for a relay that has fallen silent."""

STAND_INS = 2
"""Gateways that get the sums of a zone whose relay has not been heard yet."""


class AreaGossip:
    """Sums between zones; does nothing while this gateway is not the relay."""

    def __init__(
        self,
        datagrams: GatewayDatagrams,
        incarnation: str,
        loads: PeerLoads,
        view: OwnView,
        fleet: FleetView,
    ) -> None:
        self._datagrams = datagrams
        self._loads = loads
        self._view = view
        self._fleet = fleet
        self._relays = False
        # Relays of other zones, and when they were heard.
        self._heard: dict[str, tuple[str, float]] = {}
        self._to_far = _Sums(incarnation)
        self._to_near = _Sums(incarnation)
        self._started_at = -math.inf
        self._task: asyncio.Task[None] | None = None
        datagrams.on(AreaReport, self._hear)

    async def start(self) -> None:
        """Begin to look whether this gateway is the relay; the socket is open."""
        self._started_at = asyncio.get_running_loop().time()
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop telling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            fleet = self._fleet()
            self._note_relay(fleet, loop.time())
            if self._relays:
                self._tell(fleet, loop.time())
            await asyncio.sleep(TELL_S if self._relays else LOOK_S)

    def _note_relay(self, fleet: Fleet, now: float) -> None:
        alive: Iterable[str] = self._loads.gateways
        if now < self._started_at + FORGET_S:
            # Who is there has not had time to say so.
            alive = [one.name for one in fleet.near]
        near = len(fleet.near)
        self._loads.note_unheard(len(fleet.others) - near, near)
        relays = fleet.relay(set(alive)) == fleet.own.name
        if relays != self._relays:
            self._relays = relays
            self._loads.forget_areas()

    def _tell(self, fleet: Fleet, now: float) -> None:
        own, near = self._view.works(), self._loads.near(now)
        zone = Summary(
            works=add_up((*own, *near.works.values())),
            refusing=(*self._view.refusing(now), *near.refusing),
            silent=tuple({*self._view.silent(now), *near.silent}),
        )
        name = fleet.own.name
        report = self._to_far.next(fleet.own.zone, name, zone, now)
        if report is not None:
            self._datagrams.send(report, self._far_relays(fleet, now))
        report = self._to_near.next(ELSEWHERE, name, self._loads.elsewhere(now), now)
        if report is not None:
            self._datagrams.send(report, fleet.near)

    def _far_relays(self, fleet: Fleet, now: float) -> list[GatewayPeer]:
        found: list[GatewayPeer] = []
        for zone, order in fleet.far.items():
            name, at = self._heard.get(zone, ("", -math.inf))
            known = [one for one in order if one.name == name and now < at + REPEAT_S]
            found.extend(known or order[:STAND_INS])
        return found

    def _hear(self, report: AreaReport) -> None:
        now = asyncio.get_running_loop().time()
        # A relay hears of single zones, all others of the sum of them.
        if self._relays == (report.area == ELSEWHERE):
            return
        if self._loads.take_area(report, now):
            self._heard[report.area] = report.relay, now
            self._view.peer_refused(report.refusing, now)
            self._view.peer_silent(report.silent, now)


class _Sums:
    """Reports to one set of gateways: what changed, and all each second."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._seq = 0
        self._told: Mapping[str, UpstreamWork] = {}
        self._refusing: tuple[str, ...] = ()
        self._whole_at = -math.inf

    def next(
        self, area: str, relay: str, now_told: Summary, now: float
    ) -> AreaReport | None:
        """What to tell now; None if nothing has changed."""
        whole = now >= self._whole_at + REPEAT_S
        works = now_told.works
        told = tuple(works.values()) if whole else changes(self._told, works)
        if not (whole or told or now_told.refusing != self._refusing):
            return None
        self._told, self._refusing = works, now_told.refusing
        if whole:
            self._whole_at = now
        self._seq += 1
        return AreaReport(
            area=area,
            relay=relay,
            incarnation=self._incarnation,
            seq=self._seq,
            works=told,
            refusing=now_told.refusing,
            whole=whole,
            silent=now_told.silent,
        )
