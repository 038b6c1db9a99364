"""Bodies for engines that are asked directly, without the router.

They carry what a sidecar would add: the cache root and the keyed pieces.
"""

from __future__ import annotations

import msgspec

from gooseberrydale.request.prompt import (
    CHAT_PATH,
    cache_root,
    piece_key,
    prompt_pieces,
)
from measure.workload import Ask


def direct_body(ask: Ask) -> bytes:
    """Return the body with the extensions of the upstream interface."""
    body = ask.body("example")
    root = cache_root(str(ask.workspace), "example", "1")
    pieces = prompt_pieces(CHAT_PATH, body)
    body["cache_salt"] = root.hex()
    body["kv_pieces"] = [
        {"key": piece_key(root, piece.chain).hex(), "tokens": piece.tokens}
        for piece in pieces
    ]
    return msgspec.json.encode(body)
