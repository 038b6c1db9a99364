"""Runs the soak test with given or random seeds.

``python -m soak --seeds 5`` runs five random seeds, ``--seed 17`` only that one.
``--known`` runs all seeds that ever failed; ``known_seeds.toml`` lists them with their
causes.  The log folder of a seed that fails is retained.  ``--gateways`` runs gateways
and callers that compete instead of entries and sidecars, ``--controls`` gateways while
all control replicas are replaced.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import shutil
import sys
import tempfile
import tomllib
from functools import partial
from typing import Protocol

import fire

from soak.competition import CompetingCallers, find_broken_promises
from soak.environment import Environment
from soak.gateway_environment import GATEWAYS, GatewayEnvironment
from soak.guarantees import Callers, find_violations
from soak.plan import Fault, add_endless_answers, make_plan
from soak.replaced_controls import run_controls_seed
from tests.callers import BackgroundLoop

KNOWN_SEEDS_PATH = pathlib.Path(__file__).parent / "known_seeds.toml"
CALLER_COUNT = 4
DEFAULT_SECONDS = 20.0
MAX_SEED = 1_000_000


def run_seed(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Run one seed; return the violated guarantees."""
    load = BackgroundLoop()
    environment = Environment(folder, load)
    try:
        targets = environment.start()
        plan = make_plan(seed, targets, seconds)
        urls = [environment.fleet.entry_url(name) for name in environment.fleet.entries]
        callers = Callers(urls, seed, CALLER_COUNT)
        sending = load.start(callers.run())
        load.run(_inject_all(environment, plan))
        callers.stop()
        sending.result(10 * seconds + 120.0)
        print(f"seed {seed}: {len(plan)} faults, {callers.sent.summary()}", flush=True)
        return find_violations(environment, callers.sent)
    finally:
        environment.close()
        load.close()


def run_gateway_seed(
    seed: int, seconds: float, folder: pathlib.Path, endless: bool = True
) -> list[str]:
    """Run one seed with gateways and callers that compete; return broken promises.

    With ``endless``, upstreams also answer without end at times.
    """
    load = BackgroundLoop()
    environment = GatewayEnvironment(folder, load)
    try:
        targets = environment.start()
        plan = make_plan(seed, targets, seconds)
        if endless:
            plan = add_endless_answers(plan, seed, targets.upstreams, seconds)
        callers = CompetingCallers(environment.urls, seed, environment.workspaces)
        environment.use(callers)
        sending = load.start(callers.run())
        load.run(_inject_all(environment, plan))
        callers.stop()
        sending.result(120.0)
        print(f"seed {seed}: {len(plan)} faults, {callers.summary()}", flush=True)
        broken = find_broken_promises(callers.calls, environment.upstreams)
        return [*broken, *environment.find_faults()]
    finally:
        environment.close()
        load.close()


class _Injector(Protocol):
    async def inject(self, fault: Fault) -> None: ...


async def _inject_all(environment: _Injector, plan: tuple[Fault, ...]) -> None:
    """Inject each fault at its start time; faults may overlap."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    running = []
    for fault in plan:
        await asyncio.sleep(max(0.0, started_at + fault.start_s - loop.time()))
        running.append(asyncio.create_task(environment.inject(fault)))
    await asyncio.gather(*running)


def known_seeds(
    gateways: bool = False, endless: bool = False, controls: bool = False
) -> list[int]:
    """Return the seeds that ever failed, with gateways, with entries, or with
    ``controls`` that are replaced.

    With ``endless``, only those with upstreams that answered without end.
    """
    table = tomllib.loads(KNOWN_SEEDS_PATH.read_text())
    return [
        int(entry["seed"])
        for entry in table.get("seeds", ())
        if entry.get("gateways", False) == gateways
        and entry.get("controls", False) == controls
        and (entry.get("endless", False) or not endless)
    ]


def soak(
    seeds: int = 1,
    seed: int = -1,
    seconds: float = DEFAULT_SECONDS,
    known: bool = False,
    gateways: bool = False,
    controls: bool = False,
    size: int = GATEWAYS,
) -> None:
    """Run seeds one after the other; exit with 1 if a guarantee was violated.

    With ``gateways``, callers of several workspaces and ranks compete for upstreams;
    with ``controls``, all control replicas are replaced beside ``size`` gateways.
    """
    chosen = known_seeds(gateways, controls=controls) if known else [seed]
    if not known and seed < 0:
        chosen = [random.SystemRandom().randrange(MAX_SEED) for _ in range(seeds)]
    failed = 0
    for number in chosen:
        run = run_seed
        if gateways:
            # Known seeds keep the faults with which they failed.
            endless = not known or number in known_seeds(gateways, endless=True)
            run = partial(run_gateway_seed, endless=endless)
        if controls:
            run = partial(run_controls_seed, gateways=size)
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        violations = run(number, seconds, folder)
        for line in violations:
            print(f"seed {number}: BROKEN: {line}", flush=True)
        if violations:
            failed += 1
            print(f"seed {number}: logs are in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{len(chosen) - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
