"""Builds the body of a completion call to the upstream.

Pure.  The caller's JSON is passed on unchanged, except for the model, the cache
extension, the priority and, for a stream that is resumed on another upstream, the
fields that ask the engine to continue the answer.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err, Ok, Result

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.errors import INVALID_FIELD, INVALID_JSON, Problem, problem

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
_LIMIT_FIELDS = ("max_tokens", "max_completion_tokens")

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder()


@dataclass(frozen=True, slots=True)
class CompletionBody:
    """The body for the upstream; ``max_tokens`` is None if the caller set no limit."""

    data: bytes
    max_tokens: int | None


def completion_body(
    req: DispatchReq,
    *,
    model: str,
    priority: int,
    root: bytes,
    keys: Sequence[tuple[bytes, int]],
) -> Result[CompletionBody, Problem]:
    """Return the body for the upstream.

    ``root`` is the cache root; ``keys`` are the cache keys of the prompt's pieces in
    order, each with its tokens.
    """
    try:
        body = _decoder.decode(req.body)
    except msgspec.DecodeError as exc:
        return Err(problem(INVALID_JSON, reason=exc))
    if not isinstance(body, dict):
        return Err(problem(INVALID_FIELD, reason="the body must be a JSON object"))
    if req.emitted:
        reason = _request_continuation(body, req)
        if reason is not None:
            return Err(problem(INVALID_FIELD, reason=reason))
        _reduce_limits(body, req.first_offset)
    if model:
        body["model"] = model
    body["cache_salt"] = root.hex()
    body["kv_pieces"] = [{"key": key.hex(), "tokens": n} for key, n in keys]
    body["priority"] = priority
    return Ok(CompletionBody(_encoder.encode(body), _token_limit(body)))


def _token_limit(body: dict[str, Any]) -> int | None:
    limits = [body[name] for name in _LIMIT_FIELDS if isinstance(body.get(name), int)]
    return min(limits, default=None)


def _request_continuation(body: dict[str, Any], req: DispatchReq) -> str | None:
    """Ask for the rest of an answer; return the reason if that is impossible."""
    if req.path.partition("?")[0] == CHAT_PATH:
        messages = body.get("messages")
        if not isinstance(messages, list):
            return "'messages' must be a list"
        answer = {"role": "assistant", "content": req.emitted}
        body["messages"] = [*messages, answer]
        body["continue_final_message"] = True
        body["add_generation_prompt"] = False
        return None
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        return "an answer can be resumed only if 'prompt' is a string"
    body["prompt"] = prompt + req.emitted
    body["continue_from_bytes"] = len(prompt.encode())
    return None


def _reduce_limits(body: dict[str, Any], delivered: int) -> None:
    """Subtract the delivered tokens; engines send one token per event."""
    for name in _LIMIT_FIELDS:
        limit = body.get(name)
        if isinstance(limit, int):
            body[name] = max(0, limit - delivered)
