"""Reads and checks what a caller sends.

Lives for one request.  The body is bounded in size and time; one that is too large
is refused without reading on.
"""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from result import Err, Ok, Result
from starlette.requests import Request

from gooseberrydale.errors import (
    BODY_TIMEOUT,
    BODY_TOO_LARGE,
    INVALID_FIELD,
    INVALID_JSON,
    Problem,
    problem,
)

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


class _Message(msgspec.Struct):
    """A message of a chat; other fields are the engine's to check."""

    role: str
    content: str | list[dict[str, Any]] | None = None


class _Common(msgspec.Struct):
    """Fields of both kinds of completion that the router or engines rely on."""

    model: str
    stream: bool | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    temperature: float | None = None
    top_p: float | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    user: str | None = None
    stream_options: dict[str, Any] | None = None


class _ChatBody(_Common, kw_only=True):
    messages: list[_Message]


class _TextBody(_Common, kw_only=True):
    prompt: str | list[Any]


class CompletionBody(msgspec.Struct, frozen=True):
    """A completion request that was checked; ``raw`` is what it said."""

    model: str
    stream: bool
    raw: dict[str, Any]

    @property
    def max_new_tokens(self) -> int:
        """How long the answer may be, 0 if the caller doesn't say."""
        asked = self.raw.get("max_completion_tokens") or self.raw.get("max_tokens")
        return max(0, int(asked or 0))

    @property
    def single(self) -> bool:
        """Whether one text alone is asked for."""
        prompt = self.raw.get("prompt")
        is_batch = isinstance(prompt, list) and not isinstance(prompt[0], int)
        return self.raw.get("n") in (None, 1) and not is_batch

    @property
    def wants_usage(self) -> bool:
        """Whether a streamed answer ends with an event of its usage."""
        options = self.raw.get("stream_options") or {}
        return bool(options.get("include_usage"))

    def for_model(self, model: str) -> bytes:
        """The body for an engine that knows its model as ``model``."""
        if not model:
            return msgspec.json.encode(self.raw)
        return msgspec.json.encode({**self.raw, "model": model})


async def read_body(
    req: Request, limit: int, timeout_s: float
) -> Result[bytes, Problem]:
    """The whole body; raises ``ClientDisconnect`` if the caller goes away."""
    too_large = Err(problem(BODY_TOO_LARGE, limit=limit))
    length = req.headers.get("content-length", "0")
    if length.isdigit() and int(length) > limit:
        return too_large
    parts = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for part in req.stream():
                parts += part
                if len(parts) > limit:
                    return too_large
    except TimeoutError:
        return Err(problem(BODY_TIMEOUT, limit_s=timeout_s))
    return Ok(bytes(parts))


def parse_completion(path: str, body: bytes) -> Result[CompletionBody, Problem]:
    """Check the body of a completion request."""
    try:
        raw = msgspec.json.decode(body)
    except msgspec.DecodeError as exc:
        return Err(problem(INVALID_JSON, reason=str(exc)))
    except RecursionError:
        return Err(problem(INVALID_JSON, reason="nested too deeply"))
    if not isinstance(raw, dict):
        return Err(problem(INVALID_FIELD, reason="expected an object"))
    shape: type[_ChatBody] | type[_TextBody] = (
        _ChatBody if path == CHAT_PATH else _TextBody
    )
    try:
        checked: _ChatBody | _TextBody = msgspec.convert(raw, shape)
    except msgspec.ValidationError as exc:
        return Err(problem(INVALID_FIELD, reason=str(exc)))
    empty = checked.messages if isinstance(checked, _ChatBody) else checked.prompt
    if not empty:
        return Err(problem(INVALID_FIELD, reason="the prompt is empty"))
    return Ok(CompletionBody(checked.model, bool(checked.stream), raw))
