"""Steps and helpers that start fleets, send load and check how requests ended."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any

from behave import given, then, when

from gooseberrydale.version.declarations import Profile, ProfileKind, Workspace
from tests.callers import Caller, Ending, mixed_load
from tests.fleet import Fleet, UpstreamSpec, key_digest, wait_until

ZONES = ("zone-1", "zone-2", "zone-3")
KEY = "key-of-workspace-one"
COMPLETIONS = "summaries"
BIDS = "bids"
LONG_DEADLINE_S = 20.0
NOT_RUN_STATES = ("waiting",)


def profiles() -> tuple[Profile, ...]:
    """Return the profiles that the scenarios declare."""
    return (
        Profile(
            COMPLETIONS,
            ProfileKind.COMPLETION,
            pool="engines",
            model="model-a",
            deadline_s=LONG_DEADLINE_S,
        ),
        Profile(
            BIDS,
            ProfileKind.SERVICE,
            pool="services",
            repeatable=False,
            deadline_s=LONG_DEADLINE_S,
        ),
    )


def start_fleet(
    context: Any,
    controls: int,
    entries: int,
    upstreams: list[UpstreamSpec],
    cut_off: tuple[str, ...] = (),
    prepare: Callable[[Fleet, UpstreamSpec], None] | None = None,
    *,
    tls: bool = False,
) -> Fleet:
    """Start a fleet, declare its configuration and wait until it serves.

    Processes named in ``cut_off`` can't reach control.  ``prepare`` may change the
    settings of each upstream before it is added.
    """
    fleet = Fleet(context.folder, ZONES, tls=tls)
    fleet.cut_off.update(cut_off)
    context.fleet = fleet
    fleet.controls = [f"control-{i + 1}" for i in range(controls)]
    fleet.add_entries(entries)
    fleet.add_controls(controls)
    for spec in upstreams:
        if prepare is not None:
            prepare(fleet, spec)
        fleet.add_upstream(spec)
    fleet.start()
    workspace = Workspace("one", key_digests=(key_digest(KEY),))
    fleet.declare(profiles(), (workspace,))
    fleet.wait_ready(len(upstreams))
    return fleet


def engines(count: int, *flags: str, **settings: object) -> list[UpstreamSpec]:
    """Return engines of one pool in all zones; ``settings`` go to their sidecars."""
    defaults = ("--model", "model-a", "--decode-s", "0.02")
    return [
        UpstreamSpec(
            f"engine-{i + 1}",
            "engines",
            zone=ZONES[i % len(ZONES)],
            flags=(*defaults, "--seed", str(i), *flags),
            settings=dict(settings),
        )
        for i in range(count)
    ]


def services(count: int, delay_s: float = 0.05) -> list[UpstreamSpec]:
    """Return plain services of one pool, spread over the zones."""
    return [
        UpstreamSpec(
            f"service-{i + 1}",
            "services",
            zone=ZONES[i % len(ZONES)],
            kind="service",
            flags=("--delay-s", str(delay_s)),
        )
        for i in range(count)
    ]


def caller(context: Any) -> Caller:
    """Return the scenario's caller, which sends to all entries."""
    if "caller" not in context:
        urls = [context.fleet.entry_url(name) for name in context.fleet.entries]
        context.caller = Caller(urls, KEY, verify=context.fleet.verify)
    shared: Caller = context.caller
    return shared


def show(endings: list[Ending]) -> str:
    """Format the requests that got no whole answer, for an assertion's message."""
    return "\n".join(
        f"{e.kind} {e.code} not_run={e.not_run} {e.request_ids} {e.detail}"
        for e in endings
        if e.kind != "whole"
    )


def run_counts(fleet: Fleet) -> dict[str, int]:
    """Count the runs of each request id in the records of running upstreams."""
    counts: dict[str, int] = collections.Counter()
    for name in fleet.upstreams:
        if fleet.processes["upstream-" + name].running:
            counts.update(run["request_id"] for run in record(fleet, name))
    return counts


def record(fleet: Fleet, name: str) -> list[dict[str, Any]]:
    """Wait until an upstream answers, then return its record."""
    wait_until(lambda: fleet.answers_health(name), f"{name} does not answer")
    return fleet.runs(name)


@given("a fleet of {controls:d} control replica, {entries:d} entries and {n:d} engines")
@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} engines"
)
def step_engines(context: Any, controls: int, entries: int, n: int) -> None:
    """Start a fleet of model engines."""
    start_fleet(context, controls, entries, engines(n))


@given(
    "a fleet of {controls:d} control replica, {entries:d} entries and {n:d} services"
)
@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} services"
)
def step_services(context: Any, controls: int, entries: int, n: int) -> None:
    """Start a fleet of plain services."""
    start_fleet(context, controls, entries, services(n))


@when("{count:d} requests are sent, one each {every_s:g} s")
def step_send(context: Any, count: int, every_s: float) -> None:
    """Send requests and wait until all have ended."""
    context.endings = context.load.run(
        mixed_load(caller(context), COMPLETIONS, count, every_s)
    )


@given("{count:d} requests are under way, one each {every_s:g} s")
def step_send_background(context: Any, count: int, every_s: float) -> None:
    """Send requests in the background."""
    context.running = context.load.start(
        mixed_load(caller(context), COMPLETIONS, count, every_s)
    )


@when("a bid is sent twice under one idempotency key")
def step_bid_twice(context: Any) -> None:
    """Send the same bid twice, one after the other."""
    bid = caller(context).bid
    context.endings = [
        context.load.run(bid(BIDS, {"lot": 7, "cents": 100}, key="bid-7"))
        for _ in range(2)
    ]


@then("every request got its complete answer")
def step_all_whole(context: Any) -> None:
    """Check that no request was refused, lost or answered wrongly."""
    kinds = collections.Counter(ending.kind for ending in context.endings)
    assert set(kinds) == {"whole"}, f"{kinds}\n{show(context.endings)}"


@then("the engines ran each request once")
def step_each_once(context: Any) -> None:
    """Check that the engines' records hold every request exactly once."""
    counts = run_counts(context.fleet)
    expected = {ending.request_ids[0]: 1 for ending in context.endings}
    assert counts == expected, f"runs {counts}, expected {expected}"


@then("both answers are the same and the services ran it once")
def step_ran_once(context: Any) -> None:
    """Check that the bid ran once and that the resend got that run's answer."""
    first, second = context.endings
    assert first.kind == "whole", show(context.endings)
    assert second.text == first.text, show(context.endings)
    assert sum(run_counts(context.fleet).values()) == 1
