"""Validates the request bodies of the example engine and normalizes them.

Chat and text completions both become a :class:`Prompt`.  For a resumed request the
original prompt is restored, since the answer depends on it.  The functions here are
pure.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from gooseberrydale.errors import INVALID_FIELD, Problem, problem
from gooseberrydale.example.answers import (
    TOKEN_CHARS,
    answer_length,
    is_prefix,
    prompt_digest,
)
from gooseberrydale.example.prefix_cache import KvPiece

BYTES_PER_TOKEN = 4
MIN_ANSWER_TOKENS = 16
MAX_ANSWER_TOKENS = 64


@dataclass(frozen=True, slots=True)
class _TextPart:
    text: str = ""


@dataclass(frozen=True, slots=True)
class _Message:
    role: str
    content: str | list[_TextPart] | None = ""

    def text(self) -> str:
        if isinstance(self.content, list):
            return "".join(part.text for part in self.content)
        return self.content or ""


@dataclass(frozen=True, slots=True)
class _StreamOptions:
    include_usage: bool = False


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """The fields of a completion request that the engine reads; others are ignored."""

    model: str = ""
    messages: list[_Message] | None = None
    prompt: str | None = None
    stream: bool = False
    stream_options: _StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    cache_salt: str = ""
    kv_pieces: tuple[KvPiece, ...] = ()
    priority: int = 0
    continue_final_message: bool = False
    continue_from_bytes: int | None = None

    @property
    def include_usage(self) -> bool:
        """Whether the stream ends with a chunk that contains the usage."""
        return self.stream_options is not None and self.stream_options.include_usage


@dataclass(frozen=True, slots=True)
class Prompt:
    """A validated request.

    ``emitted`` is the text of the answer that the caller already has; ``tokens`` is the
    length of the prompt including that text.  The engine generates ``answer_tokens``
    tokens, starting with token ``first_index`` of the answer.  ``natural_end`` is False
    if a token limit of the request ends the answer.
    """

    digest: bytes
    tokens: int
    emitted: str
    first_index: int
    answer_tokens: int
    natural_end: bool
    body: CompletionBody


def parse_prompt(data: bytes, *, chat: bool) -> Result[Prompt, Problem]:
    """Return the prompt in a request body, or the problem if the body is invalid."""
    try:
        body = msgspec.json.decode(data, type=CompletionBody)
    except msgspec.MsgspecError as exc:
        return _invalid(str(exc))
    parts = _chat_parts(body) if chat else _text_parts(body)
    if isinstance(parts, Err):
        return parts
    original, emitted, length = parts.ok_value
    digest = prompt_digest(original)
    if not is_prefix(digest, emitted):
        return _invalid(
            "the text to continue is not the start of the answer to this prompt"
        )
    return Ok(_prompt(body, digest, emitted, length))


def _prompt(body: CompletionBody, digest: bytes, emitted: str, length: int) -> Prompt:
    first = len(emitted) // TOKEN_CHARS
    natural = answer_length(digest, MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS) - first
    limit = body.max_completion_tokens or body.max_tokens or MAX_ANSWER_TOKENS
    return Prompt(
        digest=digest,
        tokens=-(-length // BYTES_PER_TOKEN),
        emitted=emitted,
        first_index=first,
        answer_tokens=max(0, min(natural, limit)),
        natural_end=natural <= limit,
        body=body,
    )


_ParsedParts = Result[tuple[bytes, str, int], Problem]


def _chat_parts(body: CompletionBody) -> _ParsedParts:
    if not body.messages:
        return _invalid("'messages' is missing")
    messages, emitted = body.messages, ""
    if body.continue_final_message:
        if messages[-1].role != "assistant":
            return _invalid("'continue_final_message' needs a last assistant message")
        messages, emitted = messages[:-1], messages[-1].text()
    pairs = [(message.role, message.text()) for message in messages]
    length = sum(len(message.text().encode()) for message in body.messages)
    return Ok((msgspec.json.encode(pairs), emitted, length))


def _text_parts(body: CompletionBody) -> _ParsedParts:
    if body.prompt is None:
        return _invalid("'prompt' is missing or not one string")
    data = body.prompt.encode()
    prompt_bytes = body.continue_from_bytes
    if prompt_bytes is None:
        return Ok((data, "", len(data)))
    if not 0 <= prompt_bytes <= len(data):
        return _invalid("'continue_from_bytes' is not within the prompt")
    return Ok(
        (data[:prompt_bytes], data[prompt_bytes:].decode(errors="replace"), len(data))
    )


def _invalid(reason: str) -> Err[Problem]:
    return Err(problem(INVALID_FIELD, reason=reason))
