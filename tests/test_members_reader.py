"""Processes without sessions read the members of the control log."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from gooseberrydale.connection.rpc import READ_MEMBERS, RpcServer
from gooseberrydale.process.control import members_reader
from gooseberrydale.process.control.members_reader import MembersReader, MembersService
from gooseberrydale.version.known_controls import (
    ControlMembers,
    KnownControls,
    ReadMembersReq,
)
from tests.builders_open_group import until
from tests.free_ports import free_address

PROMPT_S = 0.5
"""A change has to be known within this time; far less than a poll is held."""


class Member:
    """A replica of which only the service for readers runs."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.known = KnownControls((), address)
        self._service = MembersService(self.known)
        self._rpc = RpcServer(address, "")
        self._service.register(self._rpc)

    async def start(self) -> Member:
        await self._rpc.start()
        return self

    async def close(self) -> None:
        self._service.close()
        await self._rpc.close(1.0)


class Members:
    """The members of a group, which all learn of each change at once."""

    def __init__(self) -> None:
        self.running: dict[str, Member] = {}
        self.index = 0
        self.cut_off: set[str] = set()

    async def add(self) -> str:
        address = free_address()
        self.running[address] = await Member(address).start()
        self.publish()
        return address

    async def remove(self, address: str) -> None:
        member = self.running.pop(address)
        self.publish()
        await member.close()

    def publish(self) -> None:
        self.index += 1
        for address in self.running.keys() - self.cut_off:
            self.running[address].known.commit(self.index, self.running)

    async def close(self) -> None:
        for member in self.running.values():
            await member.close()


def run(scenario: Callable[[Members], Coroutine[Any, Any, None]]) -> None:
    """Run ``scenario`` with three members."""

    async def main() -> None:
        members = Members()
        for _ in range(3):
            await members.add()
        async with asyncio.timeout(40):
            await scenario(members)
        await members.close()

    asyncio.run(main())


async def start_reader(members: Members) -> tuple[KnownControls, MembersReader]:
    known = KnownControls(tuple(members.running))
    reader = MembersReader(known, "", None)
    await reader.start()
    await until(lambda: known.members.index == members.index)
    return known, reader


@pytest.mark.parametrize("seed", range(5))
def test_members_that_are_replaced_in_quick_series_are_followed(seed: int) -> None:
    """Guards against members that are all replaced between two readings."""
    rng = random.Random(seed)

    async def scenario(members: Members) -> None:
        known, reader = await start_reader(members)
        for _ in range(6):
            await members.remove(rng.choice(list(members.running)))
            await asyncio.sleep(rng.uniform(0.0, 0.2))
            await members.add()
            await until(lambda: known.members.index == members.index, PROMPT_S)
        assert set(known.current) == set(members.running)
        await reader.close()

    run(scenario)


def test_a_change_just_after_a_poll_without_news_is_followed() -> None:
    """Guards against a pause in which all members that the reader knows go."""

    async def scenario(members: Members) -> None:
        known = KnownControls(tuple(members.running))
        known.offer(ControlMembers(members.index, tuple(members.running)))
        reader = MembersReader(known, "", None)
        await reader.start()
        await asyncio.sleep(PROMPT_S)
        await members.add()
        await until(lambda: known.members.index == members.index, PROMPT_S)
        await reader.close()

    run(scenario)


def test_a_replica_that_is_cut_off_is_left() -> None:
    """Guards against a reader that stays with a replica that learns of nothing."""

    async def scenario(members: Members) -> None:
        members.cut_off.add(next(iter(members.running)))
        known, reader = await start_reader(members)
        await members.add()
        limit_s = members_reader.HOLD_S * members_reader.MAX_POLLS + PROMPT_S
        await until(lambda: known.members.index == members.index, limit_s)
        await reader.close()

    run(scenario)


def test_a_replica_that_holds_no_polls_is_not_asked_without_pause() -> None:
    """Guards against load on replicas of an earlier release."""

    async def main() -> None:
        address = free_address()
        asked = 0

        async def answer(_req: ReadMembersReq) -> ControlMembers:
            nonlocal asked
            asked += 1
            return ControlMembers(1, (address,))

        rpc = RpcServer(address, "")
        rpc.unary(READ_MEMBERS, answer)
        await rpc.start()
        reader = MembersReader(KnownControls((address,)), "", None)
        await reader.start()
        await asyncio.sleep(1.5)
        assert asked == 2  # The second poll follows the first news at once.
        await reader.close()
        await rpc.close()

    asyncio.run(main())


def test_a_replica_that_closes_holds_no_polls() -> None:
    """Guards against a stop that waits for readers."""

    async def main() -> None:
        member = await Member(free_address()).start()
        member.known.commit(5, (member.address,))
        service = member._service
        held = asyncio.create_task(service._answer(ReadMembersReq(5)))
        await asyncio.sleep(0.05)
        assert not held.done()
        service.close()
        async with asyncio.timeout(PROMPT_S):
            assert (await held).index == 5
            assert (await service._answer(ReadMembersReq(5))).index == 5
        await member.close()

    asyncio.run(main())
