"""Computes a request's fingerprint, which is equal for all repeats of the request.

Pure.  Each repeat has another request id and may reach another process.  Only the
workspace, method, host, target and body stay the same, so these are hashed.
"""

from __future__ import annotations

import hashlib
from typing import Protocol

SIZE_BYTES = 16
LOG_DIGITS = 12
"""Hexadecimal digits of a fingerprint in log lines; enough to avoid collisions among
the requests of a day."""


class Hash(Protocol):
    """A hash object of :mod:`hashlib`."""

    def update(self, data: bytes, /) -> None:
        """Add bytes to the hash."""


def hash_framed(into_hash: Hash, *parts: bytes) -> None:
    """Add ``parts`` to the hash, each with its length.

    Without the lengths, another split of the same bytes would have the same hash.
    """
    for part in parts:
        into_hash.update(len(part).to_bytes(4, "big"))
        into_hash.update(part)


def fingerprint(
    workspace: str, method: str, host: str, target: str, body: bytes
) -> bytes:
    """Hash a request; ``workspace`` is empty if the caller needs none."""
    digest = hashlib.blake2b(digest_size=SIZE_BYTES)
    texts = (workspace, method, host, target)
    hash_framed(
        digest, *(text.encode("utf-8", "surrogateescape") for text in texts), body
    )
    return digest.digest()


def fingerprint_text(request: bytes) -> str:
    """Format a fingerprint for log lines, messages and commands.

    The prefix keeps command lines from parsing it as a number.
    """
    return f"req-{request.hex()[:LOG_DIGITS]}" if request else ""
