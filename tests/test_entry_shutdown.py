"""Graceful shutdown of an entry, and streams that continue at another entry."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import httpx2
import pytest

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.process.entry import Entry
from gooseberrydale.version.declarations import Config
from tests.builders_entry import (
    KEY_A,
    KEY_B,
    TEXT,
    WORD_EVENTS,
    WORDS,
    FakeSidecar,
    announce,
    make_config,
    run,
    running,
    send_heartbeats,
    wait_until,
)

CHAT = {"model": "lots", "messages": [{"role": "user", "content": "?"}]}
DONE = "data: [DONE]"


def client_of(entry: Entry, key: str = KEY_A) -> httpx2.AsyncClient:
    return httpx2.AsyncClient(
        base_url=f"http://{entry.addresses['http']}",
        headers={"Authorization": f"Bearer {key}"},
        timeout=20,
    )


async def read_raw_stream(entry: Entry, headers: dict[str, str] | None = None) -> str:
    async with client_of(entry) as client:
        body = {**CHAT, "stream": True}
        answer = await client.post("/v1/chat/completions", json=body, headers=headers)
        return answer.text


def events_of(text: str) -> list[dict[str, Any]]:
    """The decoded data of all events but the end marker."""
    lines = [line for line in text.splitlines() if line.startswith("data: ")]
    return [json.loads(line[6:]) for line in lines if line != DONE]


def text_of(text: str) -> str:
    """The text of the answer in a raw stream."""
    choices = [event["choices"][0] for event in events_of(text) if "choices" in event]
    return "".join(choice["delta"].get("content") or "" for choice in choices)


def last_id(text: str) -> str:
    return [line[4:] for line in text.splitlines() if line.startswith("id: ")][-1]


async def pause_after_two_words(
    fake: FakeSidecar, req: DispatchReq
) -> AsyncIterator[Any]:
    """Send two words, wait for ``release``, then send the rest."""
    yield fake.accepted(req)
    for offset, event in enumerate(WORD_EVENTS):
        if offset == 2:
            async for frame in send_heartbeats(fake, req):
                yield frame
        yield fake.chunk(req, offset, event)
    yield fake.end(req, len(WORD_EVENTS))


def test_running_stream_finishes_during_shutdown() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = pause_after_two_words
        async with running(fake, drain_s=5) as entry:
            reading = asyncio.create_task(read_raw_stream(entry))
            await wait_until(lambda: bool(fake.dispatched))
            closing = asyncio.create_task(entry.close())
            await wait_until(lambda: not is_listening(entry))
            fake.release.set()
            text = await reading
            await closing
        assert text_of(text) == TEXT and DONE in text
        assert fake.cancelled == []

    run(scenario())


def is_listening(entry: Entry) -> bool:
    server = entry._http._server  # type: ignore[union-attr]
    return server is not None and any(s.is_serving() for s in server.servers)


def test_shutdown_fails_the_readiness_check_before_it_refuses() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        async with running(fake, drain_s=5) as entry, client_of(entry) as client:
            # Later requests reuse this connection until a response asks to close it.
            assert (await client.get("/readyz")).json() == {"ready": True}
            closing = asyncio.create_task(entry.close())
            await asyncio.sleep(0)
            ready = await client.get("/readyz")
            served = await client.post("/v1/chat/completions", json=CHAT)
            await wait_until(lambda: entry.phase.value == "refusing")
            refused = await client.post("/v1/chat/completions", json=CHAT)
            await closing
        assert ready.json() == {"ready": False, "reason": "shutting down"}
        assert served.status_code == 200
        assert refused.json()["error"]["code"] == "shutting_down"
        assert refused.json()["error"]["not_run"] is True
        answers = (ready, served, refused)
        assert all(answer.headers["connection"] == "close" for answer in answers)
        assert "retry-after" in refused.headers

    run(scenario())


def test_stream_that_outlasts_the_drain_time_continues_at_another_entry() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = pause_after_two_words
        async with running(fake, drain_s=0.5) as entry, running() as other:
            announce(other, fake)
            reading = asyncio.create_task(read_raw_stream(entry))
            await wait_until(lambda: bool(fake.dispatched))
            await asyncio.sleep(0.1)
            await entry.close()
            first = await reading
            rest = await read_raw_stream(other, {"Last-Event-ID": last_id(first)})
        assert events_of(first)[-1]["error"]["code"] == "stream_handed_over"
        assert DONE not in first and DONE in rest
        assert text_of(first) + text_of(rest) == TEXT
        assert fake.cancelled == [] and len(fake.dispatched) == 1
        ids = {event["id"] for event in events_of(first + rest) if "id" in event}
        assert len(ids) == 1

    run(scenario())


@pytest.mark.parametrize("key", [KEY_A, KEY_B], ids=["own", "other workspace"])
def test_restarted_entry_attaches_by_event_id_within_the_workspace(key: str) -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        async with running(fake) as entry:
            first = await read_raw_stream(entry)
            # The restarted entry gets its configuration and upstream a moment later.
            async with running(config=Config()) as restarted:
                asyncio.get_running_loop().call_later(
                    0.1, lambda: restarted.store.offer(make_config())
                )
                asyncio.get_running_loop().call_later(
                    0.2, lambda: announce(restarted, fake)
                )
                seen_id = last_id(first[: first.index(WORDS[1])] + "\n")
                async with client_of(restarted, key) as client:
                    answer = await client.get(
                        "/v1/streams", headers={"Last-Event-ID": seen_id}
                    )
        if key == KEY_A:
            assert text_of(answer.text) == "".join(WORDS[2:]) and DONE in answer.text
            assert [req.offset for req in fake.attached] == [2]
        else:
            assert answer.json()["error"]["code"] == "unknown_stream"

    run(scenario())


def test_unstreamed_request_that_outlasts_the_drain_time_gets_an_error() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        fake.script = send_heartbeats
        async with running(fake, drain_s=0.5) as entry, client_of(entry) as client:
            asking = client.post("/v1/chat/completions", json=CHAT)
            reading = asyncio.create_task(asking)
            await wait_until(lambda: bool(fake.dispatched))
            await entry.close()
            error = (await reading).json()["error"]
        assert (error["code"], error["not_run"]) == ("shutting_down", None)
        assert len(fake.cancelled) == 1

    run(scenario())


def test_first_request_to_a_restarted_entry_waits_for_upstream_records() -> None:
    async def scenario() -> None:
        fake = FakeSidecar("u1")
        async with running(fake) as _, running(config=Config()) as restarted:
            loop = asyncio.get_running_loop()
            loop.call_later(0.1, lambda: restarted.store.offer(make_config()))
            loop.call_later(0.3, lambda: announce(restarted, fake))
            text = await read_raw_stream(restarted)
        assert text_of(text) == TEXT

    run(scenario())
