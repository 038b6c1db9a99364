"""Reads and validates the body of a caller's request.

The size of the body and the time to read it are limited; a body that is too large is
rejected without reading the rest.
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
    TOO_MANY_VALUES,
    Problem,
    problem,
)
from gooseberrydale.process.cfg import MAX_BODY_VALUES
from gooseberrydale.request.json_values import has_more_values

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"


class _Message(msgspec.Struct):
    """A chat message; the engine validates its other fields."""

    role: str
    content: str | list[dict[str, Any]] | None = None


class _Common(msgspec.Struct):
    """Fields of both kinds of completion that the router or the engines use."""

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


_FIELDS = frozenset(_ChatBody.__struct_fields__ + _TextBody.__struct_fields__)
"""Fields that are decoded.  Others are passed on as they are: decoded, a body of many
small values takes many times its size."""


class CompletionBody(msgspec.Struct, frozen=True):
    """A validated completion request.

    ``raw`` has its fields: those that the router uses are decoded, others are not.
    """

    model: str
    stream: bool
    raw: dict[str, Any]

    @property
    def max_new_tokens(self) -> int:
        """The caller's limit for the tokens of the answer, 0 if there is none."""
        max_tokens = self.raw.get("max_completion_tokens") or self.raw.get("max_tokens")
        return max(0, int(max_tokens or 0))

    @property
    def single_text(self) -> bool:
        """Whether the answer consists of a single text."""
        prompt = self.raw.get("prompt")
        is_batch = isinstance(prompt, list) and not isinstance(prompt[0], int)
        return self.raw.get("n") in (None, 1) and not is_batch

    @property
    def wants_usage(self) -> bool:
        """Whether a streamed answer ends with a usage event."""
        options = self.raw.get("stream_options") or {}
        return bool(options.get("include_usage"))

    def for_model(self, model: str) -> bytes:
        """Return the body with ``model`` as its model, unchanged if that is empty."""
        if not model:
            return msgspec.json.encode(self.raw)
        return msgspec.json.encode({**self.raw, "model": model})


async def read_body(
    req: Request, limit: int, timeout_s: float
) -> Result[bytes, Problem]:
    """Read the whole body; raises ``ClientDisconnect`` if the caller disconnects."""
    too_large = Err(problem(BODY_TOO_LARGE, limit=limit))
    length = req.headers.get("content-length", "0")
    if length.isdigit() and int(length) > limit:
        return too_large
    data = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in req.stream():
                data += chunk
                if len(data) > limit:
                    return too_large
    except TimeoutError:
        return Err(problem(BODY_TIMEOUT, limit_s=timeout_s))
    return Ok(bytes(data))


def parse_completion(
    path: str, body: bytes, max_values: int = MAX_BODY_VALUES
) -> Result[CompletionBody, Problem]:
    """Validate the body of a completion request.

    It may have ``max_values`` strings, objects and arrays.
    """
    try:
        # Whether it is JSON at all is found out first, whatever its type.
        msgspec.json.decode(body, type=msgspec.Raw)
        if has_more_values(body, max_values):
            return Err(problem(TOO_MANY_VALUES, limit=max_values))
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        raw = {
            name: msgspec.json.decode(value) if name in _FIELDS else value
            for name, value in fields.items()
        }
    except msgspec.ValidationError:
        return Err(problem(INVALID_FIELD, reason="the body must be a JSON object"))
    except msgspec.DecodeError as exc:
        return Err(problem(INVALID_JSON, reason=str(exc)))
    except RecursionError:
        return Err(problem(INVALID_JSON, reason="nested too deeply"))
    schema: type[_ChatBody] | type[_TextBody] = (
        _ChatBody if path == CHAT_PATH else _TextBody
    )
    try:
        checked: _ChatBody | _TextBody = msgspec.convert(raw, schema)
    except msgspec.ValidationError as exc:
        return Err(problem(INVALID_FIELD, reason=str(exc)))
    empty = checked.messages if isinstance(checked, _ChatBody) else checked.prompt
    if not empty:
        return Err(problem(INVALID_FIELD, reason="the prompt is empty"))
    return Ok(CompletionBody(checked.model, bool(checked.stream), raw))
