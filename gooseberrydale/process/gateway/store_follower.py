"""Keeps the views of the declared stores of KV cache up to date.

Lives as long as the process, with one task for each store.  A gateway that follows a
store has one call waiting there until something happens; that it returns shows that
the store is there.  The other gateways hear of it by datagrams.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Collection, Mapping
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
from gooseberrydale.version.store_followers import (
    RELAY_SILENT_S,
    Part,
    StoreTidings,
    lane_of,
    part_of,
    tidings,
)
from gooseberrydale.version.store_view import StoreNews, StoreView
from gooseberrydale.version.stores import Stores

LOOK_S = 0.25
"""Between two looks at the document, and at what other gateways told."""

GATHER_S = 0.1
"""Events that come meanwhile share a call; a save takes about as long."""

LOST_PAUSE_S = 0.3
"""Between two calls to a store that does not answer."""

BUSY_PAUSE_S = 2.0
"""A store that has enough followers is asked again after this; gateways that know of
each other share the following out in that time."""

LIST_SPREAD_S = 1.0
"""Gateways that lost their relay read the whole list spread over this time."""


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


@dataclass(frozen=True, slots=True)
class Others:
    """The other gateways and how to tell them; ``own`` is the name of this one.

    ``links`` has all of them, this one included, with the links of their nodes.
    ``tell`` takes the lane as well by which a message goes: relays use different ones.
    """

    own: str
    links: Callable[[], Mapping[str, float]]
    tell: Callable[[StoreTidings, int], None]
    rng: random.Random


class StoreFollower:
    """Follows all declared stores; ``stores`` has what is known of them."""

    def __init__(
        self, declared: DeclaredStore, feed: StoreFeed, stores: Stores, others: Others
    ) -> None:
        self._declared = declared
        self._feed = feed
        self._stores = stores
        self._others = others
        self._task: asyncio.Task[None] | None = None
        self._followings: dict[str, _Following] = {}

    async def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._keep(())

    def hear(self, told: StoreTidings) -> None:
        """Another gateway passes on what a store told it."""
        following = self._followings.get(told.address)
        if following is not None:
            following.hear(told)

    async def _run(self) -> None:
        while True:
            table = self._declared.table
            stores = () if table is None else table.declared.stores
            await self._keep([store.address for store in stores])
            await asyncio.sleep(LOOK_S)

    async def _keep(self, addresses: Collection[str]) -> None:
        """Follow the stores at ``addresses`` and no others."""
        if self._followings.keys() == set(addresses):
            return
        self._stores.declare(addresses)
        for address in self._followings.keys() - set(addresses):
            await self._followings.pop(address).close()
        for address in addresses:
            view = self._stores.view(address)
            if address not in self._followings and view is not None:
                following = _Following(view, self._feed, self._others)
                self._followings[address] = following
                following.start()


class _Following:
    """Keeps the view of one store up to date."""

    def __init__(self, view: StoreView, feed: StoreFeed, others: Others) -> None:
        self._view = view
        self._feed = feed
        self._others = others
        self._since: int | None = None
        self._heard_at = -math.inf
        # Whether the list was read since this gateway began to listen.
        self._listed = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def hear(self, told: StoreTidings) -> None:
        if self._part() is not Part.LISTEN:
            return
        self._heard_at = asyncio.get_running_loop().time()
        if told.up:
            self._take(StoreNews(told.incarnation, told.events))
        else:
            self._lose()

    def _part(self) -> Part:
        links = self._others.links()
        return part_of(self._others.own, links, self._view.address)

    async def _run(self) -> None:
        while True:
            part = self._part()
            if part is Part.LISTEN:
                await self._listen()
            else:
                await self._follow(relay=part is Part.RELAY)

    async def _listen(self) -> None:
        """Begin with the whole list; then the relays tell, unless they are gone."""
        now = asyncio.get_running_loop().time()
        if self._listed and now < self._heard_at + RELAY_SILENT_S:
            await asyncio.sleep(LOOK_S)
            return
        await asyncio.sleep(self._others.rng.uniform(0.0, LIST_SPREAD_S))
        self._since = None
        found = await self._call()
        if found is not None:
            self._take(found.news)
        self._listed = True
        # The relays get as long again before the next list.
        self._heard_at = asyncio.get_running_loop().time()

    async def _follow(self, *, relay: bool) -> None:
        """One call, and what follows from its answer."""
        self._listed = False
        try:
            found = await self._call()
        except StoreBusyError:
            emit(StoreBusy(self._view.address))
            await asyncio.sleep(BUSY_PAUSE_S)
            return
        if found is None:
            if relay:
                self._pass_on(StoreNews("", ()), up=False)
            await asyncio.sleep(LOST_PAUSE_S)
            return
        if found.news.missed:
            emit(StoreEventsMissed(self._view.address))
            self._since = None
            return
        whole, self._since = self._since is None, found.next
        self._take(found.news)
        if relay:
            # Those who listen have read the list themselves.
            told = StoreNews(found.news.incarnation, ()) if whole else found.news
            self._pass_on(told, up=True)
        await asyncio.sleep(GATHER_S)

    async def _call(self) -> Followed | None:
        """Ask the store; None, and its view is lost, if it does not answer."""
        address = self._view.address
        if self._since is None:
            found = await self._feed.read_all(address)
        else:
            found = await self._feed.follow(address, self._since)
        if found is None:
            self._lose()
        return found

    def _pass_on(self, news: StoreNews, *, up: bool) -> None:
        address, links = self._view.address, self._others.links()
        lane = lane_of(self._others.own, links, address) or 0
        for told in tidings(address, news.incarnation, news.events, up=up):
            self._others.tell(told, lane)

    def _take(self, news: StoreNews) -> None:
        if not self._view.up:
            emit(StoreFound(self._view.address))
        self._view.take(news)

    def _lose(self) -> None:
        if self._view.up:
            emit(StoreLost(self._view.address))
        self._view.lost()
