"""Tells the other gateways what work this one has at each upstream, by datagrams.

Lives as long as the process.  A report of what changed goes out soon after a change,
and all work each second, so that a lost report does little harm.  The more gateways
there are, the longer changes are gathered, so that telling never takes more than a
small part of a node's processor and link.  Datagrams stay within this system's own
hosts; whoever can send one could only spoil the order in which upstreams are chosen.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Collection, Iterable
from typing import Any, Protocol, TypeVar

from gooseberrydale.connection.codec import CodecError, decode, encode
from gooseberrydale.log_events import DatagramFailed, DatagramUnreadable, emit
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
"""What a gateway sends, and with as many gateways also gets, in a second at most: at
an estimated 0.08 ms for both ends together 32 ms of processor time, and some 60 KB.  32
gateways gather changes for 78 ms then, half of the time that a prompt takes."""

REPEAT_S = 1.0
MAX_PEERS = 64
"""Gateways that are told; with more, each tells those that the directory lists first,
and the load that upstreams tell with their answers makes up for the rest."""


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


Peers = Callable[[], Iterable[str]]
T = TypeVar("T")


class WorkGossip(asyncio.DatagramProtocol):
    """``changed`` is called at each change; ``view`` is read when a report is due."""

    def __init__(
        self,
        address: str,
        name: str,
        incarnation: str,
        loads: PeerLoads,
        view: OwnView,
        peers: Peers,
    ) -> None:
        self._address = address
        self._name = name
        self._incarnation = incarnation
        self._loads = loads
        self._view = view
        self._peers = peers
        self._seq = 0
        self._told: dict[str, UpstreamWork] = {}
        self._told_at = -math.inf
        self._transport: asyncio.DatagramTransport | None = None
        self._due: asyncio.TimerHandle | None = None
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind and begin to tell; raises OSError if the address is taken."""
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stop telling."""
        if self._due is not None:
            self._due.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def changed(self) -> None:
        """The own work has changed; tell it soon."""
        if self._due is None and self._transport is not None:
            loop = asyncio.get_running_loop()
            pause_s = min(MAX_PEERS, len(self._loads)) / DATAGRAMS_PER_S
            due_at = max(loop.time() + GATHER_S, self._told_at + pause_s)
            self._due = loop.call_at(due_at, self._tell)

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Hand messages of another kind to ``handler``."""
        self._handlers[kind] = handler

    def tell(self, told: object) -> None:
        """Send a registered message to the other gateways once, come what may."""
        if self._transport is not None:
            self._send(told)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take a report of another gateway in."""
        try:
            report = decode(data)
        except CodecError as exc:
            emit(DatagramUnreadable(str(addr), str(exc)))
            return
        if isinstance(report, WorkReport) and report.name != self._name:
            now = asyncio.get_running_loop().time()
            if self._loads.take(report, now):
                self._view.peer_refused(report.refusing, now)
                self._view.peer_silent(report.silent, now)
        elif type(report) in self._handlers:
            self._handlers[type(report)](report)

    def error_received(self, exc: Exception) -> None:
        """A peer that is down answers with an error; its lease will end."""
        emit(DatagramFailed(str(exc)))

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
        if self._transport is None:
            return
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
        self._send(report)

    def _send(self, told: object) -> None:
        assert self._transport is not None
        data = encode(told)
        for address in list(self._peers())[:MAX_PEERS]:
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))
