"""An entry, real sidecars and example upstreams in one process, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

import httpx2
import openai
import pytest

from gooseberrydale.example.app_server import AppServer
from gooseberrydale.example.engine_app import engine_app
from gooseberrydale.example.engine_host import HostCfg
from gooseberrydale.example.service_app import service_app
from gooseberrydale.process.cfg import Cfg, FleetCfg, NodeCfg, SidecarCfg
from gooseberrydale.process.entry import Entry
from gooseberrydale.process.sidecar import Sidecar
from gooseberrydale.version.claims import ClaimTable
from tests.builders_claims import FakeControl
from tests.builders_entry import (
    KEY_A,
    ask,
    make_cfg,
    make_config,
    openai_client,
    read_stream,
    run,
    running,
    wait_until,
)

SERVICE_TIME_S = 0.8


@contextlib.asynccontextmanager
async def announced_upstream(
    entry: Entry, name: str, app: Any, pool: str
) -> AsyncIterator[Any]:
    """Run ``app`` with a sidecar that announces it to ``entry``; yield its server."""
    upstream = AppServer(app)
    await upstream.start()
    kind = "completion" if pool == "summary" else "service"
    token_file = make_cfg().fleet.token_file
    cfg = Cfg(
        node=NodeCfg(name),
        fleet=FleetCfg(token_file, entries=(entry.addresses["rpc"],)),
        sidecar=SidecarCfg(
            upstream.url, pool, kind, rpc="127.0.0.1:0", drain_s=1.0, model="m1"
        ),
    )
    sidecar = Sidecar(cfg)
    await sidecar.start()
    try:
        yield upstream
    finally:
        await sidecar.close()
        await upstream.close()


def has_ready_upstreams(entry: Entry, count: int) -> bool:
    now = asyncio.get_running_loop().time()
    return len([r for r in entry.directory.records(now) if r.ready]) == count


def test_answers_of_an_engine_reach_the_caller() -> None:
    async def scenario() -> None:
        app = engine_app(HostCfg(model="m1"))
        async with running() as entry, announced_upstream(entry, "u1", app, "summary"):
            await wait_until(lambda: has_ready_upstreams(entry, 1))
            async with openai_client(entry) as client:
                texts = [await read_stream(client, max_tokens=20) for _ in range(2)]
                unstreamed = await ask(client, max_tokens=20)
        assert (
            texts[0] and texts[0] == texts[1] == unstreamed.choices[0].message.content
        )
        assert unstreamed.model == "lots"

    run(scenario())


def test_bid_that_is_sent_repeatedly_runs_once_at_the_service() -> None:
    async def scenario() -> None:
        control = FakeControl(ClaimTable())
        await control.start()
        async with running(controls=(control.address,)) as entry:
            app = service_app(SERVICE_TIME_S)
            async with announced_upstream(entry, "s1", app, "bidding") as upstream:
                await wait_until(lambda: has_ready_upstreams(entry, 1))
                answers = await send_repeatedly(entry, 4)
                async with httpx2.AsyncClient() as client:
                    record = (await client.get(f"{upstream.url}/record")).json()
        await control.close()
        assert len(record["runs"]) == 1
        assert {answer.status_code for answer in answers} == {200}
        assert len({answer.content for answer in answers}) == 1

    run(scenario())


async def send_repeatedly(entry: Entry, count: int) -> list[httpx2.Response]:
    """Send one bid ``count`` times at once, and once more when it has finished."""
    headers = {"Authorization": f"Bearer {KEY_A}", "Idempotency-Key": "bid-1"}
    base = f"http://{entry.addresses['http']}"
    async with httpx2.AsyncClient(base_url=base, headers=headers, timeout=20) as client:
        path = "/services/bids/lots/42"
        bids = [client.post(path, content=b"9") for _ in range(count)]
        answers = list(await asyncio.gather(*bids))
        return [*answers, await client.post(path, content=b"9")]


def test_leaving_upstream_gets_no_new_work() -> None:
    async def scenario() -> None:
        app = engine_app(HostCfg(model="m1"))
        async with running() as entry, announced_upstream(entry, "u1", app, "summary"):
            await wait_until(lambda: has_ready_upstreams(entry, 1))
            leaving = replace(make_config(2), leaving=frozenset({"u1"}))
            entry.store.offer(leaving)
            async with openai_client(entry) as client:
                with pytest.raises(openai.APIStatusError) as caught:
                    await read_stream(client)
        refused = caught.value.response
        assert refused.status_code == 503 and "retry-after" in refused.headers

    run(scenario())
