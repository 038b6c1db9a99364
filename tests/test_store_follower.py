"""Which gateways follow KV cache stores, what they relay, and which store is used."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from gooseberrydale.connection.codec import encode
from gooseberrydale.process.gateway.declared_store import DeclaredStore
from gooseberrydale.process.gateway.store_follower import (
    LIST_READ_SPREAD_S,
    FollowReply,
    Peers,
    StoreBusyError,
    StoreFollower,
)
from gooseberrydale.request.gateway_call import PromptPart
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.declared import KvStoreDecl
from gooseberrydale.version.route_table import RouteTable
from gooseberrydale.version.store_followers import (
    MAX_ALL_FOLLOWING,
    RELAY_TIMEOUT_S,
    RELAYS,
    Role,
    StoreTidings,
    role_of,
    store_messages,
)
from gooseberrydale.version.store_view import StoreEvent, StoreUpdate
from gooseberrydale.version.stores import Stores
from tests.builders_gateway import declared
from tests.clock import run_paused

STORE = "10.0.0.1:1"
LOT = PromptPart("lot", 4_000)
MAX_FOLLOWERS = 3


@dataclass
class FakeStore:
    """A store that lets three callers wait at once, each for at most a second."""

    incarnation: str = "1"
    up: bool = True
    events: list[StoreEvent] = field(default_factory=list)
    waiting: int = 0
    lists: int = 0
    follows: int = 0

    async def follow(self, address: str, since: int) -> FollowReply | None:
        if self.waiting >= MAX_FOLLOWERS:
            raise StoreBusyError
        self.waiting += 1
        self.follows += 1
        try:
            for _ in range(20):
                if len(self.events) > since or not self.up:
                    break
                await asyncio.sleep(0.05)
        finally:
            self.waiting -= 1
        if not self.up:
            return None
        update = StoreUpdate(self.incarnation, tuple(self.events[since:]))
        return FollowReply(update, len(self.events))

    async def read_all(self, address: str) -> FollowReply | None:
        self.lists += 1
        if not self.up:
            return None
        update = StoreUpdate(self.incarnation, tuple(self.events), whole=True)
        return FollowReply(update, len(self.events))


class Fleet:
    """The followers of many gateways, with messages that arrive immediately."""

    def __init__(self, count: int, store: FakeStore) -> None:
        table = RouteTable(declared(stores=(KvStoreDecl("kv", STORE, "z"),)))
        self.names = [f"g{number}" for number in range(count)]
        self.stores = [Stores() for _ in self.names]
        self.followers: list[StoreFollower] = []
        self.muted: set[str] = set()
        for name, stores in zip(self.names, self.stores, strict=True):
            source = DeclaredStore(  # type: ignore
                ConfigStore(), lambda body: None, ConfirmedRevision(), 4.0
            )
            source.table = table
            peers = Peers(
                name,
                lambda: dict.fromkeys(self.names, 0.0),
                lambda message, name=name: self.send(name, message),  # type: ignore
                random.Random(name),
            )
            self.followers.append(StoreFollower(source, store, stores, peers))

    def send(self, sender: str, message: StoreTidings) -> None:
        if sender in self.muted:
            return
        for name, follower in zip(self.names, self.followers, strict=True):
            if name != sender:
                follower.receive(message)

    async def start(self) -> None:
        for follower in self.followers:
            await follower.start()

    async def close(self) -> None:
        for follower in self.followers:
            await follower.close()

    def holding(self) -> int:
        """Count the gateways whose view says that the store holds the prefix."""
        views = [stores.store_for([LOT]) for stores in self.stores]
        return sum(view is not None and view.holds("s", [LOT]) for view in views)


@pytest.mark.parametrize("count", [2, 20])
def test_every_gateway_receives_the_contents_of_the_store(count: int) -> None:
    async def main() -> None:
        store = FakeStore()
        fleet = Fleet(count, store)
        await fleet.start()
        await asyncio.sleep(3.0)
        assert fleet.holding() == 0
        store.events.append(StoreEvent("s", "lot", 4_000))
        await asyncio.sleep(0.5)
        assert fleet.holding() == count
        store.events.append(StoreEvent("s", "lot", 0))
        await asyncio.sleep(0.5)
        assert fleet.holding() == 0
        assert store.waiting <= RELAYS
        # Only the relays keep calling the store.
        assert store.lists <= 2 * count
        await fleet.close()

    run_paused(main())


def test_all_gateways_notice_a_store_that_restarts_empty() -> None:
    async def main() -> None:
        store = FakeStore(events=[StoreEvent("s", "lot", 4_000)])
        fleet = Fleet(20, store)
        await fleet.start()
        await asyncio.sleep(3.0)
        assert fleet.holding() == 20
        store.up = False
        await asyncio.sleep(2.0)
        assert [stores.store_for([LOT]) for stores in fleet.stores] == [None] * 20
        store.up, store.incarnation, store.events = True, "2", []
        await asyncio.sleep(3.0)
        views = [stores.store_for([LOT]) for stores in fleet.stores]
        assert all(view is not None and view.lacks("s", [LOT]) for view in views)
        await fleet.close()

    run_paused(main())


def test_list_is_read_again_if_the_relays_fall_silent() -> None:
    async def main() -> None:
        store = FakeStore()
        fleet = Fleet(20, store)
        await fleet.start()
        await asyncio.sleep(3.0)
        fleet.muted = set(fleet.names)
        store.events.append(StoreEvent("s", "lot", 4_000))
        await asyncio.sleep(RELAY_TIMEOUT_S + LIST_READ_SPREAD_S + 1.0)
        assert fleet.holding() == 20
        await fleet.close()

    run_paused(main())


def test_roles_of_gateways() -> None:
    few = {f"g{number}": 0.0 for number in range(MAX_ALL_FOLLOWING)}
    assert {role_of(name, few, STORE) for name in few} == {Role.FOLLOW}
    many = {f"g{number}": 0.0 for number in range(40)}
    for store in ("a", "b", "c"):
        parts = [role_of(name, many, store) for name in many]
        assert parts.count(Role.RELAY) == RELAYS
        assert parts.count(Role.LISTEN) == len(many) - RELAYS


WIDE, THIN = 100.0, 5.0


def relays(links: dict[str, float], store: str) -> set[str]:
    return {name for name in links if role_of(name, links, store) is Role.RELAY}


@pytest.mark.parametrize("store", ["a", "b", "c"])
def test_relays_have_wide_links(store: str) -> None:
    """Messages to all other gateways would fill a thin link that callers share."""
    links = {f"g{n}": WIDE if n % 4 == 0 else THIN for n in range(26)}
    chosen = relays(links, store)
    assert len(chosen) == RELAYS
    assert {links[name] for name in chosen} == {WIDE}
    # If one of them ends, another gateway with a wide link replaces it.
    lost = chosen.pop()
    left = {name: mbps for name, mbps in links.items() if name != lost}
    assert chosen < relays(left, store)
    assert {links[name] for name in relays(left, store)} == {WIDE}


def test_a_single_wide_link_is_not_the_only_relay() -> None:
    links = {"wide": WIDE, **{f"g{n}": THIN for n in range(20)}}
    assert len(relays(links, STORE)) == RELAYS


def test_store_messages_fit_a_datagram() -> None:
    events = tuple(
        StoreEvent("a-model-name.12345678.a-workspace", f"{n:016x}", 9_999)
        for n in range(100)
    )
    messages = store_messages("10.100.100.100:10000", "123456789012", events, up=True)
    assert sum((message.events for message in messages), ()) == events
    assert max(len(encode(message)) for message in messages) < 2_000
    assert len(store_messages(STORE, "1", (), up=True)) == 1


def test_prefixes_are_distributed_over_the_stores_that_answer() -> None:
    stores = Stores()
    stores.declare(["a", "b", "c"])
    parts = [[PromptPart(f"lot{number}", 4_000)] for number in range(300)]
    assert stores.store_for(parts[0]) is None
    for address in ("a", "b", "c"):
        view = stores.view(address)
        assert view is not None
        view.take(StoreUpdate("1", ()))
    before = [chosen.address for part in parts if (chosen := stores.store_for(part))]
    assert all(before.count(address) > 70 for address in ("a", "b", "c"))
    lost = stores.view("b")
    assert lost is not None
    lost.lost()
    after = [chosen.address for part in parts if (chosen := stores.store_for(part))]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {"b"} and "b" not in after
    assert stores.store_for([]) is None
