"""A fake engine that only publishes cache events, to measure a sidecar by itself."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from gooseberrydale.example.cache_feed import CacheEvent
from gooseberrydale.example.http_json import json_response

BATCH_INTERVAL_S = 0.05
INCARNATION = "1"


class EventSource:
    """Publishes ``rate`` events per second about a cache of ``blocks`` keys.

    Each event adds one key and removes another, so that the size stays the same.
    """

    def __init__(self, rate: float, blocks: int) -> None:
        self._rate = rate
        self._blocks = blocks
        self._seq = 0

    def app(self) -> Starlette:
        """Return the ASGI app."""
        routes = [
            Route("/health", self._health),
            Route("/load", self._load),
            Route("/cache/events", self._events),
            Route("/cache/snapshot", self._snapshot),
        ]
        return Starlette(routes=routes)

    async def _health(self, _req: Request) -> Response:
        return json_response(
            {
                "incarnation": INCARNATION,
                "model": "model-a",
                "weights_version": "1",
                "ready": True,
            }
        )

    async def _load(self, _req: Request) -> Response:
        return json_response({"prefill_tps": 20_000.0, "cached_blocks": self._blocks})

    async def _snapshot(self, _req: Request) -> Response:
        keys = [_key(self._seq - i) for i in range(self._blocks)]
        return json_response(
            {"incarnation": INCARNATION, "seq": self._seq, "keys": keys}
        )

    async def _events(self, _req: Request) -> Response:
        return StreamingResponse(self._stream(), media_type="text/event-stream")

    async def _stream(self) -> AsyncIterator[bytes]:
        yield b": subscribed\n\n"
        loop = asyncio.get_running_loop()
        started_at, first_seq = loop.time(), self._seq
        for batch in itertools.count(1):
            await asyncio.sleep(started_at + batch * BATCH_INTERVAL_S - loop.time())
            due_seq = first_seq + int(self._rate * batch * BATCH_INTERVAL_S)
            events = [self._next() for _ in range(due_seq - self._seq)]
            if events:
                yield b"".join(events)

    def _next(self) -> bytes:
        self._seq += 1
        stored, removed = (_key(self._seq),), (_key(self._seq - self._blocks),)
        event = CacheEvent(INCARNATION, self._seq, stored, removed)
        return b"data: " + msgspec.json.encode(event) + b"\n\n"


def _key(number: int) -> str:
    return f"{number & (2**128 - 1):032x}"
