"""Measures the CPU time that requests and tokens cost the entry and the sidecar.

``python -m measure.slopes_path`` runs one entry, one sidecar and one fast engine,
sends open-loop loads at several rates, and fits CPU seconds per unit.  Memory is not
fitted, as a request releases its memory when it ends.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import fire

from measure.client import Outcome
from measure.deployments import FRASERLINE
from measure.fit import fit
from measure.load import router_body_maker, run_load
from measure.report import commit_id
from measure.site import ENGINE_PROFILE, Site
from measure.subject import Usage, measure_usage
from measure.workload import Shape

ROLES = {"entry": "entry-1", "sidecar": "sidecar-engine-1"}
LOAD_S = 10.0
EDGE_TRIM_S = 1.0  # start and end of a load, in which CPU time is not measured
PROMPTS_PER_S = 10.0
# Fast enough that the engine never queues.  Its own CPU time is not measured.
FAST_ENGINE_FLAGS = (
    "--prefill-tps",
    "10000000",
    "--decode-s",
    "0.002",
    "--max-batch",
    "64",
)
BASE_SHAPE = Shape(
    duration_s=LOAD_S,
    prompts_per_s=PROMPTS_PER_S,
    guide_tokens=4_000,
    lot_tokens=2_000,
    lots=1,
    answer_tokens=1,
    calls_per_s=0.0,
)


@dataclass(frozen=True, slots=True)
class PathExperiment:
    """A unit, the sizes to measure, and the load and units per second of a size."""

    unit: str
    sizes: tuple[int, ...]
    shape: Callable[[int], Shape]
    units_per_s: Callable[[int], float]


EXPERIMENTS = (
    PathExperiment(
        "request of 6,000 tokens, 1 token out",
        (2, 5, 10, 20),
        lambda size: replace(BASE_SHAPE, prompts_per_s=size),
        float,
    ),
    PathExperiment(
        "token out",
        (1, 4, 8, 16),
        lambda size: replace(BASE_SHAPE, answer_tokens=size),
        lambda size: size * PROMPTS_PER_S,
    ),
    PathExperiment(
        # The engine may end an answer after 16 tokens, so the load is varied by the
        # number of requests.
        "request of 6,000 tokens, 16 tokens out",
        (5, 10, 20, 40),
        lambda size: replace(BASE_SHAPE, prompts_per_s=size, answer_tokens=16),
        float,
    ),
    PathExperiment(
        "1,000 tokens of prompt",
        (4, 8, 16, 32),
        lambda size: replace(BASE_SHAPE, guide_tokens=size * 1_000),
        lambda size: size * PROMPTS_PER_S,
    ),
)


def main(seed: int = 1, unit: str = "") -> None:
    """Run the experiments (of one unit if given) and print the fits."""
    commit_id()
    started_at = time.monotonic()
    deployment = replace(
        FRASERLINE, zones=("zone-1",), engines=1, services=0, entries=1
    )
    lines = [
        "| role | unit | sizes | CPU ms per unit | fit R² |",
        "| --- | --- | --- | --- | --- |",
    ]
    with tempfile.TemporaryDirectory() as folder:
        site = Site(
            deployment, pathlib.Path(folder, "site"), engine_flags=FAST_ENGINE_FLAGS
        )
        try:
            site.start()
            site.use_policy("affinity")
            for experiment in (e for e in EXPERIMENTS if unit in e.unit):
                lines += _measure(site, experiment, seed)
                print("\n".join(lines[-len(ROLES) :]), flush=True)
        finally:
            site.close()
    print(
        f"\nCommit {commit_id()}; slope (least–greatest with one point left out);"
        f" {LOAD_S - 2 * EDGE_TRIM_S:g} s a point;"
        f" took {time.monotonic() - started_at:.0f} s;"
        f" load average at the end {os.getloadavg()[0]:.1f} on {os.cpu_count()}"
        " cores.\n"
    )
    print("\n".join(lines))


def _measure(site: Site, experiment: PathExperiment, seed: int) -> list[str]:
    points = [
        asyncio.run(
            _measure_point(site, experiment.shape(size), f"{seed}/{experiment.unit}")
        )
        for size in experiment.sizes
    ]
    xs = [experiment.units_per_s(size) for size in experiment.sizes]
    sizes = ", ".join(str(size) for size in experiment.sizes)
    rows = []
    for number, role in enumerate(ROLES):
        line = fit(xs, [point[number].cpu * 1e3 for point in points])
        rows.append(
            f"| {role} | {experiment.unit} | {sizes}"
            f" | {line.slope:.4g} ({line.low:.4g}–{line.high:.4g}) | {line.r2:.3f} |"
        )
    return rows


async def _measure_point(site: Site, shape: Shape, seed: str) -> Sequence[Usage]:
    salt = f"{seed}/{shape}"
    body = router_body_maker(ENGINE_PROFILE)
    load = asyncio.create_task(run_load(shape, seed, salt, site.target(), body))
    await asyncio.sleep(EDGE_TRIM_S)
    pids = [site.fleet.processes[name].pid for name in ROLES.values()]
    usages = await asyncio.gather(
        *(measure_usage(pid, LOAD_S - 2 * EDGE_TRIM_S) for pid in pids)
    )
    result = await load
    incomplete = [a for a in result.answers if a.outcome is not Outcome.WHOLE]
    if incomplete:
        raise SystemExit(
            f"{len(incomplete)} answers are incomplete,"
            f" the first with code {incomplete[0].code!r}"
        )
    return usages


if __name__ == "__main__":
    fire.Fire(main)
