"""A small store of kept KV cache, addressed by root and key.

Lives as long as its process and keeps everything in memory, bounded in entries.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gooseberrydale.example.http_json import JSON_TYPE, json_response

KEPT_ENTRIES = 100_000


class KvStore:
    """Kept pieces; the one put first goes first."""

    def __init__(self, entries: int = KEPT_ENTRIES) -> None:
        self._limit = entries
        self._kept: OrderedDict[str, tuple[str, bytes]] = OrderedDict()

    async def serve(self, req: Request) -> Response:
        """Serve PUT, GET and HEAD of one piece."""
        root, key = req.path_params["root"], req.path_params["key"]
        if req.method == "PUT":
            return self._put(root, key, await req.body())
        kept = self._kept.get(key)
        if kept is None:
            return json_response({"error": "no such key"}, 404)
        if kept[0] != root:
            return json_response({"error": "kept under another root"}, 409)
        return Response(kept[1], media_type=JSON_TYPE)

    def _put(self, root: str, key: str, data: bytes) -> Response:
        self._kept[key] = (root, data)
        while len(self._kept) > self._limit:
            self._kept.popitem(last=False)
        return json_response({}, 201)

    async def record(self, _req: Request) -> Response:
        """Return the kept keys and their roots."""
        kept: dict[str, Any] = {key: root for key, (root, _) in self._kept.items()}
        return json_response(kept)


def kv_store_app(entries: int = KEPT_ENTRIES) -> Starlette:
    """Return the app of one store."""
    store = KvStore(entries)
    path = "/kv/{root}/{key}"
    return Starlette(
        routes=[
            Route(path, store.serve, methods=["PUT", "GET", "HEAD"]),
            Route("/record", store.record),
        ]
    )
