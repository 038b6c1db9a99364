"""Measures the latency that the router adds to an answer.

One entry, one sidecar and one engine run.  Each round sends the same light load both
directly to the engine and through the router, in random order.  All of a prompt but its
question is cached, so that the engine contributes little to the latency.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace

import fire

from measure.client import Outcome, Target
from measure.deployments import FRASERLINE
from measure.direct import direct_body
from measure.figures import is_warm, percentiles
from measure.load import router_body_maker, run_load
from measure.report import commit_id
from measure.site import ENGINE_PROFILE, Site
from measure.workload import Shape

SHAPE = Shape(
    duration_s=8.0,
    warm_up_s=2.0,
    prompts_per_s=6.0,
    lots=1,
    hot_share=1.0,
    hot_lots=1,
    shift_s=8.0,
    calls_per_s=0.0,
)
SMALL = replace(
    FRASERLINE, zones=("zone-1",), engines=1, services=0, entries=1, shape=SHAPE
)
PATHS = ("direct", "router")


@dataclass(frozen=True, slots=True)
class Timing:
    """Medians of one run in seconds: time to first token, gap between chunks."""

    ttft_s: float
    gap_s: float


def main(runs: int = 5, seed: int = 1) -> None:
    """Print the medians with and without the router and their ratios."""
    print(overhead(runs, seed))


def overhead(runs: int, seed: int) -> str:
    """Measure ``runs`` times with and without the router; return the table."""
    commit_id()
    started_at = time.monotonic()
    timings: dict[str, list[Timing]] = {path: [] for path in PATHS}
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        site = Site(SMALL, pathlib.Path(folder, "site"))
        try:
            site.start()
            site.use_policy("affinity")
            for number in range(runs):
                for path in rng.sample(PATHS, len(PATHS)):
                    timings[path].append(_run_once(site, path, f"{seed}.{number}"))
        finally:
            site.close()
    return _section(timings, time.monotonic() - started_at)


def _run_once(site: Site, path: str, seed: str) -> Timing:
    target, body = site.target(), router_body_maker(ENGINE_PROFILE)
    if path == "direct":
        urls = tuple(site.fleet.upstream_url(name) for name in site.engines)
        target = Target(urls, "", "", (), direct=True)
        body = direct_body
    result = asyncio.run(run_load(SHAPE, seed, f"{seed}/{path}", target, body))
    whole = [a for a in result.answers if a.outcome is Outcome.WHOLE]
    if len(whole) != len(result.answers):
        raise SystemExit(f"{len(result.answers) - len(whole)} answers are incomplete")
    # Prompts of the warm-up are excluded: the engine computes their prefixes, so
    # their times show nothing about the router.
    warm = [a for a in whole if is_warm(a)]
    gaps = [gap for a in warm for gap in a.chunk_gaps]
    return Timing(percentiles([a.ttft_s for a in warm])[0], percentiles(gaps)[0])


def _section(timings: dict[str, list[Timing]], took_s: float) -> str:
    lines = [
        "### What the router adds\n",
        f"Commit {commit_id()}; {len(timings['direct'])} runs of {SHAPE.duration_s:g} s"
        f" each way; median of the runs' medians (least–greatest); took"
        f" {took_s:.0f} s in all; load average at the end {os.getloadavg()[0]:.1f} on"
        f" {os.cpu_count()} cores.\n",
        "| way | TTFT ms | between chunks ms |",
        "| --- | --- | --- |",
    ]
    for path, path_timings in timings.items():
        ttfts = _median_and_range([t.ttft_s for t in path_timings])
        gaps = _median_and_range([t.gap_s for t in path_timings])
        lines.append(f"| {path} | {ttfts} | {gaps} |")
    first, gap = _ratio(timings, "ttft_s"), _ratio(timings, "gap_s")
    lines.append(f"| router / direct | {first} | {gap} |")
    return "\n".join(lines) + "\n"


def _median_and_range(seconds: Sequence[float]) -> str:
    values = [statistics.median(seconds), min(seconds), max(seconds)]
    median, low, high = (f"{value * 1e3:.2f}" for value in values)
    return f"{median} ({low}–{high})"


def _ratio(timings: dict[str, list[Timing]], field: str) -> str:
    ratios = [
        getattr(routed, field) / getattr(direct, field)
        for direct, routed in zip(timings["direct"], timings["router"])
    ]
    median = statistics.median(ratios)
    return f"{median:.2f} ({min(ratios):.2f}–{max(ratios):.2f})"


if __name__ == "__main__":
    fire.Fire(main)
