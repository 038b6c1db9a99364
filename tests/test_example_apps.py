"""Tests of the example apps over real sockets: interface, records, cancellation."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator

import aiosonic
import pytest
from openai import AsyncOpenAI

from gooseberrydale.example.app_server import AppServer
from gooseberrydale.example.cache_feed import FeedCfg
from gooseberrydale.example.engine import EngineCfg
from gooseberrydale.example.engine_app import engine_app
from gooseberrydale.example.engine_host import HostCfg
from gooseberrydale.example.kv_store_app import kv_store_app
from gooseberrydale.example.service_app import service_app

TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.02
MESSAGES = [{"role": "user", "content": "Which lots open today?"}]
PIECES = {"kv_pieces": [{"key": "aa", "tokens": 3}], "cache_salt": "root"}


@contextlib.asynccontextmanager
async def serving(app) -> AsyncIterator[str]:
    server = AppServer(app)
    await server.start()
    try:
        yield server.url
    finally:
        await server.close()


def run(scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


async def call(method: str, url: str, **kwargs):
    async with aiosonic.HTTPClient() as client:
        reply = await client.request(url, method=method, **kwargs)
        body = await reply.content()
        return reply.status_code, json.loads(body) if body else None


async def wait_until(read_value):
    while not (result := await read_value()):
        await asyncio.sleep(POLL_INTERVAL_S)
    return result


def test_a_streamed_answer_equals_the_unstreamed_one_and_can_be_resumed():
    async def scenario():
        async with serving(engine_app(HostCfg())) as url:
            async with AsyncOpenAI(base_url=f"{url}/v1", api_key="none") as client:
                create = client.chat.completions.create
                unstreamed = await create(model="m", messages=MESSAGES)
                complete_text = unstreamed.choices[0].message.content
                stream = await create(
                    model="m",
                    messages=MESSAGES,
                    stream=True,
                    stream_options={"include_usage": True},
                    extra_body=PIECES,
                )
                chunks = [chunk async for chunk in stream]
                rest = await create(
                    model="m",
                    messages=[
                        *MESSAGES,
                        {"role": "assistant", "content": complete_text[:13]},
                    ],
                    extra_body={**PIECES, "continue_final_message": True},
                )
        parts = [c.choices[0].delta.content for c in chunks if c.choices]
        assert "".join(parts) == complete_text
        assert chunks[-1].usage.prompt_tokens_details.cached_tokens == 0
        assert complete_text[:13] + rest.choices[0].message.content == complete_text
        assert rest.usage.prompt_tokens_details.cached_tokens == 3

    run(scenario)


@pytest.mark.parametrize("stream", [False, True])
def test_closing_the_connection_cancels_the_job(stream):
    async def scenario():
        slow = HostCfg(engine=EngineCfg(decode_s=TIMEOUT_S))
        async with serving(engine_app(slow)) as url:
            body = json.dumps({"messages": MESSAGES, "stream": stream}).encode()
            head = "POST /v1/chat/completions HTTP/1.1\r\nhost: engine\r\n"
            head += f"x-request-id: r1\r\ncontent-length: {len(body)}\r\n\r\n"
            port = int(url.rsplit(":", 1)[1])
            _reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + body)

            async def in_state(state):
                _, record = await call("GET", f"{url}/record")
                return [r for r in record["requests"] if r["state"] == state]

            await wait_until(lambda: in_state("running"))
            writer.close()
            (cancelled,) = await wait_until(lambda: in_state("cancelled"))
            assert cancelled["request_id"] == "r1"

    run(scenario)


def test_kv_cache_is_transferred_through_the_store_only_under_its_root():
    async def scenario():
        async with contextlib.AsyncExitStack() as stack:
            store = await stack.enter_async_context(serving(kv_store_app()))
            cfg = HostCfg(kv_store=store)
            first_engine = await stack.enter_async_context(serving(engine_app(cfg)))
            second_engine = await stack.enter_async_context(serving(engine_app(cfg)))
            ask = {"messages": MESSAGES, "max_tokens": 1, **PIECES}
            await call("POST", f"{first_engine}/v1/chat/completions", json=ask)

            async def move(url, step, root, key="aa"):
                wanted = {"root": root, "key": key, "tokens": 3}
                return (await call("POST", f"{url}/kv/{step}", json=wanted))[0]

            assert await move(second_engine, "import", "root") == 404
            assert await move(first_engine, "export", "other") == 409
            assert await move(first_engine, "export", "root", key="bb") == 404
            assert await move(first_engine, "export", "root") == 200
            assert await move(second_engine, "import", "other") == 409
            assert (await call("GET", f"{store}/kv/other/aa"))[0] == 409
            assert await move(second_engine, "import", "root") == 200
            _, snapshot = await call("GET", f"{second_engine}/cache/snapshot")
            assert snapshot["keys"] == ["aa"]

    run(scenario)


def test_cache_events_reach_a_subscriber_after_the_delay():
    async def scenario():
        cfg = HostCfg(feed=FeedCfg(delay_s=0.1))
        async with serving(engine_app(cfg)) as url, aiosonic.HTTPClient() as client:
            events = await client.request(f"{url}/cache/events", stream=True)
            lines = events.iter_lines()
            assert (await anext(lines)).startswith(":")
            ask = {"messages": MESSAGES, "max_tokens": 1, **PIECES}
            await call("POST", f"{url}/v1/chat/completions", json=ask)
            while not (line := await anext(lines)).startswith("data:"):
                continue
            event = json.loads(line[5:])
            _, snapshot = await call("GET", f"{url}/cache/snapshot")
            assert (event["stored"], event["seq"]) == (["aa"], snapshot["seq"])
            assert event["incarnation"] == snapshot["incarnation"]
            await events.aclose()

    run(scenario)


def test_new_weights_change_the_health_and_empty_the_cache():
    async def scenario():
        async with serving(engine_app(HostCfg(load_s=0.01))) as url:
            ask = {"messages": MESSAGES, "max_tokens": 1, **PIECES}
            await call("POST", f"{url}/v1/chat/completions", json=ask)
            order = {"number": 1, "kind": "load_weights", "model": "m", "version": "2"}
            status, _ = await call("POST", f"{url}/orders", json=order)
            _, health = await call("GET", f"{url}/health")
            _, snapshot = await call("GET", f"{url}/cache/snapshot")
            assert (status, health["weights_version"]) == (200, "2")
            assert snapshot["keys"] == []

    run(scenario)


def test_the_service_records_each_run():
    async def scenario():
        async with serving(service_app()) as url:
            for attempt in ("0", "1"):
                headers = {"x-request-id": "b1", "x-attempt": attempt}
                await call("POST", f"{url}/bids", json={"lot": 7}, headers=headers)
            _, record = await call("GET", f"{url}/record")
        first, second = record["runs"]
        assert [first["attempt"], second["attempt"]] == ["0", "1"]
        assert first["body_digest"] == second["body_digest"]

    run(scenario)


@pytest.mark.parametrize("app", ["engine", "service", "kv-store", "weight-store"])
def test_each_app_runs_as_a_process_and_ends_when_asked(app, tmp_path):
    port_file = tmp_path / "port"
    argv = [sys.executable, "-m", "gooseberrydale.example", app]
    process = subprocess.Popen([*argv, "--port-file", str(port_file)])
    try:
        end = time.monotonic() + TIMEOUT_S
        while not port_file.exists() and time.monotonic() < end:
            time.sleep(POLL_INTERVAL_S)
        port = int(port_file.read_text())
        path = "health" if app in ("engine", "service") else "record"
        status, _ = asyncio.run(call("GET", f"http://127.0.0.1:{port}/{path}"))
        assert status == 200
        os.kill(process.pid, signal.SIGTERM)
        assert process.wait(TIMEOUT_S) == 0
    finally:
        process.kill()
