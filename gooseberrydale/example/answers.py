"""Deterministic answers of the example engine.

Token ``i`` of an answer depends only on the digest of the original prompt and on
``i``, never on time or on the engine.  A client can therefore check a complete answer,
and one engine can continue an answer that was interrupted on another.  The functions
here are pure.
"""

from __future__ import annotations

import hashlib

# All tokens have the same number of characters.  The number of tokens before a
# position in an answer follows from the position alone.
TOKEN_CHARS = 5

_LETTERS = "abcdefghijklmnopqrstuvwxyz"


def prompt_digest(prompt: bytes) -> bytes:
    """Return the digest of a prompt, from which its answer is derived."""
    return hashlib.blake2b(prompt, digest_size=16).digest()


def answer_length(digest: bytes, shortest: int, longest: int) -> int:
    """Return the length in tokens of an answer that no limit cuts short."""
    return shortest + int.from_bytes(digest[:4]) % (longest - shortest + 1)


def answer_token(digest: bytes, index: int) -> str:
    """Return token ``index`` of the answer, counted from 0."""
    token_hash = hashlib.blake2b(index.to_bytes(8), key=digest, digest_size=4).digest()
    word = "".join(_LETTERS[byte % len(_LETTERS)] for byte in token_hash)
    return word + " "


def answer_text(digest: bytes, tokens: int) -> str:
    """Return the first ``tokens`` tokens of the answer, joined."""
    return "".join(answer_token(digest, index) for index in range(tokens))


def is_prefix(digest: bytes, emitted: str) -> bool:
    """Return whether the answer starts with ``emitted``."""
    tokens = -(-len(emitted) // TOKEN_CHARS)
    return answer_text(digest, tokens).startswith(emitted)
