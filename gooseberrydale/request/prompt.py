"""Pieces of a prompt and the keys of its cached prefixes.

A prompt is cut at its message boundaries and, inside long messages, about every
four thousand tokens.  Each piece is named by a hash over all that stands before it,
so two prompts share a piece's name only if they share the whole prefix.  The hash
has no root: workspace, model and weights version join it in :func:`piece_key`,
where the upstream is known.  Chat templates differ, therefore roles and every other
field that a template may read are part of the hash.  Pure; lives for one request.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping

import msgspec

from gooseberrydale.connection.messages import Piece

BYTES_PER_TOKEN = 4
PIECE_TOKENS = 4_000
PIECE_BYTES = PIECE_TOKENS * BYTES_PER_TOKEN
CHAIN_BYTES = 16
ROOT_BYTES = 32

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"

# Fields outside the messages that chat templates render before them.
PREAMBLE_FIELDS = (
    "tools",
    "tool_choice",
    "functions",
    "documents",
    "chat_template",
    "chat_template_kwargs",
)

# A segment is its tag, a name (role or part type) and its data.
Segment = tuple[bytes, bytes, bytes]

_PREAMBLE = b"A"
_MESSAGE = b"M"
_PART = b"P"
_FIELDS = b"F"
_TEXT = b"T"
_TOKENS = b"I"
_CONTINUED = b"C"


def prompt_pieces(path: str, body: Mapping[str, object]) -> tuple[Piece, ...]:
    """Return the pieces of the prompt in ``body``, outermost first.

    ``path`` is the path of the OpenAI-compatible call.  A body without a prompt, or
    a call of another kind, has no pieces.
    """
    if path.endswith(CHAT_PATH):
        return _chain(_chat_segments(body))
    if path.endswith(COMPLETION_PATH):
        return _chain(_completion_segments(body.get("prompt")))
    return ()


def cache_root(workspace: str, model: str, weights_version: str) -> bytes:
    """Return the root that keeps cached prefixes of other origins apart."""
    digest = hashlib.blake2b(digest_size=ROOT_BYTES)
    for part in (workspace, model, weights_version):
        digest.update(_framed(part.encode()))
    return digest.digest()


def piece_key(root: bytes, chain: bytes) -> bytes:
    """Return the cache key of the piece ``chain`` under ``root``."""
    return hashlib.blake2b(chain, key=root, digest_size=CHAIN_BYTES).digest()


def _chain(segments: Iterator[Segment]) -> tuple[Piece, ...]:
    """Hash the segments in one pass, with a name at each cut."""
    running = hashlib.blake2b(digest_size=CHAIN_BYTES)
    pieces = []
    for tag, name, data in segments:
        for start in range(0, max(len(data), 1), PIECE_BYTES):
            part = data[start : start + PIECE_BYTES]
            running.update(_CONTINUED if start else tag + _framed(name))
            running.update(_framed(part))
            tokens = max(1, -(-len(part) // BYTES_PER_TOKEN))
            pieces.append(Piece(chain=running.copy().digest(), tokens=tokens))
    return tuple(pieces)


def _chat_segments(body: Mapping[str, object]) -> Iterator[Segment]:
    preamble = {f: body[f] for f in PREAMBLE_FIELDS if body.get(f) is not None}
    if preamble:
        yield _PREAMBLE, b"", _canonical(preamble)
    messages = body.get("messages")
    if not isinstance(messages, list | tuple):
        return
    for message in messages:
        yield from _message_segments(message)


def _message_segments(message: object) -> Iterator[Segment]:
    """One message: its content, then what else a template may render of it."""
    if not isinstance(message, Mapping):
        yield _FIELDS, b"", _canonical(message)
        return
    role = str(message.get("role", "")).encode()
    content = message.get("content")
    if isinstance(content, list | tuple):
        # The message itself opens with no text, so that parts can't pass for it.
        yield _MESSAGE, role, b""
        for part in content:
            yield _part_segment(part)
    else:
        yield _MESSAGE, role, _text(content)
    rest = {k: v for k, v in message.items() if k not in ("role", "content")}
    if rest:
        yield _FIELDS, role, _canonical(rest)


def _part_segment(part: object) -> Segment:
    if isinstance(part, Mapping) and isinstance(part.get("text"), str):
        return _PART, str(part.get("type", "")).encode(), str(part["text"]).encode()
    return _PART, b"", _canonical(part)


def _completion_segments(prompt: object) -> Iterator[Segment]:
    if isinstance(prompt, str):
        yield _TEXT, b"", prompt.encode()
        return
    if not isinstance(prompt, list | tuple) or not prompt:
        return
    if isinstance(prompt[0], int):
        yield _TOKENS, b"", b"".join(_token_bytes(token) for token in prompt)
        return
    # A batch of prompts: only the first one's names equal those it has when alone.
    for one in prompt:
        yield from _completion_segments(one)


def _token_bytes(token: object) -> bytes:
    number = token if isinstance(token, int) else 0
    return (number & 0xFFFFFFFF).to_bytes(BYTES_PER_TOKEN, "big")


def _text(content: object) -> bytes:
    if content is None:
        return b""
    return content.encode() if isinstance(content, str) else _canonical(content)


def _canonical(value: object) -> bytes:
    return msgspec.json.encode(value, order="deterministic")


def _framed(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data
