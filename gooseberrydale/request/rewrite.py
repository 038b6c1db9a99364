"""Rewrites the names in an engine's answer to those that callers use.

There is one rewriter per request.  Callers name profiles, not models, so the answer
contains the profile's name.  All events of an answer have the same id and creation
time, even if the answer was resumed on another upstream.
"""

from __future__ import annotations

from typing import Any

import msgspec

ID_PREFIXES = {
    "chat.completion": "chatcmpl-",
    "chat.completion.chunk": "chatcmpl-",
    "text_completion": "cmpl-",
}
CONTINUABLE_FIELDS = {"role", "content"}


class Rewriter:
    """Rewrites one answer; an empty ``profile`` keeps the model's name."""

    def __init__(self, request_id: str, profile: str) -> None:
        self._request_id = request_id
        self._profile = profile
        self._created: int | None = None
        self._continuable = True
        self._finished = False

    @property
    def resumable(self) -> bool:
        """Whether another upstream can continue from the delivered text alone."""
        return self._continuable and not self._finished

    @property
    def finished(self) -> bool:
        """Whether the engine reported that its text is complete."""
        return self._finished

    def body(self, body: bytes) -> bytes:
        """Rewrite the body of an answer that is not streamed."""
        obj = _decode(body)
        return body if obj is None else self._encode(obj)

    def event(self, event: bytes) -> bytes:
        """Rewrite one event of a stream."""
        obj = _decode(event)
        if obj is None:
            self._continuable = False
            return event
        for choice in obj.get("choices") or ():
            self._inspect_choice(choice)
        return self._encode(obj)

    def _encode(self, obj: dict[str, Any]) -> bytes:
        prefix = ID_PREFIXES.get(str(obj.get("object")))
        if prefix is None:
            return msgspec.json.encode(obj)
        obj["id"] = prefix + self._request_id
        obj["model"] = self._profile or obj.get("model")
        if self._created is None:
            self._created = obj.get("created")
        obj["created"] = self._created
        return msgspec.json.encode(obj)

    def _inspect_choice(self, choice: dict[str, Any]) -> None:
        delta = choice.get("delta") or {}
        fields = {name for name, value in delta.items() if value}
        if not fields <= CONTINUABLE_FIELDS or choice.get("logprobs"):
            self._continuable = False
        if choice.get("finish_reason") is not None:
            self._finished = True


def _decode(data: bytes) -> dict[str, Any] | None:
    try:
        obj = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
    return obj if isinstance(obj, dict) else None
