"""Print the resident memory of an entry while it receives many configurations.

A simulated peer sends it revisions with 1,800 workspaces.  Run it from the root:
PYTHONPATH=. python scripts/measure_changes.py [REVISIONS_A_SECOND SECONDS]
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import tempfile
from dataclasses import replace

import psutil

from gooseberrydale.connection.mesh import ENTRY_ROLE
from measure.fake_peers import Peers, make_config
from measure.subject import MB, Subject

WORKSPACES = 1_800
PROFILES = 9
SAMPLE_S = 10.0


async def watch(subject: Subject, rate: float, seconds: float) -> None:
    """Offer ``rate`` revisions a second and print the memory every ``SAMPLE_S``."""
    process = psutil.Process(subject.fleet.processes[subject.name].pid)
    loop = asyncio.get_running_loop()
    base = make_config(1, WORKSPACES, PROFILES)
    async with Peers(1, ENTRY_ROLE, subject.address) as peers:
        ends_at = loop.time() + seconds
        sample_at = loop.time()
        revision = 0
        while loop.time() < ends_at:
            if loop.time() >= sample_at:
                print(revision, f"{process.memory_info().rss / MB:.1f} MB", flush=True)
                sample_at += SAMPLE_S
            revision += 1
            peers.all[0].store.offer(replace(base, revision=revision))
            await asyncio.sleep(1 / rate)
        print(revision, f"{process.memory_info().rss / MB:.1f} MB")


def main(rate: float = 10.0, seconds: float = 150.0) -> None:
    """Start an entry and measure it for ``seconds``."""
    with tempfile.TemporaryDirectory() as folder:
        with Subject("entry", pathlib.Path(folder, "site")) as subject:
            asyncio.run(watch(subject, rate, seconds))


if __name__ == "__main__":
    main(*map(float, sys.argv[1:]))
