"""Names a request by what it asks for, the same for each repeat of it.  Pure.

Each repeat of a request has an id of its own and may come to any process.  What stays
the same is who asks, for what, with which body.
"""

from __future__ import annotations

import hashlib
from typing import Protocol

SIZE_BYTES = 16
SHOWN_DIGITS = 12
"""Hexadecimal digits of a fingerprint in log lines: no two requests of a day share
them by chance."""


class Hash(Protocol):
    """What is needed of one of the hashes of :mod:`hashlib`."""

    def update(self, data: bytes, /) -> None:
        """Take further bytes in."""


def feed(into: Hash, *parts: bytes) -> None:
    """Hash ``parts`` so that no other split of the same bytes is the same."""
    for part in parts:
        into.update(len(part).to_bytes(4, "big"))
        into.update(part)


def fingerprint(
    workspace: str, method: str, host: str, target: str, body: bytes
) -> bytes:
    """The name of a request; ``workspace`` is empty if the caller needs none."""
    found = hashlib.blake2b(digest_size=SIZE_BYTES)
    texts = (workspace, method, host, target)
    feed(found, *(text.encode("utf-8", "surrogateescape") for text in texts), body)
    return found.digest()


def shown(request: bytes) -> str:
    """A fingerprint as log lines, messages and commands have it.

    The letters in front keep command lines from reading it as a number.
    """
    return f"req-{request.hex()[:SHOWN_DIGITS]}" if request else ""
