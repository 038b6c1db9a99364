"""The completion calls of the example engine, with streamed and unstreamed answers.

A job in the engine is cancelled if its caller disconnects before the answer is
complete.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import uuid
from collections.abc import AsyncGenerator
from typing import Any

import msgspec
from result import Err
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse

from gooseberrydale.errors import QUEUE_FULL, problem
from gooseberrydale.example.answers import TOKEN_CHARS, answer_token
from gooseberrydale.example.engine import Finished, Started
from gooseberrydale.example.engine_host import EngineHost
from gooseberrydale.example.http_json import json_response, problem_response
from gooseberrydale.example.prompts import Prompt, parse_prompt

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
STREAM_END = b"data: [DONE]\n\n"
QUEUE_FULL_RETRY_S = 1.0


class Completion:
    """Runs the job of one request and formats its answer."""

    def __init__(self, host: EngineHost, prompt: Prompt, req: Request) -> None:
        self._host = host
        self._prompt = prompt
        self._path = req.url.path
        self._chat = self._path == CHAT_PATH
        self._request_id = req.headers.get("x-request-id", "")
        self._attempt = req.headers.get("x-attempt", "")
        self._cached_tokens = 0
        self._head = {
            "id": self._request_id or uuid.uuid4().hex,
            "created": int(time.time()),
            "model": prompt.body.model or host.model,
        }

    async def tokens(self) -> AsyncGenerator[str]:
        """Run the job and yield its tokens; closing the generator cancels the job."""
        prompt = self._prompt
        job_id = self._host.submit(prompt, self._request_id, self._attempt, self._path)
        outputs = self._host.outputs(job_id)
        try:
            while not isinstance(output := await outputs.get(), Finished):
                if isinstance(output, Started):
                    self._cached_tokens = output.cached_tokens
                # A resumed answer may be complete already and needs no further token.
                elif output.index < prompt.answer_tokens:
                    yield self._text_at(prompt.first_index + output.index)
        finally:
            self._host.release(job_id)

    async def events(self) -> AsyncGenerator[bytes]:
        """Yield the answer as server-sent events."""
        async with contextlib.aclosing(self.tokens()) as tokens:
            async for text in tokens:
                yield _event(self._chunk([self._choice(text, None)]))
        yield _event(self._chunk([self._choice("", self._finish_reason())]))
        if self._prompt.body.include_usage:
            usage = self._usage()
            yield _event({**self._chunk([]), "usage": usage})
        yield STREAM_END

    async def full_answer(self) -> dict[str, Any]:
        """Return the complete answer as one JSON object."""
        text = "".join([text async for text in self.tokens()])
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason()}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            **self._head,
            "object": "chat.completion" if self._chat else "text_completion",
            "choices": [choice],
            "usage": self._usage(),
        }

    def _text_at(self, index: int) -> str:
        token = answer_token(self._prompt.digest, index)
        if index == self._prompt.first_index:
            # An answer that was interrupted within a token continues within it.
            return token[len(self._prompt.emitted) % TOKEN_CHARS :]
        return token

    def _chunk(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        return {**self._head, "object": kind, "choices": choices}

    def _choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._chat:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return choice

    def _finish_reason(self) -> str:
        return "stop" if self._prompt.natural_end else "length"

    def _usage(self) -> dict[str, Any]:
        prompt = self._prompt
        return {
            "prompt_tokens": prompt.tokens,
            "completion_tokens": prompt.answer_tokens,
            "total_tokens": prompt.tokens + prompt.answer_tokens,
            "prompt_tokens_details": {"cached_tokens": self._cached_tokens},
        }


async def complete(host: EngineHost, req: Request) -> Response:
    """Answer one completion call, streamed or unstreamed."""
    parsed = parse_prompt(await req.body(), chat=req.url.path == CHAT_PATH)
    if isinstance(parsed, Err):
        return problem_response(parsed.err_value)
    if host.engine.waiting >= host.cfg.max_waiting:
        return problem_response(problem(QUEUE_FULL, retry_after_s=QUEUE_FULL_RETRY_S))
    completion = Completion(host, parsed.ok_value, req)
    if parsed.ok_value.body.stream:
        return StreamingResponse(completion.events(), media_type="text/event-stream")
    return await _answer_unstreamed(completion, req)


async def _answer_unstreamed(completion: Completion, req: Request) -> Response:
    answer = asyncio.create_task(completion.full_answer())
    disconnect = asyncio.create_task(_wait_disconnected(req))
    try:
        await asyncio.wait({answer, disconnect}, return_when=asyncio.FIRST_COMPLETED)
    finally:
        disconnect.cancel()
        if not answer.done():
            answer.cancel()
    if answer.done() and not answer.cancelled():
        return json_response(answer.result())
    return Response(status_code=499)


async def _wait_disconnected(req: Request) -> None:
    while (await req.receive())["type"] != "http.disconnect":
        continue


def _event(data: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(data) + b"\n\n"
