"""Sends requests to the control replicas and finds the leader that commits them.

A process has one :class:`ControlClient`.  It keeps one connection to each replica that
it has called and remembers the last leader.  All requests of ``control_messages`` are
idempotent, so a request is sent again, to the same or another replica, until a reply
arrives that has no transient problem, or the time limit is reached.  While a replica
does not answer, others are asked as well.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Container, Mapping
from typing import Any

import grpc
from loguru import logger
from result import Err, Ok, Result

from gooseberrydale.connection.rpc import PROPOSE, RpcChannel, TlsFiles
from gooseberrydale.errors import (
    CLAIM_UNAVAILABLE,
    NO_QUORUM,
    NOT_LEADER,
    Problem,
    problem,
)
from gooseberrydale.version.known_controls import KnownControls

CALL_TIMEOUT_S = 1.0
SILENT_AFTER_S = 0.2
"""A replica that has not answered for so long may be silent; committing takes some tens
of milliseconds."""

RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.2
RETRY_AFTER_S = 1.0
TRANSIENT_CODES = (NOT_LEADER.code, NO_QUORUM.code)


class ControlClient:
    """Client of the replicas in ``controls``, which may change at any time."""

    def __init__(
        self,
        controls: KnownControls,
        token: str,
        tls: TlsFiles | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._controls = controls
        self._token = token
        self._tls = tls
        self._rng = rng if rng is not None else random.Random()
        self._channels: dict[str, RpcChannel] = {}
        self._users: Counter[RpcChannel] = Counter()
        self._target = ""

    async def ask(self, req: Any, timeout_s: float) -> Result[Any, Problem]:
        """Return the committed reply to ``req``, whose own ``problem`` may be set.

        The error is ``claim_unavailable``: no replica confirmed within ``timeout_s``
        that it committed the request, so whether it was committed is unknown.
        """
        if not self._controls.current:
            return Err(problem(CLAIM_UNAVAILABLE, retry_after_s=RETRY_AFTER_S))
        try:
            async with asyncio.timeout(timeout_s):
                return Ok(await self._ask_until_answered(req))
        except TimeoutError:
            return Err(problem(CLAIM_UNAVAILABLE, retry_after_s=RETRY_AFTER_S))

    async def close(self) -> None:
        """Close all connections."""
        channels = {*self._channels.values(), *self._users}
        self._channels.clear()
        self._users.clear()
        await asyncio.gather(*(channel.close() for channel in channels))

    async def _ask_until_answered(self, req: Any) -> Any:
        calls: dict[str, asyncio.Task[Any]] = {}
        try:
            while True:
                asked = self._ask_another(req, calls)
                done = await _first_ended(calls, SILENT_AFTER_S if asked else None)
                if self._target in calls:
                    self._target = ""
                for address in done:
                    reply = calls.pop(address).result()
                    if reply is not None and self._is_conclusive(address, reply, calls):
                        return reply
                if done and not self._target:
                    pause_s = self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
                    await _first_ended(calls, pause_s)
        finally:
            for call in calls.values():
                call.cancel()
            await asyncio.gather(*calls.values(), return_exceptions=True)

    def _ask_another(self, req: Any, calls: dict[str, asyncio.Task[Any]]) -> bool:
        """Call one more replica; False if all have been called and none has replied."""
        address = self._next_address(calls)
        if address is None:
            return False
        calls[address] = asyncio.create_task(self._call(address, req))
        return True

    def _is_conclusive(self, address: str, reply: Any, calls: Container[str]) -> bool:
        """Whether the reply is final; the leader that it names becomes the target."""
        if not _is_transient(reply.problem):
            self._target = address
            return True
        if reply.leader != address and reply.leader not in calls:
            self._target = reply.leader
        return False

    def _next_address(self, calls: Container[str]) -> str | None:
        """Return a replica that has not been asked yet; None if all have been."""
        if self._target and self._target not in calls:
            return self._target
        for addresses in (self._controls.current, self._controls.others):
            uncalled = [address for address in addresses if address not in calls]
            if uncalled:
                return self._rng.choice(uncalled)
        return None

    async def _call(self, address: str, req: Any) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            channel = RpcChannel(address, self._token, self._tls)
            self._channels[address] = channel
        self._users[channel] += 1
        try:
            return await channel.call(PROPOSE, req, timeout_s=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as exc:
            logger.debug(
                "control replica {} gave no reply: {}: {}",
                address,
                exc.code().name,
                exc.details(),
            )
            # The next call opens a new connection: this one may be silent.
            if self._channels.get(address) is channel:
                del self._channels[address]
            return None
        finally:
            self._users[channel] -= 1
            await self._close_if_unused(address, channel)

    async def _close_if_unused(self, address: str, channel: RpcChannel) -> None:
        """Close a replaced channel once its last call has ended.

        Closing it earlier would cancel the calls that are still running on it.
        """
        if self._users[channel] or self._channels.get(address) is channel:
            return
        del self._users[channel]
        await channel.close()


async def _first_ended(
    calls: Mapping[str, asyncio.Task[Any]], limit_s: float | None
) -> list[str]:
    """Wait until a call has ended or ``limit_s`` seconds passed; return those ended."""
    if not calls:
        await asyncio.sleep(limit_s or 0.0)
        return []
    await asyncio.wait(
        calls.values(), timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
    )
    return [address for address, call in calls.items() if call.done()]


def _is_transient(refused: Problem | None) -> bool:
    return refused is not None and refused.code in TRANSIENT_CODES
