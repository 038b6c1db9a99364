"""Commits claims at the leader of the control replicas.

Lives as long as the process.  All requests are idempotent, so that one whose answer
was lost is sent again, to whichever replica leads by then.  The leader gathers
requests that come together into one commit; the entry adds no wait of its own.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import grpc.aio
from loguru import logger

from gooseberrydale.connection.codec import CodecError
from gooseberrydale.connection.control_messages import ClaimReply
from gooseberrydale.connection.rpc import PROPOSE, RpcChannel
from gooseberrydale.errors import NO_QUORUM, NOT_LEADER
from gooseberrydale.request.claim_gate import ClaimRequest

TRY_S = 2.5
PAUSE_S = 0.1
NOT_COMMITTED_CODES = {NOT_LEADER.code, NO_QUORUM.code}

Dial = Callable[[str], RpcChannel]


class ClaimClient:
    """Asks the control replicas at ``addresses``, the last known leader first."""

    def __init__(
        self, addresses: tuple[str, ...], dial: Dial, rng: random.Random
    ) -> None:
        self._addresses = list(addresses)
        rng.shuffle(self._addresses)
        self._dial = dial
        self._leader = ""
        self._turn = 0
        self._channels: dict[str, RpcChannel] = {}

    async def ask(self, req: ClaimRequest, timeout_s: float) -> ClaimReply | None:
        """Commit ``req``; None if it is not known to be committed in time."""
        if not self._addresses:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                return await self._ask_until_committed(req)
        except TimeoutError:
            return None

    async def close(self) -> None:
        """Close the connections."""
        channels = list(self._channels.values())
        self._channels.clear()
        for channel in channels:
            await channel.close()

    async def _ask_until_committed(self, req: ClaimRequest) -> ClaimReply:
        was_hinted = False
        while True:
            address = self._leader or self._next_address()
            reply = await self._try(address, req)
            if reply is not None and not _is_uncommitted(reply):
                self._leader = address
                return reply
            self._leader = reply.leader if reply is not None else ""
            # One hint is followed at once; replicas that contradict each other
            # are in an election.
            if was_hinted or not self._leader:
                await asyncio.sleep(PAUSE_S)
            was_hinted = bool(self._leader)

    async def _try(self, address: str, req: ClaimRequest) -> ClaimReply | None:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._dial(address)
        try:
            async with asyncio.timeout(TRY_S):
                reply: ClaimReply = await channel.call(PROPOSE, req)
                return reply
        except (TimeoutError, grpc.aio.AioRpcError, CodecError) as exc:
            logger.info("no answer from control at {}: {!r}", address, exc)
            await self._drop(address, channel)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
        return None

    async def _drop(self, address: str, channel: RpcChannel) -> None:
        if self._channels.get(address) is channel:
            del self._channels[address]
            await channel.close()

    def _next_address(self) -> str:
        self._turn += 1
        return self._addresses[self._turn % len(self._addresses)]


def _is_uncommitted(reply: ClaimReply) -> bool:
    return reply.problem is not None and reply.problem.code in NOT_COMMITTED_CODES
