"""Computes digests of the parts that a prompt shares with other prompts. Pure.

A part has the same digest wherever it stands in a prompt and whatever precedes it.  The
last part belongs to the request itself and has none.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from gooseberrydale.request.fingerprint import hash_framed
from gooseberrydale.request.gateway_call import Prompt

DIGEST_BYTES = 8

MAX_PARTS = 32
"""Parts of one prompt that have a digest.  Of a long conversation these are the first
ones, which many requests share, and the latest."""

LOG_DIGITS = 12
PREFIX, SEPARATOR = "part-", "+"


def part_digest(model: str, *content: bytes) -> bytes:
    """Return the digest of a part of a prompt for ``model``."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    hash_framed(digest, model.encode(), *content)
    return digest.digest()


def shared_parts(prompt: Prompt | None) -> tuple[bytes, ...]:
    """Return the digests of a declared prompt's parts, in their order."""
    if prompt is None:
        return ()
    return limit_parts(
        part_digest(prompt.model, part.key.encode()) for part in prompt.shared
    )


def limit_parts(digests: Iterable[bytes]) -> tuple[bytes, ...]:
    """Drop repeated digests, and those in the middle if there are too many."""
    distinct = tuple(dict.fromkeys(digests))
    if len(distinct) <= MAX_PARTS:
        return distinct
    half = MAX_PARTS // 2
    return distinct[:half] + distinct[-half:]


def parts_text(parts: Iterable[bytes]) -> str:
    """Format parts that come together for log lines, messages and commands.

    The prefix keeps command lines from parsing it as a number.
    """
    return SEPARATOR.join(PREFIX + part.hex()[:LOG_DIGITS] for part in parts)


def split_parts(text: str) -> frozenset[str]:
    """Return the names of the parts in a formatted text; empty if it names none."""
    names = text.split(SEPARATOR)
    return frozenset(names) if names[0].startswith(PREFIX) else frozenset()
