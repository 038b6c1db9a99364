"""Who follows the stores of KV cache, what the others hear, and what lies where."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from gooseberrydale.connection.codec import encode
from gooseberrydale.process.gateway.declared_store import DeclaredStore
from gooseberrydale.process.gateway.store_follower import (
    LIST_SPREAD_S,
    Followed,
    Others,
    StoreBusyError,
    StoreFollower,
)
from gooseberrydale.request.gateway_call import PromptPart
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declared import KvStoreDecl
from gooseberrydale.version.route_table import RouteTable
from gooseberrydale.version.store_followers import (
    ALL_FOLLOW,
    RELAY_SILENT_S,
    RELAYS,
    Part,
    StoreTidings,
    part_of,
    tidings,
)
from gooseberrydale.version.store_view import StoreEvent, StoreNews
from gooseberrydale.version.stores import Stores
from tests.builders_gateway import declared
from tests.clock import run_paused

STORE = "10.0.0.1:1"
LOT = PromptPart("lot", 4_000)
MAX_FOLLOWERS = 3


@dataclass
class FakeStore:
    """A store that lets three callers wait, a second at most."""

    incarnation: str = "1"
    up: bool = True
    events: list[StoreEvent] = field(default_factory=list)
    waiting: int = 0
    lists: int = 0
    follows: int = 0

    async def follow(self, address: str, since: int) -> Followed | None:
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
        news = StoreNews(self.incarnation, tuple(self.events[since:]))
        return Followed(news, len(self.events))

    async def read_all(self, address: str) -> Followed | None:
        self.lists += 1
        if not self.up:
            return None
        news = StoreNews(self.incarnation, tuple(self.events), whole=True)
        return Followed(news, len(self.events))


class Fleet:
    """Followers of many gateways that hear each other at once."""

    def __init__(self, count: int, store: FakeStore) -> None:
        table = RouteTable(declared(stores=(KvStoreDecl("kv", STORE, "z"),)))
        self.names = [f"g{number}" for number in range(count)]
        self.stores = [Stores() for _ in self.names]
        self.followers: list[StoreFollower] = []
        self.cut: set[str] = set()
        for name, stores in zip(self.names, self.stores, strict=True):
            known = DeclaredStore(ConfigStore(), lambda body: None)  # type: ignore
            known.table = table
            others = Others(
                name,
                lambda: dict.fromkeys(self.names, 0.0),
                lambda told, name=name: self.tell(name, told),  # type: ignore
                random.Random(name),
            )
            self.followers.append(StoreFollower(known, store, stores, others))

    def tell(self, sender: str, told: StoreTidings) -> None:
        if sender in self.cut:
            return
        for name, follower in zip(self.names, self.followers, strict=True):
            if name != sender:
                follower.hear(told)

    async def start(self) -> None:
        for follower in self.followers:
            await follower.start()

    async def close(self) -> None:
        for follower in self.followers:
            await follower.close()

    def holding(self) -> int:
        """How many gateways know that the store holds the prefix."""
        views = [stores.of([LOT]) for stores in self.stores]
        return sum(view is not None and view.holds("s", [LOT]) for view in views)


@pytest.mark.parametrize("count", [2, 20])
def test_every_gateway_learns_what_the_store_holds(count: int) -> None:
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
        # Nobody but the relays asks again and again.
        assert store.lists <= 2 * count
        await fleet.close()

    run_paused(main())


def test_a_store_that_is_away_and_comes_back_empty_is_known_to_all() -> None:
    async def main() -> None:
        store = FakeStore(events=[StoreEvent("s", "lot", 4_000)])
        fleet = Fleet(20, store)
        await fleet.start()
        await asyncio.sleep(3.0)
        assert fleet.holding() == 20
        store.up = False
        await asyncio.sleep(2.0)
        assert [stores.of([LOT]) for stores in fleet.stores] == [None] * 20
        store.up, store.incarnation, store.events = True, "2", []
        await asyncio.sleep(3.0)
        views = [stores.of([LOT]) for stores in fleet.stores]
        assert all(view is not None and view.lacks("s", [LOT]) for view in views)
        await fleet.close()

    run_paused(main())


def test_without_a_word_from_the_relays_the_list_is_read_again() -> None:
    async def main() -> None:
        store = FakeStore()
        fleet = Fleet(20, store)
        await fleet.start()
        await asyncio.sleep(3.0)
        fleet.cut = set(fleet.names)
        store.events.append(StoreEvent("s", "lot", 4_000))
        await asyncio.sleep(RELAY_SILENT_S + LIST_SPREAD_S + 1.0)
        assert fleet.holding() == 20
        await fleet.close()

    run_paused(main())


def test_parts_of_gateways() -> None:
    few = {f"g{number}": 0.0 for number in range(ALL_FOLLOW)}
    assert {part_of(name, few, STORE) for name in few} == {Part.FOLLOW}
    many = {f"g{number}": 0.0 for number in range(40)}
    for store in ("a", "b", "c"):
        parts = [part_of(name, many, store) for name in many]
        assert parts.count(Part.RELAY) == RELAYS
        assert parts.count(Part.LISTEN) == len(many) - RELAYS


WIDE, THIN = 100.0, 5.0


def relays(links: dict[str, float], store: str) -> set[str]:
    return {name for name in links if part_of(name, links, store) is Part.RELAY}


@pytest.mark.parametrize("store", ["a", "b", "c"])
def test_relays_have_wide_links(store: str) -> None:
    """What they send to all others would fill the link that callers come over."""
    links = {f"g{n}": WIDE if n % 4 == 0 else THIN for n in range(26)}
    found = relays(links, store)
    assert len(found) == RELAYS
    assert {links[name] for name in found} == {WIDE}
    # Once one of them is gone, another one with a wide link takes its place.
    lost = found.pop()
    left = {name: mbps for name, mbps in links.items() if name != lost}
    assert found < relays(left, store)
    assert {links[name] for name in relays(left, store)} == {WIDE}


def test_one_wide_link_alone_does_not_carry_all() -> None:
    links = {"wide": WIDE, **{f"g{n}": THIN for n in range(20)}}
    assert len(relays(links, STORE)) == RELAYS


def test_tidings_fit_a_datagram() -> None:
    events = tuple(
        StoreEvent("a-model-name.12345678.a-workspace", f"{n:016x}", 9_999)
        for n in range(100)
    )
    told = tidings("10.100.100.100:10000", "123456789012", events, up=True)
    assert sum((one.events for one in told), ()) == events
    assert max(len(encode(one)) for one in told) < 2_000
    assert len(tidings(STORE, "1", (), up=True)) == 1


def test_prefixes_are_shared_out_among_the_stores_that_answer() -> None:
    stores = Stores()
    stores.declare(["a", "b", "c"])
    parts = [[PromptPart(f"lot{number}", 4_000)] for number in range(300)]
    assert stores.of(parts[0]) is None
    for address in ("a", "b", "c"):
        view = stores.view(address)
        assert view is not None
        view.take(StoreNews("1", ()))
    before = [found.address for one in parts if (found := stores.of(one))]
    assert all(before.count(address) > 70 for address in ("a", "b", "c"))
    lost = stores.view("b")
    assert lost is not None
    lost.lost()
    after = [found.address for one in parts if (found := stores.of(one))]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {"b"} and "b" not in after
    assert stores.of([]) is None
