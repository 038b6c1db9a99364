"""The sending side towards one other control replica.

One task owns one connection and opens a new one when the old one fails or falls
silent.  Messages may be lost; the log's protocol allows for it.  Lives as long as
the replica.
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
ACK_EVERY_S = 0.5
SILENCE_S = 1.5
RECONNECT_S = 0.2


class PeerLink:
    """Sends envelopes to one address; ``start`` and ``close``."""

    def __init__(self, address: str, token: str, tls: TlsFiles | None = None) -> None:
        self._address = address
        self._token = token
        self._tls = tls
        self._queue: deque[Envelope] = deque(maxlen=MAX_QUEUED)
        self._ready = asyncio.Event()
        self._asked_at: float | None = None
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
        """Queue an envelope; if the queue is full the oldest one is dropped."""
        self._queue.append(envelope)
        self._ready.set()

    async def _run(self) -> None:
        while True:
            await self._ready.wait()
            try:
                await self._session()
            except (grpc.aio.AioRpcError, TimeoutError) as exc:
                logger.debug("peer {} lost: {}", self._address, type(exc).__name__)
            await asyncio.sleep(RECONNECT_S)

    async def _session(self) -> None:
        self._asked_at = None
        channel = RpcChannel(self._address, self._token, self._tls)
        try:
            call = channel.call(REPLICATE, self._batches())
            await self._watch(call)
        finally:
            await channel.close()

    async def _batches(self) -> AsyncIterator[peer_frames.PeerBatch]:
        while True:
            await self._ready.wait()
            self._ready.clear()
            envelopes = list(self._queue)
            self._queue.clear()
            yield peer_frames.pack(envelopes, self._wants_ack())

    def _wants_ack(self) -> bool:
        now = _now()
        if self._asked_at is not None or now < self._acked_at + ACK_EVERY_S:
            return False
        self._asked_at = now
        return True

    async def _watch(self, call: Any) -> None:
        """Read acknowledgements; raise TimeoutError if one stays out."""
        read = asyncio.ensure_future(call.read())
        try:
            while True:
                await asyncio.wait({read}, timeout=SILENCE_S / 2)
                if read.done():
                    if read.result() is grpc.aio.EOF:
                        return
                    self._asked_at = None
                    self._acked_at = _now()
                    read = asyncio.ensure_future(call.read())
                elif self._is_silent():
                    raise TimeoutError
        finally:
            read.cancel()

    def _is_silent(self) -> bool:
        return self._asked_at is not None and _now() > self._asked_at + SILENCE_S


def _now() -> float:
    return asyncio.get_running_loop().time()
