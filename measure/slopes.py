"""Measures what each role spends per unit of its state and its work.

``python -m measure.slopes`` runs lone role processes at several sizes and fits a
straight line through processor time and memory.  Peers are stand-ins that speak the
mesh (see ``stand_ins``).  A unit with a rate, such as a change, gives processor
seconds per unit; a unit that is held, such as an upstream, gives processor seconds
a second per unit.  docs/CAPACITY.md multiplies these slopes by the planned size.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace

import fire

from gooseberrydale.connection.control_messages import ClaimReq, Holder
from gooseberrydale.connection.mesh import ENTRY_ROLE, SIDECAR_ROLE
from gooseberrydale.connection.rpc import PROPOSE, RpcChannel
from gooseberrydale.example.app_server import AppServer
from measure.fit import Line, fit
from measure.report import commit
from measure.stand_in_engine import EventSource
from measure.stand_ins import Peer, Peers, config
from measure.subject import Subject, Usage
from tests.fleet import FLEET_TOKEN, UPSTREAM_HTTP

SETTLE_S = 4.0
WINDOW_S = 8.0
RECORDS = 400
WORKSPACES = 1_800
PROFILES = 9
BLOCKS = 30_000
EVENTS_PER_S = 50

Trial = Callable[[Subject, int], Coroutine[None, None, Usage]]


@dataclass(frozen=True, slots=True)
class Experiment:
    """One unit of one role, the sizes to run, and how; a fresh process for each."""

    role: str
    unit: str
    sizes: tuple[int, ...]
    trial: Trial


async def records(subject: Subject, size: int) -> Usage:
    """Hold ``size`` upstreams, all told by one peer, which renews their leases."""
    async with Peers(1, ENTRY_ROLE, subject.address, size):
        return await _settled(subject)


async def copies(subject: Subject, size: int) -> Usage:
    """Hear the same 400 upstreams from ``size`` peers, one after another."""
    first = Peers(1, ENTRY_ROLE, subject.address, RECORDS, "first")
    async with first, Peers(size, ENTRY_ROLE, subject.address, prefix="other"):
        # The others get the records from the subject and so know them too.
        return await _settled(subject)


async def sessions(subject: Subject, size: int) -> Usage:
    """Serve ``size`` sidecars, each with its own upstream's record."""
    async with Peers(size, SIDECAR_ROLE, subject.address, 1):
        return await _settled(subject)


async def workspaces(subject: Subject, size: int) -> Usage:
    """Hold a configuration of ``size`` workspaces."""
    async with Peers(1, ENTRY_ROLE, subject.address) as peers:
        peers.all[0].store.offer(config(1, size, PROFILES))
        return await _settled(subject)


async def profiles(subject: Subject, size: int) -> Usage:
    """Hold a configuration of ``size`` profiles."""
    async with Peers(1, ENTRY_ROLE, subject.address) as peers:
        peers.all[0].store.offer(config(1, 8, size))
        return await _settled(subject)


async def changes(subject: Subject, size: int) -> Usage:
    """Take ``size`` revisions in ten seconds, each of 1,800 workspaces."""
    async with Peers(1, ENTRY_ROLE, subject.address) as peers:
        task = asyncio.create_task(_revise(peers.all[0], size / 10))
        try:
            return await _settled(subject)
        finally:
            task.cancel()


async def claims(subject: Subject, size: int) -> Usage:
    """Commit ``size`` claims a second."""
    channel = RpcChannel(subject.address, FLEET_TOKEN)
    task = asyncio.create_task(_claim(channel, size))
    try:
        return await _settled(subject)
    finally:
        task.cancel()
        await channel.close()


async def cache_events(subject: Subject, size: int) -> Usage:
    """Follow ``size`` cache events a second of a cache of 30,000 blocks."""
    return await _follow(subject, EventSource(size, BLOCKS))


async def cached_blocks(subject: Subject, size: int) -> Usage:
    """Know ``size`` cached blocks that come and go 50 a second."""
    return await _follow(subject, EventSource(EVENTS_PER_S, size))


async def _follow(subject: Subject, source: EventSource) -> Usage:
    server = AppServer(source.app(), subject.upstream_host, UPSTREAM_HTTP)
    await server.start()
    try:
        return await _settled(subject)
    finally:
        await server.close()


async def _settled(subject: Subject) -> Usage:
    await asyncio.sleep(SETTLE_S)
    return await subject.usage(WINDOW_S)


async def _revise(peer: Peer, rate: float) -> None:
    base = config(1, WORKSPACES, PROFILES)
    revision = 1
    while rate > 0:
        peer.store.offer(replace(base, revision=revision))
        revision += 1
        await asyncio.sleep(1 / rate)


async def _claim(channel: RpcChannel, rate: int) -> None:
    loop = asyncio.get_running_loop()
    holder = Holder("request", 0, "sidecar", "127.0.0.1:1", "1")
    due = loop.time()
    running: set[asyncio.Future[object]] = set()
    number = 0
    while rate > 0:
        due += 1 / rate
        await asyncio.sleep(due - loop.time())
        number += 1
        req = ClaimReq(f"w{number % 8}", f"key-{number}", b"digest", holder)
        call = asyncio.ensure_future(channel.call(PROPOSE, req, timeout_s=5.0))
        running.add(call)
        call.add_done_callback(running.discard)


EXPERIMENTS = (
    Experiment("entry", "upstream held", (0, 200, 400, 800), records),
    Experiment("entry", "peer that hears 400 upstreams", (0, 2, 4, 8), copies),
    Experiment("entry", "sidecar session", (0, 10, 20, 40), sessions),
    Experiment("entry", "workspace", (0, 900, 1_800, 3_600), workspaces),
    Experiment("entry", "profile", (0, 50, 100, 200), profiles),
    Experiment("entry", "change per 10 s, 1,800 workspaces", (0, 5, 10, 20), changes),
    Experiment("control", "upstream held", (0, 200, 400, 800), records),
    Experiment("control", "peer that hears 400 upstreams", (0, 10, 20, 40), copies),
    Experiment("control", "sidecar session", (0, 40, 80, 160), sessions),
    Experiment("control", "claim per second", (0, 25, 50, 100), claims),
    Experiment(
        "sidecar", "cache event per second", (0, 500, 1_000, 2_000), cache_events
    ),
    Experiment("sidecar", "cached block", (0, 10_000, 20_000, 40_000), cached_blocks),
)


def main(role: str = "", unit: str = "", repeats: int = 1) -> None:
    """Run the experiments (of one role or unit if given) and print the fits."""
    chosen = [e for e in EXPERIMENTS if role in e.role and unit in e.unit]
    began = time.monotonic()
    lines = [
        "| role | unit | sizes | CPU ms/s per unit | CPU fit R² | RSS kB per unit |"
        " RSS fit R² | at size 0: CPU ms/s, RSS MB |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for experiment in chosen:
        lines.append(_measure(experiment, repeats))
        print(lines[-1], flush=True)
    print(
        f"\nCommit {commit()}; slope (least–greatest with one point left out);"
        f" {WINDOW_S:g} s a point, {repeats} points a size; took"
        f" {time.monotonic() - began:.0f} s; load average at the end"
        f" {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores.\n"
    )
    print("\n".join(lines))


def _measure(experiment: Experiment, repeats: int) -> str:
    points = [
        (size, _run(experiment, size))
        for _ in range(repeats)
        for size in experiment.sizes
    ]
    xs = [float(size) for size, _ in points]
    cpu = fit(xs, [usage.cpu * 1e3 for _, usage in points])
    rss = fit(xs, [usage.rss_mb * 1e3 for _, usage in points])
    sizes = ", ".join(str(size) for size in experiment.sizes)
    return (
        f"| {experiment.role} | {experiment.unit} | {sizes} | {_shown(cpu)}"
        f" | {cpu.r2:.3f} | {_shown(rss)} | {rss.r2:.3f}"
        f" | {cpu.intercept:.1f}, {rss.intercept / 1e3:.1f} |"
    )


def _run(experiment: Experiment, size: int) -> Usage:
    with tempfile.TemporaryDirectory() as folder:
        with Subject(experiment.role, pathlib.Path(folder, "site")) as subject:
            return asyncio.run(experiment.trial(subject, size))


def _shown(line: Line) -> str:
    return f"{line.slope:.4g} ({line.low:.4g}–{line.high:.4g})"


if __name__ == "__main__":
    fire.Fire(main)
