"""Turns an engine's answer into the router's: names, and the text given so far.

Lives for one request.  Callers know profiles, not models, so the answer carries the
profile's name; and all parts of an answer carry one id, also when it was resumed on
another upstream.  The text that the caller has got is kept, since a resumed stream
starts from it.
"""

from __future__ import annotations

from typing import Any

import msgspec

ID_PREFIXES = {
    "chat.completion": "chatcmpl-",
    "chat.completion.chunk": "chatcmpl-",
    "text_completion": "cmpl-",
}
DONE = b"[DONE]"
PLAIN_DELTA_FIELDS = {"role", "content", "refusal"}


class Rewriter:
    """Rewrites the events of one answer; ``profile`` empty leaves the model's name."""

    def __init__(self, request_id: str, profile: str) -> None:
        self._request_id = request_id
        self._profile = profile
        self._created: int | None = None
        self._text: list[str] = []
        self._plain = True
        self._finished = False

    @property
    def emitted(self) -> str:
        """The text that was given out."""
        return "".join(self._text)

    @property
    def resumable(self) -> bool:
        """Whether another upstream can go on from the emitted text alone."""
        return self._plain and not self._finished

    def body(self, body: bytes) -> bytes:
        """The whole body of an answer that is not a stream."""
        obj = _decode(body)
        if obj is None or "object" not in obj:
            return body
        return self._encode(obj)

    def event(self, event: bytes) -> bytes:
        """One event of a stream, whose text is noted as given out."""
        obj = _decode(event)
        if obj is None:
            self._plain = False
            return event
        for choice in obj.get("choices") or ():
            self._note(choice)
        return self._encode(obj)

    def _encode(self, obj: dict[str, Any]) -> bytes:
        prefix = ID_PREFIXES.get(str(obj.get("object")))
        if prefix is not None:
            obj["id"] = prefix + self._request_id
            if self._profile:
                obj["model"] = self._profile
        if self._created is None:
            self._created = obj.get("created")
        if self._created is not None:
            obj["created"] = self._created
        return msgspec.json.encode(obj)

    def _note(self, choice: dict[str, Any]) -> None:
        delta = choice.get("delta")
        text = choice.get("text")
        if isinstance(delta, dict):
            text = delta.get("content")
            given = {name for name, value in delta.items() if value}
            self._plain &= given <= PLAIN_DELTA_FIELDS
        self._plain &= choice.get("index", 0) == 0 and not choice.get("logprobs")
        if isinstance(text, str):
            self._text.append(text)
        if choice.get("finish_reason") is not None:
            self._finished = True


def _decode(data: bytes) -> dict[str, Any] | None:
    try:
        obj = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None
    return obj if isinstance(obj, dict) else None
