"""Measures the CPU time and memory of each role per unit of its state and work.

``python -m measure.slopes`` runs single role processes at several sizes and fits
straight lines to their CPU time and memory.  Their peers are fakes that only use the
mesh protocol (see ``fake_peers``).  For a unit with a rate, such as a change, the slope
of the CPU time is CPU seconds per unit.  For a unit of state, such as an upstream, it
is CPU seconds per second and unit.  The memory of a rate is what has accumulated after
twelve seconds (SETTLE_S and MEASURE_WINDOW_S).  docs/CAPACITY.md multiplies the slopes
by the planned size.
"""

from __future__ import annotations

import asyncio
import itertools
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
from gooseberrydale.version.declarations import Workspace
from measure.fake_engine import EventSource
from measure.fake_peers import Peer, Peers, make_config
from measure.fit import Line, fit
from measure.report import commit_id
from measure.subject import Subject, Usage
from tests.fleet import FLEET_TOKEN, UPSTREAM_HTTP_PORT, key_digest

SETTLE_S = 4.0  # time for the process to reach a steady state before the window
MEASURE_WINDOW_S = 8.0
SHARED_RECORDS = 400
WORKSPACES = 1_800
PROFILES = 9
CACHED_BLOCKS = 30_000
EVENTS_PER_S = 50

Trial = Callable[[Subject, int], Coroutine[None, None, Usage]]


@dataclass(frozen=True, slots=True)
class Experiment:
    """A unit of one role, the sizes to measure, and the trial to run for each size.

    Each trial gets a new process.
    """

    role: str
    unit: str
    sizes: tuple[int, ...]
    trial: Trial


async def records(subject: Subject, size: int) -> Usage:
    """Store ``size`` upstreams, announced and renewed by one peer."""
    async with Peers(1, ENTRY_ROLE, subject.address, size):
        return await _settled_usage(subject)


async def repeated_records(subject: Subject, size: int) -> Usage:
    """Receive the same 400 upstreams from one peer, then from ``size`` others."""
    first = Peers(1, ENTRY_ROLE, subject.address, SHARED_RECORDS, "first")
    async with first, Peers(size, ENTRY_ROLE, subject.address, prefix="other"):
        # The others receive the records from the subject and then announce them too.
        return await _settled_usage(subject)


async def sessions(subject: Subject, size: int) -> Usage:
    """Serve ``size`` sidecars, each of which announces its own upstream."""
    async with Peers(size, SIDECAR_ROLE, subject.address, 1):
        return await _settled_usage(subject)


async def workspaces(subject: Subject, size: int) -> Usage:
    """Store a configuration of ``size`` workspaces."""
    async with Peers(1, ENTRY_ROLE, subject.address) as peers:
        peers.all[0].store.offer(make_config(1, size, PROFILES))
        return await _settled_usage(subject)


async def profiles(subject: Subject, size: int) -> Usage:
    """Store a configuration of ``size`` profiles."""
    async with Peers(1, ENTRY_ROLE, subject.address) as peers:
        peers.all[0].store.offer(make_config(1, 8, size))
        return await _settled_usage(subject)


async def changes(subject: Subject, size: int) -> Usage:
    """Receive ``size`` revisions per ten seconds, each of 1,800 workspaces."""
    async with Peers(1, ENTRY_ROLE, subject.address) as peers:
        task = asyncio.create_task(_send_revisions(peers.all[0], size / 10))
        try:
            return await _settled_usage(subject)
        finally:
            task.cancel()


async def declared_workspaces(subject: Subject, size: int) -> Usage:
    """Store ``size`` workspaces in the replicated state."""
    await _declare(subject, size, PROFILES)
    return await _settled_usage(subject)


async def declared_profiles(subject: Subject, size: int) -> Usage:
    """Store ``size`` profiles in the replicated state."""
    await _declare(subject, 8, size)
    return await _settled_usage(subject)


async def committed_changes(subject: Subject, size: int) -> Usage:
    """Commit ``size`` changes by operators per ten seconds, with 1,800 workspaces.

    Each change comes with a read of the whole configuration, as a careful operator
    makes it.
    """
    await _declare(subject, WORKSPACES, PROFILES)
    task = asyncio.create_task(_send_changes(subject, size / 10))
    try:
        return await _settled_usage(subject)
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def claims(subject: Subject, size: int) -> Usage:
    """Commit ``size`` claims per second."""
    channel = RpcChannel(subject.address, FLEET_TOKEN)
    task = asyncio.create_task(_send_claims(channel, size))
    try:
        return await _settled_usage(subject)
    finally:
        task.cancel()
        await channel.close()


async def cache_events(subject: Subject, size: int) -> Usage:
    """Follow ``size`` cache events per second of a cache of 30,000 blocks."""
    return await _serve_and_measure(subject, EventSource(size, CACHED_BLOCKS))


async def cached_blocks(subject: Subject, size: int) -> Usage:
    """Track ``size`` cached blocks, of which 50 are replaced per second."""
    return await _serve_and_measure(subject, EventSource(EVENTS_PER_S, size))


async def _serve_and_measure(subject: Subject, source: EventSource) -> Usage:
    server = AppServer(source.app(), subject.upstream_host, UPSTREAM_HTTP_PORT)
    await server.start()
    try:
        return await _settled_usage(subject)
    finally:
        await server.close()


async def _settled_usage(subject: Subject) -> Usage:
    await asyncio.sleep(SETTLE_S)
    return await subject.usage(MEASURE_WINDOW_S)


async def _send_revisions(peer: Peer, rate: float) -> None:
    base = make_config(1, WORKSPACES, PROFILES)
    revision = 1
    while rate > 0:
        peer.store.offer(replace(base, revision=revision))
        revision += 1
        await asyncio.sleep(1 / rate)


async def _declare(subject: Subject, workspace_count: int, profile_count: int) -> None:
    wanted = make_config(0, workspace_count, profile_count)
    await asyncio.to_thread(
        subject.fleet.declare,
        tuple(wanted.profiles.values()),
        tuple(wanted.workspaces.values()),
    )


async def _send_changes(subject: Subject, rate: float) -> None:
    loop = asyncio.get_running_loop()
    due = loop.time()
    for number in itertools.count():
        if rate <= 0:
            return
        due += 1 / rate
        await asyncio.sleep(due - loop.time())
        key = key_digest(f"changed-{number}")
        workspace = Workspace("workspace-0", key_digests=(key,))
        await asyncio.to_thread(subject.fleet.declare, (), (workspace,))


async def _send_claims(channel: RpcChannel, rate: int) -> None:
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
    Experiment(
        "entry", "peer that receives 400 upstreams", (0, 2, 4, 8), repeated_records
    ),
    Experiment("entry", "sidecar session", (0, 10, 20, 40), sessions),
    Experiment("entry", "workspace", (0, 900, 1_800, 3_600), workspaces),
    Experiment("entry", "profile", (0, 50, 100, 200), profiles),
    Experiment("entry", "change per 10 s, 1,800 workspaces", (0, 5, 10, 20), changes),
    Experiment("control", "upstream held", (0, 200, 400, 800), records),
    Experiment(
        "control", "peer that receives 400 upstreams", (0, 10, 20, 40), repeated_records
    ),
    Experiment("control", "sidecar session", (0, 40, 80, 160), sessions),
    Experiment("control", "claim per second", (0, 25, 50, 100), claims),
    Experiment("control", "workspace", (0, 900, 1_800, 3_600), declared_workspaces),
    Experiment("control", "profile", (0, 50, 100, 200), declared_profiles),
    Experiment(
        "control",
        "change per 10 s, 1,800 workspaces",
        (0, 5, 10, 20),
        committed_changes,
    ),
    Experiment(
        "sidecar", "cache event per second", (0, 500, 1_000, 2_000), cache_events
    ),
    Experiment("sidecar", "cached block", (0, 10_000, 20_000, 40_000), cached_blocks),
)


def main(role: str = "", unit: str = "", repeats: int = 1) -> None:
    """Run the experiments (of one role or unit if given) and print the fits."""
    chosen = [e for e in EXPERIMENTS if role in e.role and unit in e.unit]
    commit_id()
    started_at = time.monotonic()
    lines = [
        "| role | unit | sizes | CPU ms/s per unit | CPU fit R² | RSS kB per unit |"
        " RSS fit R² | at size 0: CPU ms/s, RSS MB |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for experiment in chosen:
        lines.append(_measure(experiment, repeats))
        print(lines[-1], flush=True)
    print(
        f"\nCommit {commit_id()}; slope (least–greatest with one point left out);"
        f" {MEASURE_WINDOW_S:g} s a point, {repeats} points a size; took"
        f" {time.monotonic() - started_at:.0f} s; load average at the end"
        f" {os.getloadavg()[0]:.1f} on {os.cpu_count()} cores.\n"
    )
    print("\n".join(lines))


def _measure(experiment: Experiment, repeats: int) -> str:
    points = [
        (size, _run_trial(experiment, size))
        for _ in range(repeats)
        for size in experiment.sizes
    ]
    xs = [float(size) for size, _ in points]
    cpu = fit(xs, [usage.cpu * 1e3 for _, usage in points])
    rss = fit(xs, [usage.rss_mb * 1e3 for _, usage in points])
    sizes = ", ".join(str(size) for size in experiment.sizes)
    return (
        f"| {experiment.role} | {experiment.unit} | {sizes} | {_format_slope(cpu)}"
        f" | {cpu.r2:.3f} | {_format_slope(rss)} | {rss.r2:.3f}"
        f" | {cpu.intercept:.1f}, {rss.intercept / 1e3:.1f} |"
    )


def _run_trial(experiment: Experiment, size: int) -> Usage:
    with tempfile.TemporaryDirectory() as folder:
        with Subject(experiment.role, pathlib.Path(folder, "site")) as subject:
            return asyncio.run(experiment.trial(subject, size))


def _format_slope(line: Line) -> str:
    return f"{line.slope:.4g} ({line.low:.4g}–{line.high:.4g})"


if __name__ == "__main__":
    fire.Fire(main)
