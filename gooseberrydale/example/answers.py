"""Deterministic answers of the example engine.

Token ``i`` of an answer depends only on the digest of the original prompt and on
``i``, never on time or on the engine, so that a client can check a whole answer
and an answer that was cut on one engine can be carried on by another.  Pure; lives
for one request.
"""

from __future__ import annotations

import hashlib

# Every token has this many characters, so that a position in the text of an answer
# tells the number of tokens before it.
TOKEN_CHARS = 5

_LETTERS = "abcdefghijklmnopqrstuvwxyz"


def prompt_digest(prompt: bytes) -> bytes:
    """Return the digest of a prompt that its answer depends on."""
    return hashlib.blake2b(prompt, digest_size=16).digest()


def answer_length(digest: bytes, shortest: int, longest: int) -> int:
    """Return after how many tokens the answer ends by itself."""
    return shortest + int.from_bytes(digest[:4]) % (longest - shortest + 1)


def answer_token(digest: bytes, index: int) -> str:
    """Return token ``index`` of the answer, counted from 0."""
    mixed = hashlib.blake2b(index.to_bytes(8), key=digest, digest_size=4).digest()
    word = "".join(_LETTERS[byte % len(_LETTERS)] for byte in mixed)
    return word + " "


def answer_text(digest: bytes, tokens: int) -> str:
    """Return the first ``tokens`` tokens of the answer as one text."""
    return "".join(answer_token(digest, index) for index in range(tokens))


def is_prefix(digest: bytes, emitted: str) -> bool:
    """Say whether ``emitted`` is how the answer begins."""
    tokens = -(-len(emitted) // TOKEN_CHARS)
    return answer_text(digest, tokens).startswith(emitted)
