"""Metrics: what a scrape reads, and that two roles in one process stay apart."""

from __future__ import annotations

import asyncio

from starlette.requests import Request

from gooseberrydale.process.metrics import METRICS_PATH, Metrics


def values(metrics: Metrics) -> dict[str, float]:
    """Map each sample's name and labels to its value."""
    lines = metrics.render().decode().splitlines()
    pairs = [line.rsplit(" ", 1) for line in lines if not line.startswith("#")]
    return {name: float(value) for name, value in pairs}


def test_a_scrape_reads_counters_tallies_and_levels_with_their_units() -> None:
    metrics = Metrics("entry", "entry-1", "west")
    instruments = metrics.instruments
    instruments.count_request("summaries", "ok")
    instruments.count_refusal("queue_full")
    instruments.observe_ttft("summaries", 0.3)
    instruments.tally.chunk_bytes += 70
    instruments.level.queue_wait = 1.5
    read = values(metrics)
    prefix = "gooseberrydale_"
    first_token = f"{prefix}time_to_first_token_seconds"
    assert read[f'{prefix}requests_total{{outcome="ok",profile="summaries"}}'] == 1
    assert read[f'{prefix}refusals_total{{code="queue_full"}}'] == 1
    assert read[f'{first_token}_bucket{{le="0.2",profile="summaries"}}'] == 0
    assert read[f'{first_token}_bucket{{le="0.4",profile="summaries"}}'] == 1
    assert read[f"{prefix}chunk_bytes_total"] == 70
    assert read[f"{prefix}queue_wait_seconds"] == 1.5


def test_two_roles_of_one_process_count_apart() -> None:
    entry, sidecar = Metrics("entry", "e"), Metrics("sidecar", "s")
    entry.instruments.tally.chunks += 1
    assert values(entry)["gooseberrydale_chunks_total"] == 1
    assert values(sidecar)["gooseberrydale_chunks_total"] == 0


def test_the_route_answers_a_scrape_as_text() -> None:
    route = Metrics("control", "c").route()
    assert route.path == METRICS_PATH
    scope = {"type": "http", "method": "GET", "path": METRICS_PATH, "headers": []}
    answer = asyncio.run(route.endpoint(Request(scope)))
    assert answer.headers["content-type"].startswith("text/plain")
    assert b"gooseberrydale_term 0.0" in answer.body
