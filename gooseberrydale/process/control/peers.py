"""Connection that sends messages of the replicated log to one other replica.

One task owns the connection and opens a new one when it fails or is silent for too
long. Messages may be lost; the protocol of the log tolerates that.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from typing import Any

import grpc.aio
from loguru import logger

from gooseberrydale.connection import peer_frames
from gooseberrydale.connection.rpc import REPLICATE, RpcChannel, TlsFiles
from gooseberrydale.version.replication.messages import Envelope

MAX_QUEUED = 1024
ACK_INTERVAL_S = 0.5
SILENCE_S = 1.5
RECONNECT_DELAY_S = 0.2


class PeerLink:
    """Sends envelopes to one address; ``start`` it once and ``close`` it once."""

    def __init__(self, address: str, token: str, tls: TlsFiles | None = None) -> None:
        self._address = address
        self._token = token
        self._tls = tls
        self._queue: deque[Envelope] = deque(maxlen=MAX_QUEUED)
        self._has_messages = asyncio.Event()
        self._ack_requested_at: float | None = None
        self._acked_at = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the sending task."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop the task and close its connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def send(self, envelope: Envelope) -> None:
        """Queue an envelope; a full queue drops its oldest one."""
        self._queue.append(envelope)
        self._has_messages.set()

    async def _run(self) -> None:
        while True:
            await self._has_messages.wait()
            try:
                await self._session()
            except (grpc.aio.AioRpcError, TimeoutError) as exc:
                logger.debug(
                    "connection to replica {} lost, reconnecting: {}",
                    self._address,
                    type(exc).__name__,
                )
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _session(self) -> None:
        self._ack_requested_at = None
        channel = RpcChannel(self._address, self._token, self._tls)
        try:
            call = channel.call(REPLICATE, self._pack_batches())
            await self._read_acks(call)
        finally:
            await channel.close()

    async def _pack_batches(self) -> AsyncIterator[peer_frames.PeerBatch]:
        while True:
            await self._has_messages.wait()
            self._has_messages.clear()
            envelopes = list(self._queue)
            self._queue.clear()
            yield peer_frames.pack(envelopes, self._request_ack())

    def _request_ack(self) -> bool:
        now = _now()
        if self._ack_requested_at is not None or now < self._acked_at + ACK_INTERVAL_S:
            return False
        self._ack_requested_at = now
        return True

    async def _read_acks(self, call: Any) -> None:
        """Read acknowledgements; raises TimeoutError if one doesn't arrive in time."""
        read = asyncio.ensure_future(call.read())
        try:
            while True:
                await asyncio.wait({read}, timeout=SILENCE_S / 2)
                if read.done():
                    if read.result() is grpc.aio.EOF:
                        return
                    self._ack_requested_at = None
                    self._acked_at = _now()
                    read = asyncio.ensure_future(call.read())
                elif self._is_silent():
                    raise TimeoutError
        finally:
            read.cancel()

    def _is_silent(self) -> bool:
        return (
            self._ack_requested_at is not None
            and _now() > self._ack_requested_at + SILENCE_S
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
