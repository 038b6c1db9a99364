"""Reads the members of the control log for a process that holds no sessions.

A replica answers a poll once its members change (long polling). At fixed intervals, a
process would lose the group if all members that it knows were replaced between two
polls; between the removal of a member and the addition of its successor these are two.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterator

import grpc
from loguru import logger

from gooseberrydale.connection.mesh_node import offer_members
from gooseberrydale.connection.rpc import READ_MEMBERS, RpcChannel, RpcServer, TlsFiles
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.known_controls import (
    ControlMembers,
    KnownControls,
    ReadMembersReq,
)

HOLD_S = 3.0
"""Seconds for which a replica holds a poll while its members don't change.  All
processes without sessions poll the same few replicas."""

TIMEOUT_S = 1.0
"""Seconds that a reply may take beyond the time for which the poll is held."""

PAUSE_S = 0.1
"""Seconds between a reply and the next poll."""

MAX_POLLS = 10
"""Number of polls before another replica is polled.  A replica that is cut off from the
others still replies, but learns of no changes."""


class MembersReader:
    """Keeps ``controls`` up to date through a connection to one of the members."""

    def __init__(
        self, controls: KnownControls, token: str, tls: TlsFiles | None
    ) -> None:
        self._controls = controls
        self._token = token
        self._tls = tls
        self._channel: RpcChannel | None = None
        self._polls = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start reading."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop reading and close the connection."""
        await stop(self._tasks)
        await self._close_channel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            begin = loop.time()
            may_poll = await self._read()
            # A replica of an earlier release holds no polls.
            held_s = 0.0 if may_poll else HOLD_S - (loop.time() - begin)
            await asyncio.sleep(max(held_s, PAUSE_S))

    async def _read(self) -> bool:
        """Poll the last replica again, or another one.

        Returns whether to poll again at once: members have changed, or the poll was the
        first one of a replica, which isn't held.
        """
        if self._channel is not None and self._may_poll_again(self._channel.address):
            self._polls += 1
            index = self._controls.members.index
            reply = await self._poll(self._channel, index, HOLD_S + TIMEOUT_S)
            if self._is_current(reply):
                return self._take(reply)
        for address in self._next_addresses():
            await self._close_channel()
            self._channel = RpcChannel(address, self._token, self._tls)
            self._polls = 1
            reply = await self._poll(self._channel, 0, TIMEOUT_S)
            if self._is_current(reply):
                self._take(reply)
                return True
        return False

    def _may_poll_again(self, address: str) -> bool:
        return self._polls < MAX_POLLS and address in self._controls.current

    def _next_addresses(self) -> Iterator[str]:
        """Yield each known replica once, beginning after the one polled last."""
        members = list(self._controls.current)
        if self._channel is not None and self._channel.address in members:
            begin = members.index(self._channel.address) + 1
            members = members[begin:] + members[:begin]
        else:
            random.shuffle(members)
        others = (*self._controls.others, *self._controls.former)
        yield from dict.fromkeys((*members, *others))

    async def _poll(
        self, channel: RpcChannel, index: int, timeout_s: float
    ) -> ControlMembers:
        """Return the reply; without members if there is none."""
        req = ReadMembersReq(index)
        try:
            reply: ControlMembers = await channel.call(
                READ_MEMBERS, req, timeout_s=timeout_s
            )
        except grpc.aio.AioRpcError as exc:
            logger.debug(
                "control replica {} sent no members: {}",
                channel.address,
                exc.code().name,
            )
            return ControlMembers()
        return reply

    def _is_current(self, reply: ControlMembers) -> bool:
        return bool(reply.addresses) and reply.index >= self._controls.members.index

    def _take(self, reply: ControlMembers) -> bool:
        return offer_members(self._controls, reply, "control")

    async def _close_channel(self) -> None:
        if self._channel is not None:
            await self._channel.close()
            self._channel = None


class MembersService:
    """Answers readers with the members in ``controls``."""

    def __init__(self, controls: KnownControls) -> None:
        self._controls = controls
        self._changed = asyncio.Event()
        self._unsubscribe = controls.subscribe(self._answer_held)
        self._is_closed = False

    def register(self, rpc_server: RpcServer) -> None:
        """Answer on ``rpc_server``; call this before its ``start``."""
        rpc_server.unary(READ_MEMBERS, self._answer)

    def close(self) -> None:
        """Answer the polls that are held, and hold no more."""
        if not self._is_closed:
            self._is_closed = True
            self._unsubscribe()
            self._answer_held()

    async def _answer(self, req: ReadMembersReq) -> ControlMembers:
        is_known = req.index and req.index == self._controls.members.index
        if is_known and not self._is_closed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HOLD_S):
                    await self._changed.wait()
        return self._controls.members

    def _answer_held(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
