"""Metrics: content of a scrape, and separate counts of two roles in one process."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import httpx2
import pytest
from starlette.requests import Request

import gooseberrydale.process.metrics
from gooseberrydale.process.capacity_levels import (
    MAX_UPSTREAM_SERIES,
    NeutralCapacityLevels,
    ReservationCounts,
)
from gooseberrydale.process.gateway.request_metrics import RecordedMetrics
from gooseberrydale.process.instruments import Level
from gooseberrydale.process.metrics import METRICS_PATH, Metrics
from gooseberrydale.process.observed_role import ObservedRole
from gooseberrydale.request.capacity_decision import CapacityCause
from tests.builders_capacity import SampleLevels


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


def test_scrapes_at_the_same_time_are_rendered_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against clients that keep a process busy with scrapes."""
    monkeypatch.setattr(gooseberrydale.process.metrics, "SHARED_S", 0.05)
    metrics = Metrics("control", "c")
    endpoint = metrics.route().endpoint
    rendered = 0

    def count(_: Level) -> None:
        nonlocal rendered
        rendered += 1

    metrics.before_scrape = count

    async def main() -> None:
        scope = {"type": "http", "method": "GET", "path": METRICS_PATH, "headers": []}
        for _ in range(2):
            for _ in range(3):
                await endpoint(Request(scope))
            await asyncio.sleep(0.1)

    asyncio.run(main())
    assert rendered == 2


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


def capacity_samples(metrics: Metrics) -> dict[str, float]:
    """Return the samples about capacity sharing."""
    names = ("waiting_req", "speed_f", "capacity_", "workspaces_over", "reservations")
    return {
        key.removeprefix("gooseberrydale_"): value
        for key, value in values(metrics).items()
        if key.startswith(tuple(f"gooseberrydale_{name}" for name in names))
    }


def test_scrape_reads_the_capacity_levels_that_were_set_last() -> None:
    """Guards against instruments that keep the neutral levels of the start."""
    metrics = Metrics("gateway", "g1")
    assert set(capacity_samples(metrics).values()) == {0.0}
    metrics.capacity_levels = SampleLevels()
    assert capacity_samples(metrics) == {
        'waiting_requests{rank="0"}': 2.0,
        'waiting_requests{rank="2"}': 7.0,
        'speed_factor{upstream="u1"}': 0.55,
        'capacity_limit{pool="engines"}': 1.25,
        'workspaces_over_share{pool="engines"}': 1.0,
        'reservations_total{outcome="asked"}': 9.0,
        'reservations_total{outcome="granted"}': 6.0,
        'reservations_total{outcome="refused"}': 2.0,
        'reservations_total{outcome="unanswered"}': 1.0,
    }


def test_neutral_levels_have_no_series_except_zero_counts() -> None:
    """Deployments that share no capacity get no series of ranks, pools or upstreams."""
    levels = NeutralCapacityLevels()
    assert not levels.waiting() and not levels.limits()
    assert not levels.speed_factors() and not levels.workspaces_over()
    assert levels.reservations() == ReservationCounts(0, 0, 0, 0)


def test_speeds_of_many_upstreams_share_a_bounded_number_of_series() -> None:
    """Guards against one series for each of hundreds of upstreams and gateways."""
    metrics = Metrics("gateway", "g1")
    extra = {"u-x": 0.5, "u-y": 1.5}
    factors = {f"u-{n:04}": 1.0 for n in range(MAX_UPSTREAM_SERIES)} | extra
    metrics.capacity_levels = SampleLevels(factors=factors)
    samples = capacity_samples(metrics)
    speeds = {key: v for key, v in samples.items() if key.startswith("speed_factor")}
    assert len(speeds) == MAX_UPSTREAM_SERIES + 1
    assert speeds['speed_factor{upstream="#others"}'] == 1.0


def test_refusals_for_lack_of_capacity_are_counted_by_reason_and_rank() -> None:
    metrics = Metrics("gateway", "g1")
    recorded = RecordedMetrics(metrics)
    recorded.no_capacity(CapacityCause.OVER_SHARE, 2)
    recorded.no_capacity(CapacityCause.OVER_SHARE, 2)
    samples = capacity_samples(metrics)
    name = 'capacity_refusals_total{rank="2",reason="over_share"}'
    assert samples[name] == 2.0
