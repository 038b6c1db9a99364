"""Print what entry and sidecar spend while many streams run at 70 ms a token.

One entry, one sidecar and one engine that has room for all streams; callers ask anew
as soon as an answer ends.  All tokens of one step of the engine come at once, which
is kinder than the steps of many engines.  Run it from the root: PYTHONPATH=. python
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
WARM_S = 4.0
WINDOW_S = 6.0
ROOM = 512
GUIDE_TOKENS = 4_000
LOT_TOKENS = 2_000
KEY = "key-of-streams"
MODEL = "example"
FLAGS = ("--prefill-tps", "10000000", "--decode-s", "0.07", "--max-batch", str(ROOM))


@dataclass(slots=True)
class Count:
    """What the callers have got so far."""

    events: int = 0
    answers: int = 0
    bad: int = 0


def make_fleet(folder: pathlib.Path) -> Fleet:
    """Declare one process of each role and an engine."""
    fleet = Fleet(folder, ("zone-1",))
    # All settings list both, whichever is written first.
    fleet.controls = ["control-1"]
    fleet.add_entries(1)
    fleet.add_controls(1)
    settings: dict[str, object] = {
        "max_running": ROOM,
        "max_queued": ROOM,
    }
    spec = UpstreamSpec("1", "engines", model=MODEL, flags=FLAGS, settings=settings)
    fleet.add_upstream(spec)
    return fleet


def declare(fleet: Fleet) -> None:
    """Declare the profile and the workspace."""
    profile = Profile("answers", ProfileKind.COMPLETION, "engines", MODEL)
    workspace = Workspace("streams", key_digests=(key_digest(KEY),))
    fleet.declare((profile,), (workspace,))
    fleet.wait_ready(1)


async def ask_on(
    client: aiosonic.HTTPClient, url: str, number: int, count: Count
) -> None:
    """Ask one prompt after the other."""
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
            count.bad += 1
            return
        async for line in reply.iter_lines():
            count.events += line.startswith("data:")
        count.answers += 1


async def point(fleet: Fleet, streams: int) -> tuple[list[Usage], Count]:
    """Keep ``streams`` running and watch both processes."""
    client = aiosonic.HTTPClient(
        TCPConnector({":default": PoolConfig(size=2 * streams)})
    )
    url = f"{fleet.entry_url('entry-1')}/v1/chat/completions"
    count = Count()
    tasks = [
        asyncio.create_task(ask_on(client, url, number, count))
        for number in range(streams)
    ]
    await asyncio.sleep(WARM_S)
    count.events = count.answers = 0
    pids = [fleet.processes[name].pid for name in ROLES.values()]
    usages = await asyncio.gather(*(measure_usage(pid, WINDOW_S) for pid in pids))
    seen = Count(count.events, count.answers, count.bad)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await client.connector.cleanup()
    return list(usages), seen


def run(fleet: Fleet, sizes: tuple[int, ...]) -> None:
    """Measure all sizes and print the fits."""
    points = []
    for streams in sizes:
        usages, seen = asyncio.run(point(fleet, streams))
        if seen.bad:
            raise SystemExit(f"{seen.bad} of {streams} streams were refused")
        points.append((usages, seen))
        per_role = ", ".join(
            f"{role} {usage.cpu * 1e3:.0f} ms/s {usage.rss_mb:.1f} MB"
            for role, usage in zip(ROLES, usages)
        )
        print(
            f"{streams} streams: {seen.events / WINDOW_S:.0f} events/s,"
            f" {seen.answers / WINDOW_S:.1f} answers/s; {per_role}",
            flush=True,
        )
    events = [seen.events / WINDOW_S for _, seen in points]
    for number, role in enumerate(ROLES):
        cpu = fit(events, [usages[number].cpu * 1e3 for usages, _ in points])
        rss = fit(
            [float(size) for size in sizes],
            [usages[number].rss_mb * 1e3 for usages, _ in points],
        )
        print(
            f"{role}: {cpu.slope:.4g} ms an event with its share of a request"
            f" ({cpu.low:.4g} to {cpu.high:.4g}), R² {cpu.r2:.3f};"
            f" {rss.slope:.4g} kB a stream ({rss.low:.4g} to {rss.high:.4g}),"
            f" R² {rss.r2:.3f}"
        )
    print(f"load average {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores")


def main(sizes: tuple[int, ...] = STREAMS) -> None:
    """Start the processes and measure."""
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
