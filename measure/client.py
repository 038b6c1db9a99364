"""A client of the router that sends single requests and classifies their outcomes.

It behaves as the documentation asks of clients: it tries another entry if it cannot
connect, reattaches to an interrupted stream, and resends a service call under its
Idempotency-Key if the outcome is unknown.
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

from measure.workload import PromptRequest, ServiceCall

POOL_SIZE = 500
READ_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 60.0
MAX_TRIES = 3
RESEND_DELAY_S = 0.5
CONNECT_ERRORS = (ConnectionRefusedError, ConnectTimeout)
# aiosonic raises ValueError if a connection ends where a chunk should start.
NETWORK_ERRORS = (AiosonicError, OSError, asyncio.IncompleteReadError, ValueError)


class Outcome(StrEnum):
    """How a request ended for its caller.

    ``WHOLE`` is a complete answer, ``REFUSED`` a typed error that says that the request
    did not run, ``BROKEN`` any other typed error, and ``LOST`` neither an answer nor a
    typed error.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    LOST = "lost"


@dataclass(slots=True)
class Answer:
    """The outcome of one prompt; ``chunk_gaps`` are seconds between its chunks."""

    request: PromptRequest
    outcome: Outcome = Outcome.LOST
    code: str = ""
    text: str = ""
    ttft_s: float = 0.0
    send_delay_s: float = 0.0
    chunk_gaps: list[float] = field(default_factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    reattachments: int = 0


@dataclass(slots=True)
class CallAnswer:
    """The outcome of one service call; ``not_run`` is a field of the error object."""

    call: ServiceCall
    body: bytes
    outcome: Outcome = Outcome.LOST
    code: str = ""
    not_run: bool | None = None


@dataclass(frozen=True, slots=True)
class Target:
    """Where to send requests: base URLs, profiles, and the key of each workspace.

    With ``direct`` the URLs are engines, which are called without the router.
    """

    urls: tuple[str, ...]
    profile: str
    service_profile: str
    keys: tuple[str, ...]
    direct: bool = False


class Caller:
    """Sends requests to a target; call ``close`` at the end."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._client = aiosonic.HTTPClient(
            TCPConnector({":default": PoolConfig(size=POOL_SIZE)})
        )
        self._timeouts = aiosonic.Timeouts(
            sock_connect=2.0,
            sock_read=READ_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.connector.cleanup()

    async def send_prompt(
        self, request: PromptRequest, first: int, body: bytes
    ) -> Answer:
        """Send a prompt to URL number ``first``, or to the next ones if that fails."""
        answer = Answer(request)
        stream = _Stream(answer)
        for attempt in range(MAX_TRIES):
            url = self._url(first + attempt)
            try:
                if stream.last_id:
                    answer.reattachments += 1
                    await self._attach(url, request, stream)
                else:
                    await self._post(url, request, body, stream)
            except NETWORK_ERRORS:
                # Without an event id a stream cannot be resumed.  The request is then
                # sent to another entry only if the answer has not begun, as a load
                # balancer does.
                if not stream.begun or stream.last_id:
                    continue
            break
        return answer

    async def _post(
        self, url: str, request: PromptRequest, body: bytes, stream: _Stream
    ) -> None:
        headers = self._headers(request.workspace, request.name)
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

    async def _attach(self, url: str, request: PromptRequest, stream: _Stream) -> None:
        headers = self._headers(request.workspace, request.name)
        headers["last-event-id"] = stream.last_id
        reply = await self._client.request(
            f"{url}/v1/streams", headers=headers, timeouts=self._timeouts, stream=True
        )
        await stream.read(reply)

    async def send_call(self, call: ServiceCall, first: int) -> CallAnswer:
        """Make a service call; only a keyed one is resent after it was sent."""
        body = msgspec.json.encode({"bid": call.name})
        answer = CallAnswer(call, body)
        for attempt in range(MAX_TRIES):
            try:
                await self._send_call_once(self._url(first + attempt), answer)
            except CONNECT_ERRORS:
                # Nothing was sent, so the next URL may be tried even without a key.
                continue
            except NETWORK_ERRORS:
                answer.outcome = Outcome.LOST
            is_decided = answer.outcome in (Outcome.WHOLE, Outcome.REFUSED)
            if is_decided or not call.keyed:
                break
            await asyncio.sleep(RESEND_DELAY_S)
        return answer

    async def _send_call_once(self, url: str, answer: CallAnswer) -> None:
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
        answer.code, answer.not_run = _parse_error(content)
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
    """Reads the server-sent events of one answer, over one or more connections."""

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._last_at = 0.0
        self.sent_at = 0.0
        self.last_id = ""
        self.begun = False

    async def read(self, reply: Any) -> None:
        if reply.status_code != 200:
            code, not_run = _parse_error(await reply.content())
            self._end_with_error(code, not_run)
            return
        async for line in reply.iter_lines():
            if line.startswith("id:"):
                event_id = line[3:].strip()
                self.last_id = event_id or self.last_id
            elif line.startswith("data:") and self._handle_event(line[5:].strip()):
                return
        raise ConnectionResetError("the stream ended without its end marker")

    def _handle_event(self, data: str) -> bool:
        """Process the data of an event; return whether the answer has ended."""
        self.begun = True
        if data == "[DONE]":
            self._answer.outcome = Outcome.WHOLE
            return True
        event = msgspec.json.decode(data)
        if "error" in event:
            error = event["error"]
            self._end_with_error(str(error.get("code")), error.get("not_run"))
            return True
        for choice in event.get("choices", ()):
            if content := choice.get("delta", {}).get("content"):
                self._add_text(content)
        if usage := event.get("usage"):
            self._set_usage(usage)
        return False

    def _add_text(self, content: str) -> None:
        now = time.monotonic()
        if self._answer.text:
            self._answer.chunk_gaps.append(now - self._last_at)
        else:
            self._answer.ttft_s = now - self.sent_at
        self._last_at = now
        self._answer.text += content

    def _set_usage(self, usage: dict[str, Any]) -> None:
        details = usage.get("prompt_tokens_details") or {}
        self._answer.prompt_tokens = usage["prompt_tokens"]
        self._answer.cached_tokens = details.get("cached_tokens", 0)

    def _end_with_error(self, code: str, not_run: bool | None) -> None:
        self._answer.code = code
        refused = not_run is True and not self.begun
        self._answer.outcome = Outcome.REFUSED if refused else Outcome.BROKEN


def _parse_error(content: bytes) -> tuple[str, bool | None]:
    """Return the code and ``not_run`` of an error object; an empty code if untyped."""
    try:
        error = msgspec.json.decode(content)["error"]
        return str(error["code"]), error.get("not_run")
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "", None
