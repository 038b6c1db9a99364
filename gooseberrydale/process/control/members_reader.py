"""Reads the members of the control log for a process that holds no sessions."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import grpc
from loguru import logger

from gooseberrydale.connection.rpc import READ_MEMBERS, RpcChannel, RpcServer, TlsFiles
from gooseberrydale.log_events import ControlMembersChanged, emit
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.known_controls import (
    ControlMembers,
    KnownControls,
    ReadMembersReq,
)

INTERVAL_S = 3.0
"""A process whose known members are all replaced within it can't read the current ones.
Between the removal of a member and the addition of its successor these are only two."""

TIMEOUT_S = 1.0


class MembersReader:
    """Reads the members every few seconds into ``controls``."""

    def __init__(
        self, controls: KnownControls, token: str, tls: TlsFiles | None
    ) -> None:
        self._controls = controls
        self._token = token
        self._tls = tls
        self._channel: RpcChannel | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start reading."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop reading and close the connection."""
        await stop(self._tasks)
        await self._close_channel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(INTERVAL_S * random.uniform(0.8, 1.2))
            await self._read()

    async def _read(self) -> None:
        """Ask the last replica again; if it doesn't answer, ask the others."""
        if self._channel is not None and await self._ask(self._channel):
            return
        for address in (*self._controls.current, *self._controls.others):
            await self._close_channel()
            self._channel = RpcChannel(address, self._token, self._tls)
            if await self._ask(self._channel):
                return

    async def _ask(self, channel: RpcChannel) -> bool:
        try:
            reply = await channel.call(
                READ_MEMBERS, ReadMembersReq(), timeout_s=TIMEOUT_S
            )
        except grpc.aio.AioRpcError as exc:
            logger.debug("a control replica sent no members: {}", exc.code().name)
            return False
        if self._controls.offer(reply):
            addresses = list(reply.addresses)
            emit(ControlMembersChanged(reply.index, addresses, "control"))
        return True

    async def _close_channel(self) -> None:
        if self._channel is not None:
            await self._channel.close()
            self._channel = None


def serve_members(rpc_server: RpcServer, controls: KnownControls) -> None:
    """Answer readers on ``rpc_server``; call this before its ``start``."""

    async def answer(_req: Any) -> ControlMembers:
        return controls.members

    rpc_server.unary(READ_MEMBERS, answer)
