"""Answers to an unmodified client, plain and streamed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import openai

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.process.entry import Entry
from tests.builders_entry import (
    KEY_A,
    WORDS,
    FakeSidecar,
    chat_body,
    chat_event,
    run,
    running,
)

TEXT = "".join(WORDS)
ASK = [{"role": "user", "content": "Is lot 42 fine?"}]


def client_of(entry: Entry, key: str = KEY_A) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        base_url=f"http://{entry.addresses['http']}/v1", api_key=key, max_retries=0
    )


async def ask(client: Any, **kwargs: Any) -> Any:
    kwargs = {"model": "lots", "messages": ASK, **kwargs}
    return await client.chat.completions.create(**kwargs)


async def read_text(stream: Any) -> str:
    parts = []
    async for event in stream:
        assert event.model == "lots"
        parts.append(event.choices[0].delta.content or "")
    return "".join(parts)


def test_plain_chat_answer_names_the_profile() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        async with running(fake) as entry, client_of(entry) as client:
            answer = await ask(client)
        assert answer.choices[0].message.content == TEXT
        assert answer.model == "lots"
        [req] = fake.dispatched
        assert (req.workspace, req.incarnation) == ("a", "inc-u1")
        assert answer.id == f"chatcmpl-{req.request_id}"

    run(scenario())


def test_streamed_chat_answer_is_whole() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        async with running(fake) as entry, client_of(entry) as client:
            text = await read_text(await ask(client, stream=True))
        assert text == TEXT

    run(scenario())


async def echo_late(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Answers with the prompt; the first request's answer comes last."""
    asked = "first" if b"first" in req.body else "second"
    if asked == "first":
        await asyncio.wait_for(fake.release.wait(), 5)
    else:
        asyncio.get_running_loop().call_later(0.05, fake.release.set)
    yield fake.accepted(req)
    if req.stream:
        yield fake.chunk(req, 0, chat_event(asked))
        yield fake.chunk(req, 1, chat_event(None, "stop"))
        yield fake.end(req, 2)
    else:
        yield fake.chunk(req, 0, chat_body(asked))
        yield fake.end(req, 1)


def test_answers_that_cross_reach_their_own_callers() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = echo_late
        async with running(fake) as entry, client_of(entry) as client:
            asks = [[{"role": "user", "content": c}] for c in ("first", "second")]
            plain, stream = await asyncio.gather(
                ask(client, messages=asks[0]),
                ask(client, messages=asks[1], stream=True),
            )
            assert plain.choices[0].message.content == "first"
            assert await read_text(stream) == "second"

    run(scenario())


def test_models_are_the_profiles_of_the_workspace() -> None:
    async def scenario() -> None:
        async with running() as entry, client_of(entry) as client:
            names = [model.id async for model in client.models.list()]
        assert names == ["lots"]

    run(scenario())
