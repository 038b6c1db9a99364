"""A store of KV cache pieces, addressed by root and key.

The root is the value that the key was derived from, such as a salt of the workspace and
weights.  Pieces are held in memory, and their number is limited.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gooseberrydale.example.http_json import JSON_TYPE, json_response

MAX_ENTRIES = 100_000


class KvStore:
    """Stored pieces by key; the oldest is evicted first."""

    def __init__(self, entries: int = MAX_ENTRIES) -> None:
        self._max_entries = entries
        self._pieces: OrderedDict[str, tuple[str, bytes]] = OrderedDict()

    async def serve(self, req: Request) -> Response:
        """Handle PUT, GET and HEAD of one piece."""
        root, key = req.path_params["root"], req.path_params["key"]
        if req.method == "PUT":
            return self._put(root, key, await req.body())
        piece = self._pieces.get(key)
        if piece is None:
            return json_response({"error": "no such key"}, 404)
        if piece[0] != root:
            return json_response({"error": "stored under another root"}, 409)
        return Response(piece[1], media_type=JSON_TYPE)

    def _put(self, root: str, key: str, data: bytes) -> Response:
        self._pieces[key] = (root, data)
        while len(self._pieces) > self._max_entries:
            self._pieces.popitem(last=False)
        return json_response({}, 201)

    async def record(self, _req: Request) -> Response:
        """Return the stored keys and their roots."""
        roots: dict[str, Any] = {key: root for key, (root, _) in self._pieces.items()}
        return json_response(roots)


def kv_store_app(entries: int = MAX_ENTRIES) -> Starlette:
    """Return the app of a store of at most ``entries`` pieces."""
    store = KvStore(entries)
    path = "/kv/{root}/{key}"
    return Starlette(
        routes=[
            Route(path, store.serve, methods=["PUT", "GET", "HEAD"]),
            Route("/record", store.record),
        ]
    )
