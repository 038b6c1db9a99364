"""Mesh members on real sockets: restarts, silent connections, unreachable control."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import replace
from typing import Any, Protocol

from loguru import logger

from gooseberrydale.version.declarations import Config
from tests.builders_mesh import LEASE_S, Member, until
from tests.relay import Relay, RelayMode


class Closable(Protocol):
    """Something that can be started and closed."""

    def start(self) -> Awaitable[Any]: ...

    def close(self) -> Awaitable[Any]: ...


class Group:
    """Members and relays of one test, closed at its end in reverse order."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack

    async def add(self, closable: Closable) -> Any:
        """Start ``closable`` now and close it at the end of the test."""
        self._stack.push_async_callback(closable.close)
        await closable.start()
        return closable


@asynccontextmanager
async def group() -> AsyncIterator[Group]:
    async with AsyncExitStack() as stack:
        yield Group(stack)


def run(main: Callable[[Group], Awaitable[None]]) -> None:
    async def enter_group() -> None:
        async with group() as members:
            await main(members)

    asyncio.run(enter_group())


def test_records_and_configuration_reach_all_members_and_control_receives_acks():
    async def main(members: Group) -> None:
        control = await members.add(Member("control", "c1", revision=3))
        entry = await members.add(Member("entry", "e1", controls=(control.address,)))
        addresses = {"controls": (control.address,), "entries": (entry.address,)}
        sidecar = await members.add(Member("sidecar", "u1", **addresses))
        upstream = [("u1", sidecar.incarnation)]
        await until(lambda: entry.ready() == control.ready() == upstream)
        control.store.offer(Config(revision=4, leaving=frozenset({"u9"})))
        await until(lambda: entry.store.revision == sidecar.store.revision == 4)
        assert sidecar.store.config == entry.store.config == control.store.config
        acked = {("entry", "e1", 4), ("sidecar", "u1", 4)}
        await until(
            lambda: acked <= {(a.role, a.name, a.revision) for a in control.acks}
        )
        assert not sidecar.mesh.behind and sidecar.mesh.connected

    run(main)


def test_a_restarted_sidecar_replaces_its_record_and_changes_are_sent_immediately():
    async def main(members: Group) -> None:
        entry = await members.add(Member("entry", "e1"))
        first = await members.add(Member("sidecar", "u1", entries=(entry.address,)))
        await until(lambda: entry.ready() == [("u1", first.incarnation)])
        await first.close()
        second = Member("sidecar", "u1", incarnation=2, entries=(entry.address,))
        # With this lease, no periodic renewal is sent before the last wait below ends.
        second.own = replace(second.own, lease_s=60.0)
        await members.add(second)
        await until(lambda: entry.ready() == [("u1", second.incarnation)], LEASE_S)
        second.own = replace(second.own, leaving=True)
        second.mesh.announce()
        await until(lambda: entry.ready() == [], 10.0)

    run(main)


def test_restarted_entries_recover_from_sidecars_while_control_is_unreachable():
    async def main(members: Group) -> None:
        control = await members.add(Member("control", "c1", revision=8))
        relay = await members.add(Relay(control.port))
        addresses = {"controls": (relay.address,)}
        entries = [
            await members.add(Member("entry", f"e{n}", **addresses)) for n in "12"
        ]
        addresses["entries"] = tuple(entry.address for entry in entries)
        for name in ("u1", "u2"):
            sidecar = await members.add(Member("sidecar", name, **addresses))
            await until(lambda: sidecar.store.revision == 8)
        await relay.set_mode(RelayMode.CUT)
        ports = [entry.port for entry in entries]
        for entry in entries:
            await entry.close()
        # Long enough for each sidecar to fail to reconnect more than once.
        await asyncio.sleep(1)
        fresh = [
            await members.add(
                Member("entry", f"e{n}", incarnation=2, port=port, **addresses)
            )
            for n, port in enumerate(ports, 1)
        ]
        for entry in fresh:
            await until(lambda: [name for name, _ in entry.ready()] == ["u1", "u2"])
            await until(lambda: entry.store.revision == 8)

    run(main)


def test_a_sidecar_without_control_receives_its_leaving_mark_from_an_entry():
    async def main(members: Group) -> None:
        control = await members.add(Member("control", "c1", revision=1))
        entry = await members.add(Member("entry", "e1", controls=(control.address,)))
        relay = await members.add(Relay(control.port))
        sidecar = await members.add(
            Member("sidecar", "u1", controls=(relay.address,), entries=(entry.address,))
        )
        await until(lambda: sidecar.store.revision == 1)
        await relay.set_mode(RelayMode.SILENT)
        control.store.offer(Config(revision=2, leaving=frozenset({"u1"})))
        await until(lambda: sidecar.store.config.leaving == {"u1"})

    run(main)


def test_a_silent_connection_is_replaced_while_other_sessions_continue():
    async def main(members: Group) -> None:
        near, far = [await members.add(Member("entry", f"e{n}")) for n in "12"]
        relay = await members.add(Relay(far.port))
        sidecar = await members.add(
            Member("sidecar", "u1", entries=(near.address, relay.address))
        )
        await until(lambda: near.ready() and far.ready())
        relay.silence_open()
        near.store.offer(Config(revision=5))
        await until(lambda: sidecar.store.revision == 5)
        await until(lambda: far.store.revision == 5)
        assert relay.accepted >= 2
        seq = sidecar.directory.records(0.0)[0].seq
        await until(lambda: all(entry.seq("u1") > seq for entry in (near, far)))
        assert near.ready() == far.ready() == [("u1", sidecar.incarnation)]

    run(main)


def test_no_member_propagates_the_record_of_a_stopped_sidecar():
    async def main(members: Group) -> None:
        control = await members.add(Member("control", "c1"))
        addresses = {"controls": (control.address,)}
        first = await members.add(Member("entry", "e1", **addresses))
        addresses["entries"] = (first.address,)
        second = await members.add(Member("entry", "e2", **addresses))
        sidecar = await members.add(Member("sidecar", "u1", entries=(first.address,)))
        receivers = [control, first, second]
        await until(lambda: all(receiver.ready() for receiver in receivers))
        await sidecar.close()
        await until(lambda: not any(receiver.ready() for receiver in receivers))
        await asyncio.sleep(0.5)
        assert not any(receiver.directory.records(0.0) for receiver in receivers)

    run(main)


def test_the_newer_of_two_sidecars_with_one_name_wins_and_the_older_is_notified():
    async def main(members: Group) -> None:
        entry = await members.add(Member("entry", "e1"))
        addresses = {"entries": (entry.address,)}
        later = await members.add(Member("sidecar", "u1", incarnation=2, **addresses))
        await until(entry.ready)
        earlier = await members.add(Member("sidecar", "u1", incarnation=1, **addresses))
        await until(lambda: earlier.ready() == [("u1", later.incarnation)])
        assert entry.ready() == [("u1", later.incarnation)]

    run(main)


def test_a_wrong_fleet_token_opens_no_session_and_is_reported_once():
    async def main(members: Group) -> None:
        logged: list[str] = []
        sink = logger.add(logged.append, level="ERROR", format="{message}")
        entry = await members.add(Member("entry", "e1"))
        relay = await members.add(Relay(entry.port))
        await members.add(
            Member("sidecar", "u1", entries=(relay.address,), token="another")
        )
        await until(lambda: relay.accepted >= 4)
        logger.remove(sink)
        assert entry.ready() == [] and not entry.mesh.connected
        assert len(logged) == 1 and "fleet_token_file" in logged[0]

    run(main)


def test_an_entry_stops_connecting_to_an_address_that_is_its_own():
    async def main(members: Group) -> None:
        relay = await members.add(Relay(0))
        entry = Member("entry", "e1", entries=(relay.address,))
        await members.add(entry)
        relay.target_port = entry.port
        await until(lambda: relay.accepted and not relay.open_count)
        accepted = relay.accepted
        await asyncio.sleep(2)
        assert relay.accepted == accepted
        assert entry.acks == [] and not entry.mesh.connected

    run(main)
