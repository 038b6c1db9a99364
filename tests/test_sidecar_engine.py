"""The sidecar in front of example engines: cache, KV store and orders."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import msgspec
import pytest

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.messages import Accepted, End
from gooseberrydale.connection.reply_limits import MAX_CONTENT_BYTES, MAX_ORDER_BYTES
from gooseberrydale.example.app_server import AppServer
from gooseberrydale.example.cache_feed import FeedCfg
from gooseberrydale.example.engine import EngineCfg
from gooseberrydale.example.engine_app import engine_app
from gooseberrydale.example.engine_host import HostCfg
from gooseberrydale.example.kv_store_app import kv_store_app
from gooseberrydale.request.prompt import prompt_pieces
from tests.sidecar_harness import SidecarHarness, read_frames, run, running_sidecar

GUIDE = "guide " * 4_000
FAST = EngineCfg(prefill_tps=8_000.0, decode_s=0.001)


@asynccontextmanager
async def served(app: Any) -> AsyncIterator[str]:
    """Serve an app; yield its base URL."""
    server = AppServer(app)
    await server.start()
    try:
        yield server.url
    finally:
        await server.close()


def question(number: int, workspace: str = "workspace-a") -> dict[str, Any]:
    """Fields of a dispatch whose prompt is the guide and one question."""
    messages = [
        {"role": "system", "content": GUIDE},
        {"role": "user", "content": f"question {number}"},
    ]
    body: dict[str, Any] = {"messages": messages, "stream": True, "max_tokens": 4}
    return {
        "request_id": f"req-{number}",
        "workspace": workspace,
        "body": msgspec.json.encode(body),
        "pieces": prompt_pieces("/v1/chat/completions", body),
    }


async def ask(
    harness: SidecarHarness, number: int, workspace: str = "workspace-a"
) -> int:
    """Ask a question; return how many prompt tokens the sidecar counted as cached."""
    frames = await read_frames(harness.dispatch(**question(number, workspace)))
    assert isinstance(frames[0], Accepted), frames[0]
    assert isinstance(frames[-1], End), frames[-1]
    return frames[0].cached_tokens


async def record_of(url: str) -> Any:
    """The record that the app at ``url`` keeps of its requests or pieces."""
    reply = await upstream_api.call(url, "GET", "/record", max_bytes=MAX_CONTENT_BYTES)
    return msgspec.json.decode(reply.body)


async def wait_until_cached(harness: SidecarHarness) -> None:
    """Wait until the sidecar has recorded a cached block."""
    while harness.sidecar.dispatcher.load().cached_blocks == 0:
        await asyncio.sleep(0.01)


FEEDS = {
    "late": FeedCfg(),
    "lossy": FeedCfg(drop_rate=0.4, repeat_rate=0.3, reorder_rate=0.3),
}


@pytest.mark.parametrize("feed", FEEDS)
def test_a_long_prefix_counts_as_cached_only_for_its_workspace(
    tmp_path: pathlib.Path, feed: str
) -> None:
    async def main() -> None:
        cfg = HostCfg(engine=FAST, feed=FEEDS[feed])
        async with (
            served(engine_app(cfg)) as url,
            running_sidecar(tmp_path, url) as harness,
        ):
            assert await ask(harness, 1) == 0
            await wait_until_cached(harness)
            assert await ask(harness, 2) > 5_000
            assert await ask(harness, 3, "workspace-b") == 0
            runs = (await record_of(url))["requests"]
            assert [run["cached_tokens"] > 5_000 for run in runs] == [
                False,
                True,
                False,
            ]

    run(main())


def test_new_weights_invalidate_the_cache(tmp_path: pathlib.Path) -> None:
    order = {"number": 1, "kind": "load_weights", "model": "example", "version": "2"}

    async def main() -> None:
        cfg = HostCfg(engine=FAST, load_s=0.01)
        async with (
            served(engine_app(cfg)) as url,
            running_sidecar(tmp_path, url) as harness,
        ):
            await ask(harness, 1)
            await wait_until_cached(harness)
            await upstream_api.call(
                url, "POST", "/orders", order, max_bytes=MAX_ORDER_BYTES
            )
            while harness.sidecar.upstream_state.weights_version != "2":
                await asyncio.sleep(0.01)
            assert await ask(harness, 2) == 0
            assert (await record_of(url))["requests"][1]["cached_tokens"] == 0

    run(main())


def test_a_repeated_prefix_is_imported_by_another_engine_from_the_kv_store(
    tmp_path: pathlib.Path,
) -> None:
    async def main() -> None:
        async with served(kv_store_app()) as store:
            cfg = HostCfg(engine=FAST, kv_store=store)
            async with (
                served(engine_app(cfg)) as first_url,
                served(engine_app(cfg)) as second_url,
                running_sidecar(tmp_path, first_url, kv_store=store) as first,
                running_sidecar(tmp_path, second_url, kv_store=store) as second,
            ):
                for number in (1, 2, 3):
                    await ask(first, number)
                while not await record_of(store):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.1)
                assert await ask(second, 4) > 2_000
                second_run = (await record_of(second_url))["requests"][0]
                assert second_run["cached_tokens"] > 2_000
                assert await ask(second, 5, "workspace-b") == 0

    run(main())
