"""Sessions of one process to the control replicas, kept up to date with their members.

A process starts with the replicas of its settings.  Once it knows the members of the
control log, it holds sessions to some of these and closes the others.  While none of
them can be reached, it also tries all further addresses that it knows.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

from gooseberrydale.connection.alarm import Alarm
from gooseberrydale.connection.mesh_client import MeshClient
from gooseberrydale.log_events import ControlReached, ControlUnreachable, emit
from gooseberrydale.version.known_controls import KnownControls

CHECK_INTERVAL_S = 0.5

TRY_OTHERS_AFTER_S = 1.0
"""Time without a session before further addresses are tried: a listener that is slow
because many processes start at the same time answers within it."""

REPORT_AFTER_S = 3.0
"""Time without a session before it is logged: restarts of replicas take less."""

OPEN_SPREAD_S = 0.5
"""New members are connected to within this time, so that a large fleet doesn't open all
sessions to a new replica at the same moment."""

FORMER_BACKOFF_S = 2.0
"""Longest delay between two attempts to reach a former member; most are gone."""

ClientMaker = Callable[[str, float | None], MeshClient]


class ControlSessions:
    """Opens sessions to ``controls``; ``start`` it once and ``close`` it once.

    ``make_client`` receives an address, and the longest delay between two attempts if
    it differs from the usual one.  With ``finds_former`` former members are tried too:
    a replica that was replaced while it was cut off knows no current member.
    """

    def __init__(
        self,
        controls: KnownControls,
        make_client: ClientMaker,
        rng: random.Random,
        *,
        finds_former: bool = False,
    ) -> None:
        self._controls = controls
        self._make_client = make_client
        self._rng = rng
        self._finds_former = finds_former
        self._clients: dict[str, MeshClient] = {}
        self._alarm = Alarm()
        self._unsubscribe: Callable[[], None] | None = None
        self._task: asyncio.Task[None] | None = None
        self._connected_at = 0.0
        self._reported = False

    @property
    def connected(self) -> bool:
        """Whether a session to one of the members is open."""
        return self._any_connected(self._controls.current)

    async def start(self) -> None:
        """Start to open sessions, without waiting for any."""
        loop = asyncio.get_running_loop()
        self._connected_at = loop.time()
        self._unsubscribe = self._controls.subscribe(self._on_members)
        for address in self._controls.preferred:
            await self._open(address, None)
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Close all sessions."""
        if self._unsubscribe is not None:
            self._unsubscribe()
            self._unsubscribe = None
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        clients, self._clients = self._clients, {}
        await asyncio.gather(*(client.close() for client in clients.values()))

    def _on_members(self) -> None:
        delay_s = self._rng.uniform(0.0, OPEN_SPREAD_S) if self.connected else 0.0
        self._alarm.wake_by(asyncio.get_running_loop().time() + delay_s)

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self._alarm.wake_by(loop.time() + CHECK_INTERVAL_S)
            await self._alarm.wait()
            await self._update(loop.time())

    async def _update(self, now: float) -> None:
        """Open the sessions that are missing and close those that aren't needed."""
        wanted = dict.fromkeys(self._controls.preferred)
        if not wanted:
            return
        if self._any_connected(wanted):
            self._connected_at = now
            self._report_reached()
        else:
            # A session to a replica that was replaced may still bring newer members.
            wanted |= dict.fromkeys(self._clients)
            if now >= self._connected_at + TRY_OTHERS_AFTER_S:
                wanted |= dict.fromkeys(self._controls.others)
            self._report_unreachable(now)
        former = self._controls.former if self._finds_former else ()
        for address in self._clients.keys() - wanted.keys() - set(former):
            await self._clients.pop(address).close()
        for address in wanted:
            await self._open(address, None)
        for address in former:
            await self._open(address, FORMER_BACKOFF_S)

    async def _open(self, address: str, backoff_max_s: float | None) -> None:
        if address not in self._clients:
            client = self._clients[address] = self._make_client(address, backoff_max_s)
            await client.start()

    def _any_connected(self, addresses: Iterable[str]) -> bool:
        clients = (self._clients.get(address) for address in addresses)
        return any(client is not None and client.connected for client in clients)

    def _report_unreachable(self, now: float) -> None:
        silent_s = now - self._connected_at
        if silent_s >= REPORT_AFTER_S and not self._reported:
            self._reported = True
            emit(ControlUnreachable(list(self._clients), round(silent_s, 1)))

    def _report_reached(self) -> None:
        if self._reported:
            self._reported = False
            emit(ControlReached(self._controls.members.index))
