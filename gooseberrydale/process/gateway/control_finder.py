"""Finds the members of control through other gateways, when no session to one is open.

A gateway that was cut off while all replicas that it knew were replaced has no address
of a current one, nor has one that is started with outdated settings.  It asks gateways
that it knew before or that send it datagrams.  Gateways also send the members to those
whose announcements have lapsed, as these may not know whom to ask.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.gateway_datagrams import FleetView, GatewayDatagrams
from gooseberrydale.version.known_controls import ControlMembers, KnownControls

CHECK_INTERVAL_S = 0.5

REPORT_INTERVAL_S = 3.0
"""Interval between two reports to gateways that are no longer announced."""

ASKED_AT_ONCE = 3
"""Number of gateways that are asked at a time, as some of them may be cut off too."""

MAX_REMEMBERED = 64
"""Number of gateways that are remembered after their announcements have lapsed."""


@message
@dataclass(frozen=True, slots=True)
class ControlsWanted:
    """Asks for the members of control; the reply goes to ``address``."""

    address: str


@message
@dataclass(frozen=True, slots=True)
class ControlsReport:
    """The members of control that the sender knows, while it has a session to one."""

    members: ControlMembers


class ControlFinder:
    """Asks and answers other gateways; ``start`` it once and ``close`` it once.

    ``own`` is the address of the gateway's socket.  ``is_connected`` returns whether a
    session to a member of control is open, ``offer`` receives members and their source.
    """

    def __init__(
        self,
        own: str,
        datagrams: GatewayDatagrams,
        fleet: FleetView,
        controls: KnownControls,
        is_connected: Callable[[], bool],
        offer: Callable[[ControlMembers, str], None],
        rng: random.Random,
    ) -> None:
        self._own = own
        self._datagrams = datagrams
        self._fleet = fleet
        self._controls = controls
        self._is_connected = is_connected
        self._offer = offer
        self._rng = rng
        self._remembered: dict[str, None] = {}
        self._next_report_at = 0.0
        self._task: asyncio.Task[None] | None = None
        datagrams.on(ControlsWanted, self._answer)
        datagrams.on(ControlsReport, self._merge)

    async def start(self) -> None:
        """Start asking; the socket must be open."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop asking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            announced = [peer.address for peer in self._fleet().others]
            self._remember(announced)
            if self._is_connected():
                self._report_to_lapsed(set(announced))
            else:
                self._ask()

    def _ask(self) -> None:
        if self._datagrams.last_sender:
            self._remember([self._datagrams.last_sender])
        known = list(self._remembered)
        asked = self._rng.sample(known, min(ASKED_AT_ONCE, len(known)))
        self._datagrams.send_to(ControlsWanted(self._own), asked)

    def _report_to_lapsed(self, announced: set[str]) -> None:
        now = asyncio.get_running_loop().time()
        lapsed = [a for a in self._remembered if a not in announced]
        if lapsed and self._controls.members.index and now >= self._next_report_at:
            self._next_report_at = now + REPORT_INTERVAL_S
            report = ControlsReport(self._controls.members)
            self._datagrams.send_to(report, [self._rng.choice(lapsed)])

    def _remember(self, addresses: list[str]) -> None:
        for address in addresses:
            if address != self._own:
                self._remembered.pop(address, None)
                self._remembered[address] = None
        while len(self._remembered) > MAX_REMEMBERED:
            del self._remembered[next(iter(self._remembered))]

    def _answer(self, wanted: ControlsWanted) -> None:
        if self._is_connected() and self._controls.members.index:
            report = ControlsReport(self._controls.members)
            self._datagrams.send_to(report, [wanted.address])

    def _merge(self, report: ControlsReport) -> None:
        self._offer(report.members, "another gateway")
