"""Metrics: content of a scrape, and separate counts of two roles in one process."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import httpx2
import pytest
from starlette.requests import Request

from gooseberrydale.process.instruments import Level
from gooseberrydale.process.metrics import METRICS_PATH, Metrics
from gooseberrydale.process.observed_role import ObservedRole


def values(metrics: Metrics) -> dict[str, float]:
    """Map each sample's name and labels to its value."""
    lines = metrics.render().decode().splitlines()
    pairs = [line.rsplit(" ", 1) for line in lines if not line.startswith("#")]
    return {name: float(value) for name, value in pairs}


def test_scrape_contains_counters_tallies_and_levels_with_units() -> None:
    metrics = Metrics("entry", "entry-1", "west")
    instruments = metrics.instruments
    instruments.count_request("summaries", "ok")
    instruments.count_refusal("queue_full")
    instruments.observe_ttft("summaries", 0.3)
    instruments.tally.chunk_bytes += 70
    instruments.level.queue_wait = 1.5
    samples = values(metrics)
    prefix = "gooseberrydale_"
    first_token = f"{prefix}time_to_first_token_seconds"
    assert samples[f'{prefix}requests_total{{outcome="ok",profile="summaries"}}'] == 1
    assert samples[f'{prefix}refusals_total{{code="queue_full"}}'] == 1
    assert samples[f'{first_token}_bucket{{le="0.2",profile="summaries"}}'] == 0
    assert samples[f'{first_token}_bucket{{le="0.4",profile="summaries"}}'] == 1
    assert samples[f"{prefix}chunk_bytes_total"] == 70
    assert samples[f"{prefix}queue_wait_seconds"] == 1.5


def test_roles_of_one_process_count_separately() -> None:
    entry, sidecar = Metrics("entry", "e"), Metrics("sidecar", "s")
    entry.instruments.tally.chunks += 1
    assert values(entry)["gooseberrydale_chunks_total"] == 1
    assert values(sidecar)["gooseberrydale_chunks_total"] == 0


def test_route_answers_a_scrape_as_text() -> None:
    route = Metrics("control", "c").route()
    assert route.path == METRICS_PATH
    scope = {"type": "http", "method": "GET", "path": METRICS_PATH, "headers": []}
    answer = asyncio.run(route.endpoint(Request(scope)))
    assert answer.headers["content-type"].startswith("text/plain")
    assert b"gooseberrydale_term 0.0" in answer.body


class FakeRole(SimpleNamespace):
    """A role with one listener at a fixed address."""

    addresses = {"rpc": "127.0.0.1:1"}

    async def start(self) -> None: ...

    async def close(self) -> None: ...


async def scrape(role: Any, fallback: Metrics) -> str:
    """Start a role with a listener for scrapes, scrape it and close it."""
    observed = ObservedRole(role, fallback, "127.0.0.1:0")
    await observed.start()
    assert set(observed.addresses) == {"rpc", "metrics"}
    url = f"http://{observed.addresses['metrics']}{METRICS_PATH}"
    async with httpx2.AsyncClient(trust_env=False) as client:
        text = (await client.get(url)).text
    await observed.close()
    with pytest.raises(httpx2.ConnectError):
        httpx2.get(url, trust_env=False)
    return text


@pytest.mark.parametrize("has_metrics", [True, False])
def test_listener_serves_metrics_of_role_and_process(
    has_metrics: bool,
) -> None:
    own, fallback = Metrics("sidecar", "own"), Metrics("sidecar", "fallback")
    role = FakeRole(metrics=own) if has_metrics else FakeRole()
    text = asyncio.run(scrape(role, fallback))
    name = "own" if has_metrics else "fallback"
    assert f'service_instance_id="{name}"' in text
    assert "process_resident_memory_bytes" in text


def test_scrape_reads_the_current_levels_of_the_role() -> None:
    def read_levels(level: Level) -> None:
        level.queued += 3

    role = FakeRole(read_levels=read_levels)
    text = asyncio.run(scrape(role, Metrics("sidecar", "s")))
    assert "gooseberrydale_queued 3.0" in text
