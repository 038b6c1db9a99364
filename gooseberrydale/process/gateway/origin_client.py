"""Records where streams began, and finds it out for streams that began elsewhere.

There is one client per process.  At the first event of a stream it notifies the
gateways that keep the origin for all others; nothing waits for them.  An origin that
is lost on the way has its stream refused when it is taken up, never misplaced.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from gooseberrydale.connection.gateway_datagrams import FleetView
from gooseberrydale.process.gateway.origin_file import OriginFile
from gooseberrydale.version.gateway_peers import GatewayPeer
from gooseberrydale.version.origins.messages import (
    OriginAsk,
    OriginNotice,
    OriginReply,
)
from gooseberrydale.version.origins.origin import StreamOrigin
from gooseberrydale.version.origins.owners import OriginOwners
from gooseberrydale.version.origins.store import OriginStore

T = TypeVar("T")

RESEND_S = 0.04
"""An unanswered ask is repeated at this interval."""

FIND_S = 0.15
"""A gateway that has not answered an ask by now is not waited for."""

STARTUP_S = 3.0
"""For so long after its start a process may not know all gateways yet."""

STARTUP_FIND_S = 0.6
"""How long a process that has just started looks for an origin."""

EXPIRY_INTERVAL_S = 1.0


class Transport(Protocol):
    """Carries messages between gateways; each is delivered at most once."""

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Call ``handler`` with each received message of type ``kind``."""

    def send(self, msg: object, peers: Iterable[GatewayPeer]) -> None:
        """Send a message once to each of ``peers``; failures are not reported."""


@dataclass(frozen=True, slots=True)
class Lookup:
    """The result of a search; ``complete`` is False if a gateway did not answer."""

    origin: StreamOrigin | None
    complete: bool = True


@dataclass(slots=True)
class _Search:
    """A running search: the answer, and the gateways that don't know the origin."""

    found: asyncio.Future[StreamOrigin]
    without: set[str] = field(default_factory=set)
    answered: asyncio.Event = field(default_factory=asyncio.Event)


class OriginClient:
    """The origins that this gateway knows, and its exchange with the others."""

    def __init__(
        self,
        name: str,
        address: str,
        transport: Transport,
        fleet: FleetView,
        file: OriginFile | None = None,
    ) -> None:
        """``file`` stores the origins, None if they are kept in memory alone."""
        self._name = name
        self._address = address
        self._transport = transport
        self._fleet = fleet
        self._file = file
        self._store = OriginStore()
        self._owners = OriginOwners()
        self._searches: dict[int, _Search] = {}
        self._seqs = itertools.count(1)
        self._started_at = 0.0
        self._task: asyncio.Task[None] | None = None
        transport.on(OriginNotice, self._receive)
        transport.on(OriginAsk, self._answer)
        transport.on(OriginReply, self._on_reply)

    def __len__(self) -> int:
        return len(self._store)

    @property
    def young_until(self) -> float:
        """Time of the loop until which this process may not know all others yet."""
        return self._started_at + STARTUP_S

    async def start(self) -> None:
        """Restore stored origins; start to store and expire them."""
        self._started_at = _now()
        if self._file is not None:
            for notice in self._file.read():
                self._store.put(notice, self._started_at)
            await self._file.start()
        self._task = asyncio.create_task(self._expire_periodically())

    async def close(self) -> None:
        """Stop storing and expiring."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._file is not None:
            await self._file.close()

    def record(self, key: bytes, origin: StreamOrigin, keep_s: float) -> None:
        """Record the origin of a stream and notify its owners."""
        notice = OriginNotice(key, origin.pool, origin.software, keep_s)
        self._receive(notice)
        self._owners.update(self._fleet())
        owners = self._owners.of(key)
        others = [owner for owner in owners if owner.name != self._name]
        self._transport.send(notice, others)

    async def find(self, key: bytes) -> Lookup:
        """Return the origin of a stream, asking other gateways if necessary."""
        origin = self._store.get(key, _now())
        if origin is not None:
            return Lookup(origin)
        seq = next(self._seqs)
        found: asyncio.Future[StreamOrigin] = asyncio.get_running_loop().create_future()
        search = self._searches[seq] = _Search(found)
        try:
            return await self._search(search, OriginAsk(key, seq, self._address))
        finally:
            del self._searches[seq]

    async def _search(self, search: _Search, ask: OriginAsk) -> Lookup:
        is_young = _now() < self.young_until
        until = _now() + (STARTUP_FIND_S if is_young else FIND_S)
        while True:
            self._owners.update(self._fleet())
            peers = self._owners.asked(ask.key)
            left = [peer for peer in peers if peer.name not in search.without]
            if not (left or is_young) or _now() >= until:
                return Lookup(None, complete=not left)
            self._transport.send(ask, left)
            resend_at = min(until, _now() + RESEND_S)
            await self._wait(search, {peer.name for peer in left}, resend_at)
            if search.found.done():
                return Lookup(search.found.result())

    async def _wait(self, search: _Search, asked: set[str], until: float) -> None:
        """Wait until the origin is found, all have answered, or time ``until``."""
        try:
            async with asyncio.timeout_at(until):
                while not search.found.done() and asked - search.without:
                    search.answered.clear()
                    await search.answered.wait()
                if not search.found.done() and not asked:
                    await asyncio.sleep(RESEND_S)
        except TimeoutError:
            return

    def _receive(self, notice: OriginNotice) -> None:
        self._store.put(notice, _now())
        if self._file is not None:
            self._file.append(notice)

    def _answer(self, ask: OriginAsk) -> None:
        notice = self._store.notice(ask.key, _now())
        asker = GatewayPeer("", ask.reply_to, "")
        self._transport.send(OriginReply(ask.seq, self._name, notice), (asker,))

    def _on_reply(self, reply: OriginReply) -> None:
        search = self._searches.get(reply.seq)
        if search is None:
            return
        if reply.notice is None:
            search.without.add(reply.gateway)
        elif not search.found.done():
            self._receive(reply.notice)
            origin = StreamOrigin(reply.notice.pool, reply.notice.software)
            search.found.set_result(origin)
        search.answered.set()

    async def _expire_periodically(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self._store.expire(_now())


def _now() -> float:
    return asyncio.get_running_loop().time()
