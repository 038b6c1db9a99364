"""Follows the events of the declared store of KV cache.

Lives as long as the process.  One call at a time waits at the store until something
happens; that it returns shows that the store is there.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from gooseberrydale.log_events import (
    StoreBusy,
    StoreEventsMissed,
    StoreFound,
    StoreLost,
    emit,
)
from gooseberrydale.process.gateway.declared_store import DeclaredStore
from gooseberrydale.version.store_view import StoreNews, StoreView

LOOK_S = 0.25
"""Between two looks at the document while it declares no store."""

GATHER_S = 0.1
"""Events that come meanwhile share a call; a save takes about as long."""

LOST_PAUSE_S = 0.3
"""Between two calls to a store that does not answer."""

BUSY_PAUSE_S = 10.0
"""A store that has enough followers is asked again after this."""


@dataclass(frozen=True, slots=True)
class Followed:
    """News since a number, and the number to ask for next."""

    news: StoreNews
    next: int


class StoreBusyError(Exception):
    """The store has as many followers as it takes."""


class StoreFeed(Protocol):
    """Calls to a store."""

    async def follow(self, address: str, since: int) -> Followed | None:
        """News after ``since``, as soon as there are some, or none after a second.

        None if the store does not answer; raises :class:`StoreBusyError`.
        """

    async def read_all(self, address: str) -> Followed | None:
        """All that the store holds; dear, so only where events don't tell."""


class StoreFollower:
    """Keeps ``view`` up to date; it is None while no store is declared."""

    def __init__(self, declared: DeclaredStore, feed: StoreFeed) -> None:
        self._declared = declared
        self._feed = feed
        self._task: asyncio.Task[None] | None = None
        self.view: StoreView | None = None

    async def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        since: int | None = None
        while True:
            address = self._address()
            if address is None:
                self.view = None
                await asyncio.sleep(LOOK_S)
                continue
            if self.view is None or self.view.address != address:
                self.view, since = StoreView(address), None
            since = await self._follow(self.view, since)

    def _address(self) -> str | None:
        table = self._declared.table
        stores = () if table is None else table.declared.stores
        return stores[0].address if stores else None

    async def _follow(self, view: StoreView, since: int | None) -> int | None:
        """One call; return the number to ask for next, None to read all anew."""
        try:
            if since is None:
                found = await self._feed.read_all(view.address)
            else:
                found = await self._feed.follow(view.address, since)
        except StoreBusyError:
            emit(StoreBusy(view.address))
            await asyncio.sleep(BUSY_PAUSE_S)
            return since
        if found is None:
            if view.up:
                emit(StoreLost(view.address))
            view.lost()
            await asyncio.sleep(LOST_PAUSE_S)
            return since
        if not view.up:
            emit(StoreFound(view.address))
        if found.news.missed:
            emit(StoreEventsMissed(view.address))
            return None
        view.take(found.news)
        await asyncio.sleep(GATHER_S)
        return found.next
