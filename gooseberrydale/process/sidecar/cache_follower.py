"""Keeps the sidecar's view of the upstream's cache up to date.

One task reads the upstream's stream of cache events.  Another loads a snapshot whenever
the view is incomplete, and also at longer intervals, to find changes whose events were
lost unnoticed and to detect a stream that has gone silent.
"""

from __future__ import annotations

import asyncio

import msgspec
from loguru import logger

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.reply_limits import MAX_CONTENT_BYTES
from gooseberrydale.connection.sse import SseError, SseParser
from gooseberrydale.connection.upstream_api import CacheEvent, CacheSnapshot
from gooseberrydale.connection.upstream_http import UpstreamCall
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.version.cache_view import CacheView

RECONNECT_DELAY_S = 0.5
CHECK_INTERVAL_S = 0.2
RESYNC_DELAY_S = 0.5
REFRESH_INTERVAL_S = 10.0
OK = 200


class CacheFollower:
    """Updates ``view`` from the upstream at ``base_url``."""

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
                logger.debug("cache event stream failed, connecting again: {}", exc)
            self._subscribed = False
            self._view.interrupt()
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _read_stream(self) -> None:
        stream = self._stream = UpstreamCall(self._base_url, kind="")
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
        refreshed_at = loop.time()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            is_refresh_due = loop.time() - refreshed_at > REFRESH_INTERVAL_S
            if not self._subscribed or (self._view.complete and not is_refresh_due):
                continue
            refreshed_at = loop.time()
            try:
                await self._load_snapshot()
            except UpstreamError as exc:
                logger.debug("loading the cache snapshot failed, trying again: {}", exc)
            await asyncio.sleep(RESYNC_DELAY_S)

    async def _load_snapshot(self) -> None:
        events, seq = self._events, self._view.seq
        reply = await upstream_api.call(
            self._base_url, "GET", "/cache/snapshot", max_bytes=MAX_CONTENT_BYTES
        )
        if reply.status != OK:
            raise UpstreamError(f"status {reply.status}", sent=True)
        snapshot = reply.decode(CacheSnapshot)
        missed_events = self._view.complete and snapshot.seq > seq >= 0
        self._view.load(snapshot)
        if missed_events and events == self._events and self._stream is not None:
            logger.info("cache events were missed; opening the event stream again")
            self._stream.abort()
