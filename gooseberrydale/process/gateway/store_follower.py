"""Keeps the views of the declared KV cache stores up to date.

There is one follower per process, with one task for each store.  A gateway that follows
a store keeps one long-polling call open there; each return shows that the store is up.
In larger deployments only some gateways follow a store, and relay its changes to the
others in datagrams.
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
    RELAY_TIMEOUT_S,
    Role,
    StoreTidings,
    relay_index,
    role_of,
    store_messages,
)
from gooseberrydale.version.store_view import StoreUpdate, StoreView
from gooseberrydale.version.stores import Stores

POLL_INTERVAL_S = 0.25
"""Interval for checking the document for stores and the time of the last message."""

GATHER_PAUSE_S = 0.1
"""Pause between two calls, so that events within it share a call.  A save takes about
as long."""

LOST_PAUSE_S = 0.3
"""Pause between two calls to a store that does not answer."""

BUSY_PAUSE_S = 2.0
"""Pause after a store refused another follower.  Gateways that have just started learn
of each other in this time and agree which of them follow the store."""

LIST_READ_SPREAD_S = 1.0
"""Gateways that lost their relays read the complete list, spread over this time."""


@dataclass(frozen=True, slots=True)
class FollowReply:
    """Changes of a store, and the event number to ask for next."""

    update: StoreUpdate
    next: int


class StoreBusyError(Exception):
    """The store refuses the call because it has its maximum number of followers."""


class StoreFeed(Protocol):
    """Interface of the calls to a store."""

    async def follow(self, address: str, since: int) -> FollowReply | None:
        """Wait for changes after ``since``; return an empty reply after a second.

        None if the store does not answer; may raise :class:`StoreBusyError`.
        """

    async def read_all(self, address: str) -> FollowReply | None:
        """Read the complete contents; expensive, so only used if events were missed."""


@dataclass(frozen=True, slots=True)
class Peers:
    """The other gateways and how to reach them; ``own`` is the name of this one.

    ``links`` returns the link rates of all gateways, this one included, by name.
    ``send`` takes a message and the lane to send it in; each relay has a lane of its
    own.
    """

    own: str
    links: Callable[[], Mapping[str, float]]
    send: Callable[[StoreTidings, int], None]
    rng: random.Random


class StoreFollower:
    """Follows all declared stores and updates their views in ``stores``."""

    def __init__(
        self, declared: DeclaredStore, feed: StoreFeed, stores: Stores, peers: Peers
    ) -> None:
        self._declared = declared
        self._feed = feed
        self._stores = stores
        self._peers = peers
        self._task: asyncio.Task[None] | None = None
        self._subscriptions: dict[str, _Subscription] = {}

    async def start(self) -> None:
        """Start following the declared stores."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._follow_only(())

    def receive(self, message: StoreTidings) -> None:
        """Handle a message that another gateway relays from a store."""
        subscription = self._subscriptions.get(message.address)
        if subscription is not None:
            subscription.receive(message)

    async def _run(self) -> None:
        while True:
            table = self._declared.table
            stores = () if table is None else table.declared.stores
            await self._follow_only([store.address for store in stores])
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _follow_only(self, addresses: Collection[str]) -> None:
        """Follow the stores at ``addresses`` and stop following all others."""
        if self._subscriptions.keys() == set(addresses):
            return
        self._stores.declare(addresses)
        for address in self._subscriptions.keys() - set(addresses):
            await self._subscriptions.pop(address).close()
        for address in addresses:
            view = self._stores.view(address)
            if address not in self._subscriptions and view is not None:
                subscription = _Subscription(view, self._feed, self._peers)
                self._subscriptions[address] = subscription
                subscription.start()


class _Subscription:
    """Keeps the view of one store up to date."""

    def __init__(self, view: StoreView, feed: StoreFeed, peers: Peers) -> None:
        self._view = view
        self._feed = feed
        self._peers = peers
        self._since: int | None = None
        self._received_at = -math.inf
        # Whether the list was read since this gateway began to depend on relays.
        self._listed = False
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def receive(self, message: StoreTidings) -> None:
        if self._role() is not Role.LISTEN:
            return
        self._received_at = asyncio.get_running_loop().time()
        if message.up:
            self._apply(StoreUpdate(message.incarnation, message.events))
        else:
            self._mark_lost()

    def _role(self) -> Role:
        links = self._peers.links()
        return role_of(self._peers.own, links, self._view.address)

    async def _run(self) -> None:
        while True:
            role = self._role()
            if role is Role.LISTEN:
                await self._listen()
            else:
                await self._follow(relay=role is Role.RELAY)

    async def _listen(self) -> None:
        """Read the complete list, then depend on relays until they fall silent."""
        now = asyncio.get_running_loop().time()
        if self._listed and now < self._received_at + RELAY_TIMEOUT_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            return
        await asyncio.sleep(self._peers.rng.uniform(0.0, LIST_READ_SPREAD_S))
        self._since = None
        reply = await self._call()
        if reply is not None:
            self._apply(reply.update)
        self._listed = True
        # Wait the full silence bound again before the next list.
        self._received_at = asyncio.get_running_loop().time()

    async def _follow(self, *, relay: bool) -> None:
        """Make one call to the store and apply its reply."""
        self._listed = False
        try:
            reply = await self._call()
        except StoreBusyError:
            emit(StoreBusy(self._view.address))
            await asyncio.sleep(BUSY_PAUSE_S)
            return
        if reply is None:
            if relay:
                self._relay(StoreUpdate("", ()), up=False)
            await asyncio.sleep(LOST_PAUSE_S)
            return
        if reply.update.missed:
            emit(StoreEventsMissed(self._view.address))
            self._since = None
            return
        whole, self._since = self._since is None, reply.next
        self._apply(reply.update)
        if relay:
            # Gateways that depend on relays have read the list themselves.
            relayed = (
                StoreUpdate(reply.update.incarnation, ()) if whole else reply.update
            )
            self._relay(relayed, up=True)
        await asyncio.sleep(GATHER_PAUSE_S)

    async def _call(self) -> FollowReply | None:
        """Call the store; if it does not answer, mark its view as lost."""
        address = self._view.address
        if self._since is None:
            reply = await self._feed.read_all(address)
        else:
            reply = await self._feed.follow(address, self._since)
        if reply is None:
            self._mark_lost()
        return reply

    def _relay(self, update: StoreUpdate, *, up: bool) -> None:
        address, links = self._view.address, self._peers.links()
        lane = relay_index(self._peers.own, links, address) or 0
        for message in store_messages(
            address, update.incarnation, update.events, up=up
        ):
            self._peers.send(message, lane)

    def _apply(self, update: StoreUpdate) -> None:
        if not self._view.up:
            emit(StoreFound(self._view.address))
        self._view.take(update)

    def _mark_lost(self) -> None:
        if self._view.up:
            emit(StoreLost(self._view.address))
        self._view.lost()
