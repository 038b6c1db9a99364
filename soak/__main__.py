"""Runs seeds of the soak: ``python -m soak --seeds 5``, or ``--seed 17`` alone.

Without ``--seed`` the seeds are fresh.  ``--known`` runs those that ever failed, which
``known_seeds.toml`` lists with their causes.  Folders of failed seeds are kept.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import shutil
import sys
import tempfile
import tomllib

import fire

from soak.field import Field
from soak.plan import Fault, make_plan
from soak.promises import Callers, broken_promises
from tests.callers import Load

KNOWN = pathlib.Path(__file__).parent / "known_seeds.toml"
CALLERS = 4
SECONDS = 20.0
MAX_SEED = 1_000_000


def play(seed: int, seconds: float, folder: pathlib.Path) -> list[str]:
    """Play one seed; return the promises that it broke."""
    load = Load()
    field = Field(folder, load)
    try:
        targets = field.start()
        plan = make_plan(seed, targets, seconds)
        urls = [field.fleet.entry_url(name) for name in field.fleet.entries]
        callers = Callers(urls, seed, CALLERS)
        sending = load.start(callers.run())
        load.run(_carry_out(field, plan))
        callers.stop()
        sending.result(10 * seconds + 120.0)
        print(f"seed {seed}: {len(plan)} faults, {callers.sent.summary()}", flush=True)
        return broken_promises(field, callers.sent)
    finally:
        field.close()
        load.close()


async def _carry_out(field: Field, plan: tuple[Fault, ...]) -> None:
    """Begin each fault at its time; they overlap."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    running = []
    for fault in plan:
        await asyncio.sleep(max(0.0, began + fault.at_s - loop.time()))
        running.append(asyncio.create_task(field.carry_out(fault)))
    await asyncio.gather(*running)


def known_seeds() -> list[int]:
    """Seeds that ever failed."""
    found = tomllib.loads(KNOWN.read_text())
    return [int(one["seed"]) for one in found.get("seeds", ())]


def soak(
    seeds: int = 1, seed: int = -1, seconds: float = SECONDS, known: bool = False
) -> None:
    """Play seeds one after the other; exit with 1 if a promise was broken."""
    chosen = known_seeds() if known else [seed]
    if not known and seed < 0:
        chosen = [random.SystemRandom().randrange(MAX_SEED) for _ in range(seeds)]
    failed = 0
    for number in chosen:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        broken = play(number, seconds, folder)
        for line in broken:
            print(f"seed {number}: BROKEN: {line}", flush=True)
        if broken:
            failed += 1
            print(f"seed {number}: logs are in {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    print(f"{len(chosen) - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
