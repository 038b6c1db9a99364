"""Callers for tests of the whole product: they send requests and check the answers.

A caller behaves as a well-written client of the interface.  It tries another entry when
one can't be reached, attaches again to a stream whose connection broke, and resends a
call only where that can't run it twice.  Each request yields exactly one ``Ending``.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
import ssl
import threading
import time
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any

import httpx2
import msgspec

from gooseberrydale.example.answers import answer_length, answer_text, prompt_digest
from gooseberrydale.example.prompts import MAX_ANSWER_TOKENS, MIN_ANSWER_TOKENS

REQUEST_BOUND_S = 60.0
RECONNECT_S = 0.05
MAX_SENDS = 40
PIECE_BYTES = 16_000

Messages = list[dict[str, str]]


def expected_text(messages: Messages) -> str:
    """Return the whole answer that the example engine gives to ``messages``."""
    pairs = [(message["role"], message["content"]) for message in messages]
    digest = prompt_digest(msgspec.json.encode(pairs))
    length = answer_length(digest, MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS)
    return answer_text(digest, length)


def nested_prompt(guide: int, lot: int, question: int, pieces: int = 2) -> Messages:
    """Return a prompt of a long guide, a shorter text ("lot") and a question.

    Prompts with equal numbers share these texts, and thus the cached prefix.
    """
    guide_text = f"guide {guide} ".ljust(12) * (PIECE_BYTES * pieces // 12)
    lot_text = f"lot {lot} ".ljust(12) * (PIECE_BYTES // 24)
    return [
        {"role": "system", "content": guide_text},
        {"role": "user", "content": lot_text},
        {"role": "user", "content": f"question {question}"},
    ]


@dataclass
class Ending:
    """How one request ended.

    ``kind`` is ``whole`` (the expected answer), ``refused`` (an error response),
    ``unknown`` (no complete answer arrived) or ``wrong`` (another answer).
    """

    kind: str
    code: str = ""
    not_run: bool | None = None
    request_ids: tuple[str, ...] = ()
    text: str = ""
    started_at: float = 0.0
    first_token_s: float = 0.0
    took_s: float = 0.0
    retry_after: str = ""
    detail: str = ""
    cached_tokens: int | None = None


@dataclass
class _Progress:
    """What a caller has received for a running request."""

    parts: list[str] = field(default_factory=list)
    request_ids: list[str] = field(default_factory=list)
    last_event_id: str = ""
    error: dict[str, Any] | None = None
    retry_after: str = ""
    done: bool = False
    first_token_s: float = 0.0
    detail: str = ""
    cached_tokens: int | None = None


class Caller:
    """Sends requests of one workspace to any of several entries.

    A connection on which no bytes arrive for ``silence_s`` is closed.
    """

    def __init__(
        self,
        entries: Sequence[str],
        key: str,
        seed: int = 0,
        verify: ssl.SSLContext | bool = True,
        silence_s: float = REQUEST_BOUND_S,
    ) -> None:
        self._entries = list(entries)
        self._rng = random.Random(seed)
        self._entry_numbers = itertools.count(self._rng.randrange(len(self._entries)))
        self._client = httpx2.AsyncClient(
            timeout=httpx2.Timeout(silence_s, connect=2.0),
            headers={"Authorization": f"Bearer {key}"},
            limits=httpx2.Limits(max_connections=256),
            trust_env=False,
            verify=verify,
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    def use_entries(self, entries: Sequence[str]) -> None:
        """Send to these entries from now on, as a load balancer would."""
        self._entries = list(entries)

    def _next_entry(self) -> str:
        return self._entries[next(self._entry_numbers) % len(self._entries)]

    async def stream(self, profile: str, messages: Messages) -> Ending:
        """Request a streamed chat completion and check the whole answer."""
        started = time.monotonic()
        progress = _Progress()
        body = {
            "model": profile,
            "messages": messages,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        for _ in range(MAX_SENDS):
            url = self._next_entry()
            try:
                if progress.last_event_id:
                    request = self._client.build_request(
                        "GET",
                        f"{url}/v1/streams",
                        headers={"Last-Event-ID": progress.last_event_id},
                    )
                else:
                    request = self._client.build_request(
                        "POST", f"{url}/v1/chat/completions", json=body
                    )
                await self._read_stream(request, progress, started)
            except httpx2.HTTPError as exc:
                progress.detail = f"{type(exc).__name__} {exc}"
                await asyncio.sleep(RECONNECT_S)
                continue
            if progress.done or progress.error is not None:
                break
            await asyncio.sleep(RECONNECT_S)
        return self._ending(progress, expected_text(messages), started)

    async def _read_stream(
        self, request: httpx2.Request, progress: _Progress, started: float
    ) -> None:
        response = await self._client.send(request, stream=True)
        try:
            progress.request_ids.append(response.headers.get("x-request-id", ""))
            if response.status_code != 200:
                await response.aread()
                progress.error = _error_body(response)
                progress.retry_after = response.headers.get("retry-after", "")
                return
            event_id = ""
            async for line in response.aiter_lines():
                if line.startswith("id:"):
                    event_id = line[3:].strip()
                elif line.startswith("data:"):
                    _handle_event(progress, line[5:].strip(), started)
                    progress.last_event_id = event_id or progress.last_event_id
                    if progress.done or progress.error is not None:
                        return
        finally:
            await response.aclose()

    async def plain(self, profile: str, messages: Messages) -> Ending:
        """Request a chat completion in one body; resend it if the connection breaks."""
        started = time.monotonic()
        progress = _Progress()
        body = {"model": profile, "messages": messages}
        response = await self._post(progress, "/v1/chat/completions", body)
        if response is not None:
            answer = response.json()
            progress.parts.append(answer["choices"][0]["message"]["content"] or "")
            progress.cached_tokens = _cached_tokens(answer)
            progress.done = True
            progress.first_token_s = time.monotonic() - started
        return self._ending(progress, expected_text(messages), started)

    async def bid(
        self, profile: str, body: dict[str, Any], key: str = "", sends: int = 1
    ) -> Ending:
        """Call a service whose calls must not run twice.

        If the connection breaks, the call is sent to the next entry, up to ``sends``
        times in all.  More than one is safe only with an idempotency ``key``.
        """
        started = time.monotonic()
        progress = _Progress()
        headers = {"Idempotency-Key": key} if key else {}
        path = f"/services/{profile}/bids"
        response = await self._post(progress, path, body, headers, sends)
        if response is not None:
            progress.done = True
            progress.parts.append(response.text)
        return self._ending(progress, "".join(progress.parts), started)

    async def _post(
        self,
        progress: _Progress,
        path: str,
        body: dict[str, Any],
        headers: dict[str, str] | None = None,
        sends: int = MAX_SENDS,
    ) -> httpx2.Response | None:
        """Send until an entry answers; return None if it refuses or none answers."""
        for _ in range(sends):
            url = self._next_entry() + path
            try:
                response = await self._client.post(url, json=body, headers=headers)
            except httpx2.HTTPError as exc:
                progress.detail = f"{type(exc).__name__} {exc}"
                await asyncio.sleep(RECONNECT_S)
                continue
            progress.request_ids.append(response.headers.get("x-request-id", ""))
            if response.status_code == 200:
                return response
            progress.error = _error_body(response)
            progress.retry_after = response.headers.get("retry-after", "")
            return None
        return None

    def _ending(self, progress: _Progress, expected: str, started: float) -> Ending:
        text = "".join(progress.parts)
        ending = Ending(
            kind="unknown",
            request_ids=tuple(progress.request_ids),
            text=text,
            started_at=started,
            first_token_s=progress.first_token_s,
            took_s=time.monotonic() - started,
            retry_after=progress.retry_after,
            detail=progress.detail,
            cached_tokens=progress.cached_tokens,
        )
        if progress.error is not None:
            ending.kind = "refused"
            ending.code = str(progress.error.get("code", ""))
            ending.not_run = progress.error.get("not_run")
            ending.detail = str(progress.error.get("message", ""))
        elif progress.done:
            ending.kind = "whole" if text == expected else "wrong"
        return ending


class BackgroundLoop:
    """Runs coroutines, such as those that send requests, on a background event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coro: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine and return its result."""
        return self.start(coro).result(4 * REQUEST_BOUND_S)

    def start(self, coro: Coroutine[Any, Any, Any]) -> Any:
        """Start a coroutine; return a ``concurrent.futures.Future`` of its result."""
        return asyncio.run_coroutine_threadsafe(coro, self._loop)

    def close(self) -> None:
        """Stop the event loop and its thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5.0)


async def mixed_load(
    caller: Caller, profile: str, count: int, every_s: float, seed: int = 0
) -> list[Ending]:
    """Send ``count`` requests, one every ``every_s`` seconds; every third is plain."""
    rng = random.Random(seed)
    tasks = []
    for number in range(count):
        prompt = nested_prompt(rng.randrange(3), rng.randrange(10), number)
        send = caller.stream if number % 3 else caller.plain
        tasks.append(asyncio.create_task(send(profile, prompt)))
        await asyncio.sleep(every_s)
    return list(await asyncio.gather(*tasks))


def _handle_event(progress: _Progress, data: str, started: float) -> None:
    if data == "[DONE]":
        progress.done = True
        return
    event = json.loads(data)
    if "error" in event:
        progress.error = event["error"]
        return
    if event.get("usage"):
        progress.cached_tokens = _cached_tokens(event)
    for choice in event.get("choices", ()):
        text = choice.get("delta", {}).get("content")
        if text:
            if not progress.parts:
                progress.first_token_s = time.monotonic() - started
            progress.parts.append(text)


def _cached_tokens(answer: dict[str, Any]) -> int:
    """Return the number of cached prompt tokens in an answer's usage."""
    return int(answer["usage"]["prompt_tokens_details"]["cached_tokens"])


def _error_body(response: httpx2.Response) -> dict[str, Any]:
    try:
        error = response.json()["error"]
    except (ValueError, KeyError):
        return {"code": "", "message": f"untyped error, status {response.status_code}"}
    assert isinstance(error, dict)
    return error
