"""A caller: sends one request to the entries and says what became of it.

It does what the callers' page asks of callers: tries another entry if it could not
connect, attaches again to a stream that broke off, and sends a keyed service call
again with the same key when the outcome is unknown.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import aiosonic
import msgspec
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError, ConnectTimeout
from aiosonic.pools import PoolConfig

from measure.workload import Ask, Call

POOL_SIZE = 500
SILENCE_S = 20.0
REQUEST_S = 60.0
TRIES = 3
RESEND_PAUSE_S = 0.5
NOT_CONNECTED = (ConnectionRefusedError, ConnectTimeout)
# aiosonic raises ValueError when a connection ends where a chunk should begin.
NETWORK_ERRORS = (AiosonicError, OSError, asyncio.IncompleteReadError, ValueError)


class Outcome(StrEnum):
    """What a caller got.

    ``REFUSED`` is a typed refusal before any work, ``BROKEN`` a typed error after
    it, ``LOST`` neither an answer nor a typed error.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    LOST = "lost"


@dataclass(slots=True)
class Answer:
    """One request's outcome; times in seconds, ``chunk_gaps`` between its events."""

    ask: Ask
    outcome: Outcome = Outcome.LOST
    code: str = ""
    text: str = ""
    first_s: float = 0.0
    late_s: float = 0.0
    chunk_gaps: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    attached: int = 0


@dataclass(slots=True)
class CallAnswer:
    """One service call's outcome; ``not_run`` is what the refusal said."""

    call: Call
    body: bytes
    outcome: Outcome = Outcome.LOST
    code: str = ""
    not_run: bool | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """Where callers send: base URLs, the profiles, and each workspace's key."""

    urls: tuple[str, ...]
    profile: str
    service_profile: str
    keys: tuple[str, ...]
    direct: bool = False


class Caller:
    """Sends requests; ``close`` drops the connections."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._client = aiosonic.HTTPClient(
            TCPConnector({":default": PoolConfig(size=POOL_SIZE)})
        )
        self._timeouts = aiosonic.Timeouts(
            sock_connect=2.0, sock_read=SILENCE_S, request_timeout=REQUEST_S
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()

    async def ask(self, ask: Ask, first: int, body: bytes) -> Answer:
        """Send a prompt to entry ``first`` or those after it."""
        answer = Answer(ask)
        stream = _Stream(answer)
        for attempt in range(TRIES):
            url = self._url(first + attempt)
            try:
                if stream.last_id:
                    answer.attached += 1
                    await self._attach(url, ask, stream)
                else:
                    await self._post(url, ask, body, stream)
            except NETWORK_ERRORS:
                # Without an event's id there is nothing to attach to; the balancer
                # tries another entry only if the answer has not begun.
                if not stream.begun or stream.last_id:
                    continue
            break
        return answer

    async def _post(self, url: str, ask: Ask, body: bytes, stream: _Stream) -> None:
        headers = self._headers(ask.workspace, ask.name)
        path = f"{url}/v1/chat/completions"
        stream.sent_at = stream.sent_at or time.monotonic()
        reply = await self._client.request(
            path,
            method="POST",
            data=body,
            headers=headers,
            timeouts=self._timeouts,
            stream=True,
        )
        await stream.read(reply)

    async def _attach(self, url: str, ask: Ask, stream: _Stream) -> None:
        headers = self._headers(ask.workspace, ask.name)
        headers["last-event-id"] = stream.last_id
        reply = await self._client.request(
            f"{url}/v1/streams", headers=headers, timeouts=self._timeouts, stream=True
        )
        await stream.read(reply)

    async def call(self, call: Call, first: int) -> CallAnswer:
        """Make a service call; only a keyed one is ever sent again."""
        body = msgspec.json.encode({"bid": call.name})
        answer = CallAnswer(call, body)
        for attempt in range(TRIES):
            try:
                await self._call_once(self._url(first + attempt), answer)
            except NOT_CONNECTED:
                # Nothing was sent, so another entry may be asked, key or not.
                continue
            except NETWORK_ERRORS:
                answer.outcome = Outcome.LOST
            settled = answer.outcome in (Outcome.WHOLE, Outcome.REFUSED)
            if settled or not call.keyed:
                break
            await asyncio.sleep(RESEND_PAUSE_S)
        return answer

    async def _call_once(self, url: str, answer: CallAnswer) -> None:
        call = answer.call
        headers = self._headers(call.workspace, call.name)
        if call.keyed:
            headers["idempotency-key"] = call.name
        path = f"{url}/services/{self._target.service_profile}/bids"
        reply = await self._client.request(
            path,
            method="POST",
            data=answer.body,
            headers=headers,
            timeouts=self._timeouts,
        )
        content = await reply.content()
        if reply.status_code == 200:
            answer.outcome = Outcome.WHOLE
            return
        answer.code, answer.not_run = _refusal(content)
        refused = answer.not_run is True
        answer.outcome = Outcome.REFUSED if refused else Outcome.BROKEN

    def _headers(self, workspace: int, name: str) -> dict[str, str]:
        headers = {"content-type": "application/json"}
        if self._target.direct:
            headers |= {"x-request-id": name, "x-attempt": "0"}
        else:
            headers["authorization"] = f"Bearer {self._target.keys[workspace]}"
        return headers

    def _url(self, number: int) -> str:
        return self._target.urls[number % len(self._target.urls)]


class _Stream:
    """Reads server-sent events into an answer, over one connection or several."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._last_at = 0.0
        self.sent_at = 0.0
        self.last_id = ""
        self.begun = False

    async def read(self, reply: Any) -> None:
        if reply.status_code != 200:
            code, not_run = _refusal(await reply.content())
            self._end(code, not_run)
            return
        async for line in reply.iter_lines():
            if line.startswith("id:"):
                pending_id = line[3:].strip()
                self.last_id = pending_id or self.last_id
            elif line.startswith("data:") and self._event(line[5:].strip()):
                return
        raise ConnectionResetError("the stream ended without its end marker")

    def _event(self, data: str) -> bool:
        """Take an event in; return whether the answer has ended."""
        self.begun = True
        if data == "[DONE]":
            self._answer.outcome = Outcome.WHOLE
            return True
        event = msgspec.json.decode(data)
        if "error" in event:
            error = event["error"]
            self._end(str(error.get("code")), error.get("not_run"))
            return True
        for choice in event.get("choices", ()):
            if content := choice.get("delta", {}).get("content"):
                self._text(content)
        if usage := event.get("usage"):
            self._usage(usage)
        return False

    def _text(self, content: str) -> None:
        now = time.monotonic()
        if self._answer.text:
            self._answer.chunk_gaps.append(now - self._last_at)
        else:
            self._answer.first_s = now - self.sent_at
        self._last_at = now
        self._answer.text += content

    def _usage(self, usage: dict[str, Any]) -> None:
        details = usage.get("prompt_tokens_details") or {}
        self._answer.prompt_tokens = usage["prompt_tokens"]
        self._answer.cached_tokens = details.get("cached_tokens", 0)

    def _end(self, code: str, not_run: bool | None) -> None:
        self._answer.code = code
        refused = not_run is True and not self.begun
        self._answer.outcome = Outcome.REFUSED if refused else Outcome.BROKEN


def _refusal(content: bytes) -> tuple[str, bool | None]:
    """Return the code of a typed error and what it says about the outcome."""
    try:
        error = msgspec.json.decode(content)["error"]
        return str(error["code"]), error.get("not_run")
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "", None
