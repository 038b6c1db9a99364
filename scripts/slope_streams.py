"""Print processor time and memory of entry and sidecar by running streams.

Streams run at 70 ms a token through one entry, one sidecar and one engine that has
capacity for all of them; callers send the next request as soon as an answer ends.  The
engine emits the tokens of all streams at the same time, which costs less than the
unsynchronised steps of many engines would.  Run it from the root: PYTHONPATH=. python
scripts/slope_streams.py
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
from dataclasses import dataclass

import aiosonic
import msgspec
from aiosonic.connectors import TCPConnector
from aiosonic.pools import PoolConfig

from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace
from measure.fit import fit
from measure.subject import Usage, measure_usage
from measure.workload import text
from tests.fleet import Fleet, UpstreamSpec, key_digest

STREAMS = (25, 50, 100, 200)
ROLES = {"entry": "entry-1", "sidecar": "sidecar-1"}
WARM_UP_S = 4.0
WINDOW_S = 6.0
ENGINE_SLOTS = 512
GUIDE_TOKENS = 4_000
LOT_TOKENS = 2_000
KEY = "key-of-streams"
MODEL = "example"
FLAGS = (
    "--prefill-tps",
    "10000000",
    "--decode-s",
    "0.07",
    "--max-batch",
    str(ENGINE_SLOTS),
)


@dataclass(slots=True)
class CallerCounts:
    """Counts of what the callers have received."""

    events: int = 0
    answers: int = 0
    refused: int = 0


def make_fleet(folder: pathlib.Path) -> Fleet:
    """Return a fleet with one process of each role and an engine."""
    fleet = Fleet(folder, ("zone-1",))
    # Settings files list all replicas and entries, so set these names before any
    # settings file is written.
    fleet.controls = ["control-1"]
    fleet.add_entries(1)
    fleet.add_controls(1)
    settings: dict[str, object] = {
        "max_running": ENGINE_SLOTS,
        "max_queued": ENGINE_SLOTS,
    }
    spec = UpstreamSpec("1", "engines", model=MODEL, flags=FLAGS, settings=settings)
    fleet.add_upstream(spec)
    return fleet


def declare(fleet: Fleet) -> None:
    """Declare the profile and the workspace; wait until the fleet is ready."""
    profile = Profile("answers", ProfileKind.COMPLETION, "engines", MODEL)
    workspace = Workspace("streams", key_digests=(key_digest(KEY),))
    fleet.declare((profile,), (workspace,))
    fleet.wait_ready(1)


async def send_repeatedly(
    client: aiosonic.HTTPClient, url: str, number: int, count: CallerCounts
) -> None:
    """Send the same prompt again and again until a request is refused."""
    messages = [
        {"role": "system", "content": text("guide", GUIDE_TOKENS)},
        {"role": "user", "content": text(f"lot/{number}", LOT_TOKENS)},
    ]
    body = msgspec.json.encode(
        {"model": "answers", "messages": messages, "stream": True}
    )
    headers = {"content-type": "application/json", "authorization": f"Bearer {KEY}"}
    while True:
        reply = await client.request(
            url, method="POST", data=body, headers=headers, stream=True
        )
        if reply.status_code != 200:
            count.refused += 1
            return
        async for line in reply.iter_lines():
            count.events += line.startswith("data:")
        count.answers += 1


async def measure_point(fleet: Fleet, streams: int) -> tuple[list[Usage], CallerCounts]:
    """Keep ``streams`` streams running and measure both processes."""
    client = aiosonic.HTTPClient(
        TCPConnector({":default": PoolConfig(size=2 * streams)})
    )
    url = f"{fleet.entry_url('entry-1')}/v1/chat/completions"
    count = CallerCounts()
    tasks = [
        asyncio.create_task(send_repeatedly(client, url, number, count))
        for number in range(streams)
    ]
    await asyncio.sleep(WARM_UP_S)
    count.events = count.answers = 0
    pids = [fleet.processes[name].pid for name in ROLES.values()]
    usages = await asyncio.gather(*(measure_usage(pid, WINDOW_S) for pid in pids))
    counted = CallerCounts(count.events, count.answers, count.refused)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await client.connector.cleanup()
    return list(usages), counted


def run(fleet: Fleet, sizes: tuple[int, ...]) -> None:
    """Measure all sizes and print the fitted lines."""
    points = []
    for streams in sizes:
        usages, counted = asyncio.run(measure_point(fleet, streams))
        if counted.refused:
            raise SystemExit(f"{counted.refused} of {streams} streams were refused")
        points.append((usages, counted))
        per_role = ", ".join(
            f"{role} {usage.cpu * 1e3:.0f} ms/s {usage.rss_mb:.1f} MB"
            for role, usage in zip(ROLES, usages)
        )
        print(
            f"{streams} streams: {counted.events / WINDOW_S:.0f} events/s,"
            f" {counted.answers / WINDOW_S:.1f} answers/s; {per_role}",
            flush=True,
        )
    events = [counted.events / WINDOW_S for _, counted in points]
    for number, role in enumerate(ROLES):
        cpu = fit(events, [usages[number].cpu * 1e3 for usages, _ in points])
        rss = fit(
            [float(size) for size in sizes],
            [usages[number].rss_mb * 1e3 for usages, _ in points],
        )
        print(
            f"{role}: {cpu.slope:.4g} ms an event including its share of a request"
            f" ({cpu.low:.4g} to {cpu.high:.4g}), R² {cpu.r2:.3f};"
            f" {rss.slope:.4g} kB a stream ({rss.low:.4g} to {rss.high:.4g}),"
            f" R² {rss.r2:.3f}"
        )
    print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")


def main(sizes: tuple[int, ...] = STREAMS) -> None:
    """Start the processes, measure, and stop them."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = make_fleet(pathlib.Path(folder, "site"))
        try:
            fleet.start()
            declare(fleet)
            run(fleet, sizes)
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
