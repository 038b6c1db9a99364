"""Exports KV cache from an example engine to the KV store, and imports it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import aiosonic
import msgspec
from starlette.requests import Request
from starlette.responses import Response

from gooseberrydale.example.engine_host import EngineHost
from gooseberrydale.example.http_json import json_response
from gooseberrydale.example.prefix_cache import KvPiece


@dataclass(frozen=True, slots=True)
class KvReq:
    """Names the piece to transfer; ``root`` is the value its key was derived from."""

    root: str
    key: str
    tokens: int


class KvTransfer:
    """Handles exports and imports at the engine's rate ``transfer_tps``."""

    def __init__(self, host: EngineHost) -> None:
        self._host = host
        self._client = aiosonic.HTTPClient()

    async def close(self) -> None:
        """Close the connections to the store."""
        await self._client.connector.cleanup()

    async def export(self, req: Request) -> Response:
        """Copy a cached piece to the store; 404 if absent, 409 if its root differs."""
        requested = msgspec.json.decode(await req.body(), type=KvReq)
        root = self._host.engine.cache.root_of(requested.key)
        if root is None:
            return json_response({"error": "not cached"}, 404)
        if root != requested.root:
            return json_response({"error": "cached under another root"}, 409)
        await self._wait_transfer(requested)
        data = msgspec.json.encode(requested)
        reply = await self._client.put(self._url(requested), data=data)
        return json_response({}, 200 if reply.status_code < 300 else reply.status_code)

    async def import_(self, req: Request) -> Response:
        """Copy a piece from the store into the cache; forward its error codes."""
        requested = msgspec.json.decode(await req.body(), type=KvReq)
        reply = await self._client.get(self._url(requested))
        body = await reply.content()
        if reply.status_code != 200:
            return json_response(
                {"error": "the store returned an error"}, reply.status_code
            )
        stored = msgspec.json.decode(body, type=KvReq)
        if stored != requested:
            return json_response(
                {"error": "the store holds a different piece under this key"}, 409
            )
        await self._wait_transfer(stored)
        piece = KvPiece(stored.key, stored.tokens)
        host = self._host
        host.publish(host.engine.cache.store((piece,), stored.root, host.now()))
        return json_response({})

    async def _wait_transfer(self, piece: KvReq) -> None:
        await asyncio.sleep(piece.tokens / self._host.cfg.transfer_tps)

    def _url(self, piece: KvReq) -> str:
        return f"{self._host.cfg.kv_store}/kv/{piece.root}/{piece.key}"
