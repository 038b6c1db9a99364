"""Builds request bodies for engines that are called directly, without the router.

They contain the fields that a sidecar would add: the cache root and the prompt pieces
with their cache keys.
"""

from __future__ import annotations

import msgspec

from gooseberrydale.request.prompt import (
    CHAT_PATH,
    cache_root,
    piece_key,
    prompt_pieces,
)
from measure.workload import PromptRequest


def direct_body(request: PromptRequest) -> bytes:
    """Return the body of a request with the extensions of the upstream interface."""
    body = request.body("example")
    root = cache_root(str(request.workspace), "example", "1")
    pieces = prompt_pieces(CHAT_PATH, body)
    body["cache_salt"] = root.hex()
    body["kv_pieces"] = [
        {"key": piece_key(root, piece.chain).hex(), "tokens": piece.tokens}
        for piece in pieces
    ]
    return msgspec.json.encode(body)
