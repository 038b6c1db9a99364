"""Measures what the router adds to an answer: the same engine with and without it.

One entry, one sidecar and one engine; each round runs the same light load directly
against the engine and through the router, in random order.  The prompts are cached
but for their questions, so that the engine's own part is small.
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
from measure.load import router_body, run_load
from measure.report import commit
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
WAYS = ("direct", "router")


@dataclass(frozen=True, slots=True)
class Timing:
    """Medians of one run in seconds: first token, gap between chunks."""

    first_s: float
    gap_s: float


def main(runs: int = 5, seed: int = 1) -> None:
    """Print the medians of both ways and their ratio."""
    print(overhead(runs, seed))


def overhead(runs: int, seed: int) -> str:
    """Run both ways ``runs`` times each; return the table."""
    commit()
    began = time.monotonic()
    found: dict[str, list[Timing]] = {way: [] for way in WAYS}
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        site = Site(SMALL, pathlib.Path(folder, "site"))
        try:
            site.start()
            site.use_policy("affinity")
            for number in range(runs):
                for way in rng.sample(WAYS, len(WAYS)):
                    found[way].append(_one_run(site, way, f"{seed}.{number}"))
        finally:
            site.close()
    return _section(found, time.monotonic() - began)


def _one_run(site: Site, way: str, seed: str) -> Timing:
    target, body = site.target(), router_body(ENGINE_PROFILE)
    if way == "direct":
        urls = tuple(site.fleet.upstream_url(name) for name in site.engines)
        target = Target(urls, "", "", (), direct=True)
        body = direct_body
    result = asyncio.run(run_load(SHAPE, seed, f"{seed}/{way}", target, body))
    whole = [a for a in result.answers if a.outcome is Outcome.WHOLE]
    if len(whole) != len(result.answers):
        raise SystemExit(f"{len(result.answers) - len(whole)} answers are not whole")
    # The first prompts compute the guide and lot; they say nothing of the router.
    warm = [a for a in whole if is_warm(a)]
    gaps = [gap for a in warm for gap in a.chunk_gaps]
    return Timing(percentiles([a.first_s for a in warm])[0], percentiles(gaps)[0])


def _section(found: dict[str, list[Timing]], took_s: float) -> str:
    lines = [
        "### What the router adds\n",
        f"Commit {commit()}; {len(found['direct'])} runs of {SHAPE.duration_s:g} s"
        f" each way; median of the runs' medians (least–greatest); took"
        f" {took_s:.0f} s in all; load average at the end {os.getloadavg()[0]:.1f} on"
        f" {os.cpu_count()} cores.\n",
        "| way | TTFT ms | between chunks ms |",
        "| --- | --- | --- |",
    ]
    for way, timings in found.items():
        firsts = _spread([t.first_s for t in timings])
        gaps = _spread([t.gap_s for t in timings])
        lines.append(f"| {way} | {firsts} | {gaps} |")
    first, gap = _ratio(found, "first_s"), _ratio(found, "gap_s")
    lines.append(f"| router / direct | {first} | {gap} |")
    return "\n".join(lines) + "\n"


def _spread(seconds: Sequence[float]) -> str:
    shown = [statistics.median(seconds), min(seconds), max(seconds)]
    middle, low, high = (f"{value * 1e3:.2f}" for value in shown)
    return f"{middle} ({low}–{high})"


def _ratio(found: dict[str, list[Timing]], field: str) -> str:
    ratios = [
        getattr(routed, field) / getattr(direct, field)
        for direct, routed in zip(found["direct"], found["router"])
    ]
    middle = statistics.median(ratios)
    return f"{middle:.2f} ({min(ratios):.2f}–{max(ratios):.2f})"


if __name__ == "__main__":
    fire.Fire(main)
