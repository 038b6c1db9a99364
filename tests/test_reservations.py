"""What all gateways send to an upstream together stays within what it holds."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gooseberrydale.connection.codec import encode
from gooseberrydale.request.capacity_ports import Need
from gooseberrydale.version.capacity.ledger import GRANT_TTL_S, Ledger
from gooseberrydale.version.capacity.messages import ReserveAsk, Reserved
from gooseberrydale.version.capacity.owners import CapacityOwners
from gooseberrydale.version.capacity.room import (
    Amount,
    Room,
    amount_of,
    equal_part,
    is_near,
)
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from tests.builders_logs import logged
from tests.builders_reservations import NEED, POOL, SLOTS, ReservingFleet, now
from tests.clock import run_paused

CAPACITY_PER_S = 8 * SLOTS / 0.6
CALM_PER_S = 0.7 * CAPACITY_PER_S
BURST_PER_S = 2.5 * CALM_PER_S

Fault = Callable[[ReservingFleet], Awaitable[None]]


async def quiet(fleet: ReservingFleet) -> None:
    """No fault."""


async def several(fleet: ReservingFleet) -> None:
    """Datagrams are lost; owners are killed, frozen and cut off one after the other."""
    fleet.net.loss = 0.02
    await asyncio.sleep(1.0)
    fleet.kill(fleet.owner("u0"))
    await asyncio.sleep(0.7)
    frozen = next(n for n in fleet.nodes if n.alive)
    fleet.freeze(frozen)
    await asyncio.sleep(1.0)
    fleet.thaw(frozen)
    fleet.cut([next(n for n in reversed(fleet.nodes) if n.alive)])
    await asyncio.sleep(1.0)
    fleet.net.side_of = {}


async def cut_in_two(fleet: ReservingFleet) -> None:
    await asyncio.sleep(0.5)
    fleet.cut(fleet.nodes[::2])
    await asyncio.sleep(4.5)


async def _play(fleet: ReservingFleet, fault: Fault) -> ReservingFleet:
    """A burst of 5 s reaches idle upstreams."""
    async with asyncio.TaskGroup() as group:
        group.create_task(fault(fleet))
        group.create_task(fleet.offer(BURST_PER_S, 5.0))
    return fleet


def play(size: int, fault: Fault = quiet, *, reserves: bool = True) -> ReservingFleet:
    return run_paused(_play(ReservingFleet(size, reserves=reserves), fault))


@pytest.mark.parametrize("size", [3, 27, 70])
def test_a_burst_stays_within_what_upstreams_hold(size: int) -> None:
    """Guards against a burst that fills an idle upstream beyond its capacity.

    A few sends are not reserved, as reports of what fills the upstream are under way.
    """
    fleet = play(size, several)
    assert max(fleet.most.values()) <= 1.05 * SLOTS
    assert fleet.served > 2_000


def test_without_reservations_a_burst_exceeds_what_upstreams_hold() -> None:
    """Shows that the burst is one that reservations are needed for."""
    without, with_them = play(27, reserves=False), play(27)
    assert min(without.most.values()) > 1.3 * SLOTS
    assert max(with_them.most.values()) <= 1.05 * SLOTS
    # Four fifths of what eight upstreams can run in five seconds, filling included.
    assert with_them.served > 0.75 * 5.0 * CAPACITY_PER_S


def test_two_halves_of_a_fleet_that_is_cut_share_the_upstreams() -> None:
    """Guards against each side using all of the capacity."""
    fleet = play(27, cut_in_two)
    assert max(fleet.most.values()) <= 1.15 * SLOTS


# Pure rules.

LIMIT = Amount(10, 1_000, 600)
AMOUNTS = st.tuples(st.integers(0, 2), st.integers(0, 400), st.integers(0, 300))
ASKS = st.lists(
    st.tuples(st.integers(0, 3), st.integers(1, 6), AMOUNTS, st.floats(0.0, 0.2)),
    max_size=40,
)


def _need(rank: int, kv_tokens: int, unshared: int) -> Need:
    return Need(rank, kv_tokens, 0, unshared_tokens=min(unshared, kv_tokens))


@given(ASKS, st.integers(0, 10), st.integers(0, 1_000))
def test_grants_never_exceed_the_limit(
    asks: list[tuple[int, int, tuple[int, int, int], float]], requests: int, kv: int
) -> None:
    """Guards against grants beyond the limit, and ones that count for ever."""
    ledger, now = Ledger(), 0.0
    room = Room(LIMIT, Amount(requests, kv, min(kv, 300)))
    for asker, seq, (rank, tokens, unshared), after_s in asks:
        now += after_s
        need = _need(rank, tokens, unshared)
        before = ledger.reserved(rank, now)
        verdict = ledger.ask(f"g{asker}", seq, need, room, now)
        reserved = ledger.reserved(rank, now)
        assert all(n >= 0 for n in reserved)
        assert verdict.granted or reserved == before
        if reserved != before:
            assert room.fits(Amount(), reserved)
        assert 0.0 <= verdict.after_s <= 0.1
    assert ledger.reserved(9, now + GRANT_TTL_S) == Amount()
    assert ledger.is_empty(now + GRANT_TTL_S)


def test_a_repeated_ask_is_granted_once() -> None:
    ledger, room = Ledger(), Room(LIMIT, Amount(8, 0, 0))
    need = _need(0, 10, 10)
    for _ in range(3):
        assert ledger.ask("g1", 1, need, room, 0.0).granted
    assert ledger.reserved(0, 0.0).requests == 1
    assert ledger.ask("g1", 2, need, room, 0.1).granted
    refused = ledger.ask("g2", 1, need, room, 0.1)
    assert not refused.granted and refused.after_s > 0.0
    # The first grant has expired; its request is in reports by then.
    assert ledger.ask("g2", 2, need, room, 0.26).granted


def test_grants_of_less_urgent_ranks_leave_room_except_for_unshared_memory() -> None:
    ledger, room = Ledger(), Room(LIMIT, Amount())
    assert ledger.ask("g1", 1, Need(2, 900, 0, 10, 500), room, 0.0).granted
    assert not ledger.ask("g1", 2, _need(2, 10, 0), room, 0.0).granted
    assert ledger.ask("g1", 3, _need(0, 900, 50), room, 0.0).granted
    assert not ledger.ask("g1", 4, _need(0, 60, 60), room, 0.0).granted


@given(st.integers(1, 400), st.integers(0, 500), st.integers(1, 99))
def test_equal_parts_add_up_to_the_limit(gateways: int, slots: int, kv: int) -> None:
    room = Room(Amount(slots, 1e6, 1e6), Amount())
    need = Amount(1.0, kv)
    parts = [equal_part(room, need, n, gateways) for n in range(gateways)]
    assert sum(parts) == slots
    assert max(parts) - min(parts) <= 1


def test_sends_are_reserved_only_near_the_limit() -> None:
    """Guards against datagrams for each request of a quiet day."""
    need = amount_of(NEED)
    limit = Amount(SLOTS, 1e6, 1e6)
    idle, busy = Room(limit, Amount(10)), Room(limit, Amount(40))
    assert not is_near(idle, need, idle.count(need), 27)
    assert is_near(busy, need, busy.count(need), 27)
    large = Room(Amount(1_000, 1e6, 1e6), Amount(500))
    assert not is_near(large, need, large.count(need), 27)


def test_owners_have_wide_links_and_are_the_same_at_all_gateways() -> None:
    links = (100.0, 10.0, 100.0, 10.0, 100.0)
    peers = [GatewayPeer(f"g{n}", f"h{n}:1", "z", w) for n, w in enumerate(links)]
    chosen, positions = set(), set()
    for own in peers:
        owners = CapacityOwners()
        owners.update(Fleet(own, tuple(p for p in peers if p is not own)))
        chosen.add(tuple(peer.name for peer in owners.of("u1")))
        positions.add(owners.position("u1"))
    assert len(chosen) == 1 and positions == set(range(5))
    (names,) = chosen
    assert len(names) == 2 and set(names) <= {"g0", "g2", "g4"}


FAULTY = [
    ReserveAsk("g1", 1, POOL, "u0", rank, kv, unshared, requests)
    for rank, kv, unshared, requests in (
        (-1, 10, 10, 1),
        (99, 10, 10, 1),
        (0, -10, 10, 1),
        (0, 10, -10, 1),
        (0, 10, 10, 0),
        (0, 2**60, 10, 1),
    )
]


@pytest.mark.parametrize("ask", FAULTY)
def test_asks_out_of_bounds_are_not_answered(ask: ReserveAsk) -> None:
    """Guards against a faulty gateway that frees capacity with negative needs."""
    assert ask.need() is None


def test_messages_are_small() -> None:
    ask = ReserveAsk(
        "gateway/g117", 90_000, "verdicts", "engine-z2-117", 2, 9_197, 2_897
    )
    assert len(encode(ask)) <= 70
    assert len(encode(Reserved("gateway/g117", 90_000, False, 30))) <= 40


async def _alone() -> tuple[list[bool], list[float]]:
    """Return what a gateway is granted, and after how long, while both owners are dead.

    Only the first of three gateways has a wide link.
    """
    fleet = ReservingFleet(3)
    first, node, second = fleet.nodes
    fleet.kill(first)
    fleet.kill(second)
    node.client.owners.update(node.view)
    owners = node.client.owners
    upstream = next(u for u in fleet.upstreams if not owners.is_owner("g1", u))
    fleet.running[upstream]["g2"].add(now(), 20)
    await asyncio.sleep(0.2)
    results, took_s = [], []
    for _ in range(40):
        began = now()
        results.append(await node.client.reserve(POOL, upstream, NEED, 40.0))
        took_s.append(now() - began)
        if results[-1]:
            fleet.running[upstream]["g1"].add(now(), 1)
        await asyncio.sleep(0.01)
    return results, took_s


def test_without_an_owner_a_gateway_uses_its_equal_part_soon() -> None:
    """Guards against waiting for dead owners, and against using the parts of others."""
    results, took_s = run_paused(_alone())
    assert sum(results) in (SLOTS // 3, SLOTS // 3 + 1)
    assert max(took_s) <= 0.0121
    # Owners that did not answer are skipped.
    assert took_s[-1] == 0.0


async def _refused() -> tuple[list[bool], int, float]:
    """Ask for a full upstream three times at once, then after the time it was given."""
    fleet = ReservingFleet(3)
    _, node, other = fleet.nodes
    for upstream in fleet.upstreams:
        fleet.running[upstream][other.peer.name].add(-0.5, SLOTS)
    results = [await node.client.reserve(POOL, "u0", NEED, 1.0) for _ in range(3)]
    sent = fleet.net.sent[node.peer.name]
    assert node.client.free_requests(POOL, 0, now()) == 0.0
    fleet.running["u0"][other.peer.name].add(now(), -3)
    await asyncio.sleep(0.2)
    results.append(await node.client.reserve(POOL, "u0", NEED, 3.0))
    return results, sent, node.client.free_requests(POOL, 0, now())


def test_a_full_upstream_is_asked_for_again_only_after_the_given_time() -> None:
    """Guards against datagrams for each request that waits."""
    results, sent, free = run_paused(_refused())
    assert results == [False, False, False, True]
    assert sent == 1
    # Whole requests that fit: what is granted is not in reports yet.
    assert free == 3.0


class ShortDelays(random.Random):
    """Gives each datagram the shortest delay: two of them never exceed a time-out."""

    def uniform(self, a: float, b: float) -> float:
        return a


async def _owners_seen() -> list[tuple[str, str, str]]:
    """Return the logged owners while owners of an upstream die and one returns."""
    fleet = ReservingFleet(4)
    fleet.net.rng = ShortDelays()
    for node in fleet.nodes:
        node.client.owners.update(node.view)
    order = fleet.nodes[0].client.owners.of("u0")
    first, second = (next(n for n in fleet.nodes if n.peer == p) for p in order)
    node = next(n for n in fleet.nodes if n not in (first, second))
    fleet.running["u0"]["x"].add(-0.5, 20)

    async def ask(count: int) -> None:
        for _ in range(count):
            await node.client.reserve(POOL, "u0", NEED, 40.0)
            await asyncio.sleep(0.3)

    with logged("reservation_owner") as lines:
        await ask(3)
        fleet.freeze(first)
        await ask(1)
        first.frozen = False
        # One answer that is missing says nothing about the owner.
        await ask(1)
        assert not lines
        fleet.freeze(first)
        await ask(4)
        fleet.freeze(second)
        await ask(8)
        fleet.thaw(first)
        await ask(6)
        others = tuple(p for p in node.view.others if p is not first.peer)
        node.view = Fleet(node.peer, others)
        fleet.thaw(second)
        await ask(8)
    names = {first.peer.name: "first", second.peer.name: "second", "": ""}
    return [
        (names[line["before"]], names.get(line["owner"], "third"), line["reason"])
        for line in lines
    ]


def test_owners_are_logged_when_they_fall_silent_return_or_leave() -> None:
    """Guards against a line for each lost datagram, and against changes without one."""
    assert run_paused(_owners_seen()) == [
        ("first", "second", "silent"),
        ("second", "", "silent"),
        ("", "first", "back"),
        ("first", "second", "gone"),
    ]
