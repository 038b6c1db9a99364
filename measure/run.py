"""Measures the product's policy beside baselines on the example deployments.

``python -m measure.run --deployment fraserline --runs 5`` starts the processes,
runs every policy once per round in random order, and prints tables.  ``--failure``
puts one failure into the middle of each run.  ``--direct`` leaves the router out
and spreads over the engines in turn; it proves the load and the figures.
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
from measure.figures import Figures, figures
from measure.load import Result, router_body, run_load
from measure.report import commit
from measure.site import ENGINE_PROFILE, Site
from measure.table import figures_table, sums_table

PRODUCT = "affinity"
BASELINES = ("random", "round-robin", "least-loaded", "hash-only")
POLICIES = (PRODUCT, *BASELINES)
FAILURES = ("none", "engine", "sidecar", "entry")
FAIL_AT = 0.5
SETTLE_S = 1.0


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
        raise SystemExit(f"--failure is one of {', '.join(FAILURES)}")
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
    """Run every policy under each kind of failure; return the tables.

    ``runs`` has the number of runs of each policy by kind of failure.
    """
    commit()
    parts = []
    with tempfile.TemporaryDirectory() as folder:
        site = Site(deployment, pathlib.Path(folder, "site"), direct=direct)
        try:
            site.start()
            for failure, rounds in runs.items():
                began = time.monotonic()
                found = _rounds(site, policies, rounds, failure, seed)
                took_s = time.monotonic() - began
                parts.append(_section(deployment, failure, found, took_s))
        finally:
            site.close()
    return "\n".join(parts)


def with_overrides(
    deployment: Deployment, duration_s: float, prompts_per_s: float
) -> Deployment:
    """Return the deployment with another length or rate of its load; 0 keeps it."""
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


def _rounds(
    site: Site, names: Sequence[str], runs: int, failure: str, seed: int
) -> dict[str, list[Figures]]:
    found: dict[str, list[Figures]] = {name: [] for name in names}
    rng = random.Random(seed)
    for number in range(runs):
        # The same load for each policy of a round; in random order, so that none
        # always runs after another.
        for policy in rng.sample(list(names), len(names)):
            one = _one_run(site, policy, f"{seed}.{number}", failure)
            found[policy].append(one)
            _keep(site.deployment.name, failure, policy, one)
    return found


def _one_run(site: Site, policy: str, seed: str, failure: str) -> Figures:
    if not site.direct:
        site.restore()
        site.use_policy(policy)
    site.new_records()
    # The policy salts the texts: a run must not find the cache of the one before.
    salt = f"{seed}/{policy}"
    result = asyncio.run(_load_with_failure(site, seed, salt, failure))
    time.sleep(SETTLE_S)
    engines, services = site.new_records()
    deployment = site.deployment
    memory = deployment.cache_tokens * deployment.engines
    return figures(result, memory, CACHE_TTL_S, engines, services)


async def _load_with_failure(site: Site, seed: str, salt: str, failure: str) -> Result:
    shape = site.deployment.shape
    body = direct_body if site.direct else router_body(ENGINE_PROFILE)
    load = asyncio.create_task(run_load(shape, seed, salt, site.target(), body))
    if failure != "none":
        await asyncio.sleep(shape.duration_s * FAIL_AT)
        names = {"engine": "upstream-engine-1", "sidecar": "sidecar-engine-1"}
        name = names.get(failure) or site.fleet.entries[0]
        site.fleet.processes[name].kill()
    return await load


def _keep(deployment: str, failure: str, policy: str, one: Figures) -> None:
    head = {"deployment": deployment, "failure": failure, "policy": policy}
    print(json.dumps(head | asdict(one)), file=sys.stderr, flush=True)


def _section(
    deployment: Deployment,
    failure: str,
    found: dict[str, list[Figures]],
    took_s: float,
) -> str:
    runs = max(len(values) for values in found.values())
    shape = deployment.shape
    return (
        f"### {deployment.name}, failure: {failure}\n\n"
        f"Commit {commit()}; {runs} runs of {shape.duration_s:g} s for each policy, the"
        f" first {shape.warm_up_s:g} s not counted in the first table,"
        f" {shape.prompts_per_s:g} prompts/s; median (least–greatest); took"
        f" {took_s:.0f} s in all; load average at the end {os.getloadavg()[0]:.1f}"
        f" on {os.cpu_count()} cores.\n\n"
        f"{figures_table(found, PRODUCT)}\n{sums_table(found)}"
    )


if __name__ == "__main__":
    fire.Fire(main)
