"""Splits a prompt into pieces and computes the keys of its cached prefixes.

A prompt is split at its message boundaries and, inside long messages, about every
four thousand tokens.  Each piece has a hash of the prompt up to the end of the piece,
so two prompts have the hash of a piece in common only if their whole prefix is equal.
Workspace, model and weights version are not part of this hash; :func:`piece_key` adds
them as a root once the upstream is known.  Roles and every other field that a chat
template may read are part of the hash, since templates differ.  Pure.
"""

from __future__ import annotations

import hashlib
import sys
from array import array
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from gooseberrydale.connection.messages import Piece
from gooseberrydale.request.prompt_parts import limit_parts, part_digest

BYTES_PER_TOKEN = 4
TOKEN_TYPE = "I"
"""The type of ``array`` with that size."""

PIECE_TOKENS = 4_000
PIECE_BYTES = PIECE_TOKENS * BYTES_PER_TOKEN
MAX_PIECES = 4_096
"""Pieces of one prompt: with more messages, all beyond them are one piece."""

CHAIN_BYTES = 16
ROOT_BYTES = 32

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"

# Fields outside the messages that chat templates may render before the messages.
PREAMBLE_FIELDS = (
    "tools",
    "tool_choice",
    "functions",
    "documents",
    "chat_template",
    "chat_template_kwargs",
)

# A tag, a name (a role or the type of a content part) and the data.
Segment = tuple[bytes, bytes, bytes]

_PREAMBLE = b"A"
_MESSAGE = b"M"
_PART = b"P"
_FIELDS = b"F"
_TEXT = b"T"
_TOKENS = b"I"
_CONTINUED = b"C"


def prompt_pieces(path: str, body: Mapping[str, object]) -> tuple[Piece, ...]:
    """Return the pieces of the prompt in ``body``, in order.

    ``path`` is the path of the OpenAI-compatible call.  The result is empty for a body
    without a prompt and for other paths.
    """
    return _chain(_segments(path, body))


def prompt_parts(
    path: str, body: Mapping[str, object], model: str
) -> tuple[bytes, ...]:
    """Return the digests of the prompt's parts, all but the last one.

    A part is what a piece adds to the one before it.
    """
    parts = [
        (name, data[start : start + PIECE_BYTES])
        for _, name, data in _segments(path, body)
        for start in range(0, len(data), PIECE_BYTES)
    ]
    return limit_parts(part_digest(model, *part) for part in parts[:-1])


def cache_root(workspace: str, model: str, weights_version: str) -> bytes:
    """Return the root that separates the cached prefixes of different origins."""
    digest = hashlib.blake2b(digest_size=ROOT_BYTES)
    for part in (workspace, model, weights_version):
        digest.update(_length_prefixed(part.encode()))
    return digest.digest()


def piece_key(root: bytes, chain: bytes) -> bytes:
    """Return the cache key under ``root`` of the piece with hash ``chain``."""
    return hashlib.blake2b(chain, key=root, digest_size=CHAIN_BYTES).digest()


def _segments(path: str, body: Mapping[str, object]) -> Iterator[Segment]:
    if path.endswith(CHAT_PATH):
        yield from _chat_segments(body)
    elif path.endswith(COMPLETION_PATH):
        yield from _completion_segments(body.get("prompt"))


def _chain(segments: Iterator[Segment]) -> tuple[Piece, ...]:
    """Hash the segments in one pass, and emit a piece at each cut."""
    running_hash = hashlib.blake2b(digest_size=CHAIN_BYTES)
    pieces: list[Piece] = []
    last_tokens = 0
    for tag, name, data in segments:
        for start in range(0, max(len(data), 1), PIECE_BYTES):
            part = data[start : start + PIECE_BYTES]
            running_hash.update(_CONTINUED if start else tag + _length_prefixed(name))
            running_hash.update(_length_prefixed(part))
            tokens = max(1, -(-len(part) // BYTES_PER_TOKEN))
            if len(pieces) < MAX_PIECES - 1:
                pieces.append(Piece(chain=running_hash.copy().digest(), tokens=tokens))
            else:
                last_tokens += tokens
    if last_tokens:
        pieces.append(Piece(chain=running_hash.digest(), tokens=last_tokens))
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
    """Yield the content of a message, then all other fields as one segment."""
    if not isinstance(message, Mapping):
        yield _FIELDS, b"", _canonical(message)
        return
    role = str(message.get("role", "")).encode()
    content = message.get("content")
    if isinstance(content, list | tuple):
        # Opens the message without text, to distinguish parts from a plain text.
        yield _MESSAGE, role, b""
        for part in content:
            yield _part_segment(part)
    else:
        yield _MESSAGE, role, _text(content)
    other_fields = {k: v for k, v in message.items() if k not in ("role", "content")}
    if other_fields:
        yield _FIELDS, role, _canonical(other_fields)


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
        yield _TOKENS, b"", _token_bytes(prompt)
        return
    # A batch: only the first prompt gets the same hashes as when it is sent alone.
    for item in prompt:
        yield from _completion_segments(item)


def _token_bytes(tokens: Iterable[object]) -> bytes:
    """Return the tokens as big-endian numbers, without an object for each."""
    numbers = (token if isinstance(token, int) else 0 for token in tokens)
    data = array(TOKEN_TYPE, (number & 0xFFFFFFFF for number in numbers))
    if sys.byteorder == "little":
        data.byteswap()
    return data.tobytes()


def _text(content: object) -> bytes:
    if content is None:
        return b""
    return content.encode() if isinstance(content, str) else _canonical(content)


def _canonical(value: object) -> bytes:
    return msgspec.json.encode(value, order="deterministic")


def _length_prefixed(data: bytes) -> bytes:
    return len(data).to_bytes(4, "big") + data
