"""Keeps the view of the upstream's cache up to date.

Lives as long as the sidecar.  One task owns the stream of events, another reads a
snapshot whenever the view is incomplete and, more rarely, to find changes whose
events were lost without a trace, or a stream that went silent.
"""

from __future__ import annotations

import asyncio

import msgspec
from loguru import logger

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.sse import SseError, SseParser
from gooseberrydale.connection.upstream_api import CacheEvent, CacheSnapshot
from gooseberrydale.connection.upstream_http import UpstreamCall
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.version.cache_view import CacheView

RECONNECT_S = 0.5
CHECK_S = 0.2
RESYNC_S = 0.5
REFRESH_S = 10.0
OK = 200


class CacheFollower:
    """Feeds ``view`` from the upstream at ``base_url``."""

    def __init__(self, base_url: str, view: CacheView) -> None:
        self._base_url = base_url
        self._view = view
        self._stream: UpstreamCall | None = None
        self._subscribed = False
        self._events = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start following."""
        self._tasks = [
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._resync()),
        ]

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    async def _follow(self) -> None:
        while True:
            try:
                await self._read_stream()
            except (UpstreamError, SseError, msgspec.MsgspecError) as exc:
                logger.debug("the stream of cache events broke: {}", exc)
            self._subscribed = False
            self._view.interrupt()
            await asyncio.sleep(RECONNECT_S)

    async def _read_stream(self) -> None:
        stream = self._stream = UpstreamCall(self._base_url)
        decoder = msgspec.json.Decoder(CacheEvent)
        parser = SseParser()
        try:
            await stream.open("GET", "/cache/events")
            if stream.status != OK:
                raise UpstreamError(f"status {stream.status}", sent=True)
            self._subscribed = True
            async for data in stream.chunks():
                for event in parser.feed(data):
                    self._events += 1
                    self._view.apply(decoder.decode(event))
        finally:
            await stream.close()

    async def _resync(self) -> None:
        loop = asyncio.get_running_loop()
        refreshed = loop.time()
        while True:
            await asyncio.sleep(CHECK_S)
            due = loop.time() - refreshed > REFRESH_S
            if not self._subscribed or (self._view.complete and not due):
                continue
            refreshed = loop.time()
            try:
                await self._load_snapshot()
            except UpstreamError as exc:
                logger.debug("no snapshot of the cache: {}", exc)
            await asyncio.sleep(RESYNC_S)

    async def _load_snapshot(self) -> None:
        events, seq = self._events, self._view.seq
        reply = await upstream_api.call(self._base_url, "GET", "/cache/snapshot")
        if reply.status != OK:
            raise UpstreamError(f"status {reply.status}", sent=True)
        snapshot = reply.decode(CacheSnapshot)
        lost = self._view.complete and snapshot.seq > seq >= 0
        self._view.load(snapshot)
        if lost and events == self._events and self._stream is not None:
            logger.info("the stream of cache events is silent; it is opened again")
            self._stream.abort()
