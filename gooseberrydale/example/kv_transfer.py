"""Export and import of KV cache between an example engine and the KV store."""

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
    """Which cached piece to move; ``root`` is what its key was derived from."""

    root: str
    key: str
    tokens: int


class KvTransfer:
    """Moves cached pieces at the rate that the engine was given."""

    def __init__(self, host: EngineHost) -> None:
        self._host = host
        self._client = aiosonic.HTTPClient()

    async def close(self) -> None:
        """Close the connections to the store."""
        await self._client.connector.cleanup()

    async def export(self, req: Request) -> Response:
        """Copy a cached piece to the store: 404 if absent, 409 on another root."""
        wanted = msgspec.json.decode(await req.body(), type=KvReq)
        root = self._host.engine.cache.root_of(wanted.key)
        if root is None:
            return json_response({"error": "not cached"}, 404)
        if root != wanted.root:
            return json_response({"error": "cached under another root"}, 409)
        await self._spend(wanted)
        data = msgspec.json.encode(wanted)
        reply = await self._client.put(self._url(wanted), data=data)
        return json_response({}, 200 if reply.status_code < 300 else reply.status_code)

    async def import_(self, req: Request) -> Response:
        """Take a piece from the store into the cache; pass on its refusals."""
        wanted = msgspec.json.decode(await req.body(), type=KvReq)
        reply = await self._client.get(self._url(wanted))
        body = await reply.content()
        if reply.status_code != 200:
            return json_response({"error": "the store refused"}, reply.status_code)
        kept = msgspec.json.decode(body, type=KvReq)
        if kept != wanted:
            return json_response({"error": "the store has another piece"}, 409)
        await self._spend(kept)
        piece = KvPiece(kept.key, kept.tokens)
        host = self._host
        host.publish(host.engine.cache.store((piece,), kept.root, host.now()))
        return json_response({})

    async def _spend(self, piece: KvReq) -> None:
        await asyncio.sleep(piece.tokens / self._host.cfg.transfer_tps)

    def _url(self, piece: KvReq) -> str:
        return f"{self._host.cfg.kv_store}/kv/{piece.root}/{piece.key}"
