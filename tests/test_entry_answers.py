"""Answers to an unmodified OpenAI client, streamed or not."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from gooseberrydale.connection.messages import DispatchReq
from tests.builders_entry import (
    TEXT,
    FakeSidecar,
    ask,
    chat_body,
    chat_event,
    openai_client,
    read_stream,
    read_text,
    run,
    running,
)


def test_unstreamed_chat_answer_names_the_profile() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        async with running(fake) as entry, openai_client(entry) as client:
            answer = await ask(client)
        assert answer.choices[0].message.content == TEXT
        assert answer.model == "lots"
        [req] = fake.dispatched
        assert (req.workspace, req.incarnation) == ("a", "inc-u1")
        assert answer.id == f"chatcmpl-{req.request_id}"

    run(scenario())


def test_streamed_chat_answer_is_complete() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        async with running(fake) as entry, openai_client(entry) as client:
            text = await read_stream(client)
        assert text == TEXT

    run(scenario())


async def echo_late(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """Answer with the word of the prompt; the first request is answered last."""
    word = "first" if b"first" in req.body else "second"
    if word == "first":
        await asyncio.wait_for(fake.release.wait(), 5)
    else:
        asyncio.get_running_loop().call_later(0.05, fake.release.set)
    yield fake.accepted(req)
    if req.stream:
        yield fake.chunk(req, 0, chat_event(word))
        yield fake.chunk(req, 1, chat_event(None, "stop"))
        yield fake.end(req, 2)
    else:
        yield fake.chunk(req, 0, chat_body(word))
        yield fake.end(req, 1)


def test_answers_in_another_order_reach_their_own_callers() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = echo_late
        async with running(fake) as entry, openai_client(entry) as client:
            prompts = [[{"role": "user", "content": c}] for c in ("first", "second")]
            unstreamed, stream = await asyncio.gather(
                ask(client, messages=prompts[0]),
                ask(client, messages=prompts[1], stream=True),
            )
            assert unstreamed.choices[0].message.content == "first"
            assert await read_text(stream) == "second"

    run(scenario())


def test_listed_models_are_the_profiles_of_the_workspace() -> None:
    async def scenario() -> None:
        async with running() as entry, openai_client(entry) as client:
            names = [model.id async for model in client.models.list()]
        assert names == ["lots"]

    run(scenario())
