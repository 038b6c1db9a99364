"""Compares the placement policy of the product with baselines on example deployments.

``python -m measure.run --deployment fraserline --runs 5`` starts the processes,
runs every policy once per round in random order, and prints tables.  ``--failure``
injects one failure in the middle of each run.  ``--direct`` sends the load to the
engines in rotation, without the router, to check the load and the figures themselves.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from dataclasses import asdict, replace

import fire

from measure.deployments import CACHE_TTL_S, DEPLOYMENTS, Deployment
from measure.direct import direct_body
from measure.figures import Figures, compute_figures
from measure.load import LoadResult, router_body_maker, run_load
from measure.report import commit_id
from measure.site import ENGINE_PROFILE, Site
from measure.table import figures_table, totals_table

PRODUCT = "affinity"
BASELINES = ("random", "round-robin", "least-loaded", "hash-only")
POLICIES = (PRODUCT, *BASELINES)
FAILURES = ("none", "engine", "sidecar", "entry")
FAILURE_TIME_FRACTION = 0.5  # of the duration of a run
RECORD_DELAY_S = 1.0  # lets upstreams end their work before their records are read


def main(
    deployment: str = "fraserline",
    runs: int = 5,
    failure: str = "none",
    direct: bool = False,
    duration_s: float = 0.0,
    prompts_per_s: float = 0.0,
    policies: str = "",
    seed: int = 1,
) -> None:
    """Measure one deployment under one kind of failure, and print the tables."""
    if failure not in FAILURES:
        raise SystemExit(f"--failure must be one of {', '.join(FAILURES)}")
    chosen = with_overrides(DEPLOYMENTS[deployment], duration_s, prompts_per_s)
    names = policies.split(",") if policies else list(POLICIES)
    if direct:
        names = ["direct, in turn"]
        chosen = replace(chosen, shape=replace(chosen.shape, calls_per_s=0.0))
    print(measure(chosen, names, {failure: runs}, seed, direct=direct))


def measure(
    deployment: Deployment,
    policies: Sequence[str],
    runs: Mapping[str, int],
    seed: int,
    *,
    direct: bool = False,
) -> str:
    """Measure every policy under each kind of failure; return the tables.

    ``runs`` maps each kind of failure to the number of runs of each policy.
    """
    commit_id()
    sections = []
    with tempfile.TemporaryDirectory() as folder:
        site = Site(deployment, pathlib.Path(folder, "site"), direct=direct)
        try:
            site.start()
            for failure, rounds in runs.items():
                started_at = time.monotonic()
                policy_figures = _run_rounds(site, policies, rounds, failure, seed)
                took_s = time.monotonic() - started_at
                sections.append(_section(deployment, failure, policy_figures, took_s))
        finally:
            site.close()
    return "\n".join(sections)


def with_overrides(
    deployment: Deployment, duration_s: float, prompts_per_s: float
) -> Deployment:
    """Return the deployment with another duration or rate; 0 leaves it unchanged."""
    shape = deployment.shape
    if duration_s:
        scale = duration_s / shape.duration_s
        shape = replace(
            shape,
            duration_s=duration_s,
            warm_up_s=shape.warm_up_s * scale,
            shift_s=shape.shift_s * scale,
        )
    if prompts_per_s:
        shape = replace(shape, prompts_per_s=prompts_per_s)
    return replace(deployment, shape=shape)


def _run_rounds(
    site: Site, names: Sequence[str], runs: int, failure: str, seed: int
) -> dict[str, list[Figures]]:
    policy_figures: dict[str, list[Figures]] = {name: [] for name in names}
    rng = random.Random(seed)
    for number in range(runs):
        # All policies of a round get the same load.  Their order is random, so that no
        # policy always runs after the same other one.
        for policy in rng.sample(list(names), len(names)):
            run_figures = _run_once(site, policy, f"{seed}.{number}", failure)
            policy_figures[policy].append(run_figures)
            _print_figures(site.deployment.name, failure, policy, run_figures)
    return policy_figures


def _run_once(site: Site, policy: str, seed: str, failure: str) -> Figures:
    if not site.direct:
        site.restore()
        site.use_policy(policy)
    site.read_new_records()
    # The policy is part of the salt: a run must not use what the previous one cached.
    salt = f"{seed}/{policy}"
    result = asyncio.run(_load_with_failure(site, seed, salt, failure))
    time.sleep(RECORD_DELAY_S)
    engines, services = site.read_new_records()
    deployment = site.deployment
    memory = deployment.cache_tokens * deployment.engines
    return compute_figures(result, memory, CACHE_TTL_S, engines, services)


async def _load_with_failure(
    site: Site, seed: str, salt: str, failure: str
) -> LoadResult:
    shape = site.deployment.shape
    body = direct_body if site.direct else router_body_maker(ENGINE_PROFILE)
    load = asyncio.create_task(run_load(shape, seed, salt, site.target(), body))
    if failure != "none":
        await asyncio.sleep(shape.duration_s * FAILURE_TIME_FRACTION)
        names = {"engine": "upstream-engine-1", "sidecar": "sidecar-engine-1"}
        name = names.get(failure) or site.fleet.entries[0]
        site.fleet.processes[name].kill()
    return await load


def _print_figures(
    deployment: str, failure: str, policy: str, run_figures: Figures
) -> None:
    head = {"deployment": deployment, "failure": failure, "policy": policy}
    print(json.dumps(head | asdict(run_figures)), file=sys.stderr, flush=True)


def _section(
    deployment: Deployment,
    failure: str,
    policy_figures: dict[str, list[Figures]],
    took_s: float,
) -> str:
    runs = max(len(values) for values in policy_figures.values())
    shape = deployment.shape
    return (
        f"### {deployment.name}, failure: {failure}\n\n"
        f"Commit {commit_id()}; {runs} runs of {shape.duration_s:g} s for each policy,"
        f" the first {shape.warm_up_s:g} s not counted in the first table,"
        f" {shape.prompts_per_s:g} prompts/s; median (least–greatest); took"
        f" {took_s:.0f} s in all; load average at the end {os.getloadavg()[0]:.1f}"
        f" on {os.cpu_count()} cores.\n\n"
        f"{figures_table(policy_figures, PRODUCT)}\n{totals_table(policy_figures)}"
    )


if __name__ == "__main__":
    fire.Fire(main)
