"""Steps for connections on which no bytes arrive although they stay open."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from behave import given, then, when

from features.steps.fleet_steps import (
    COMPLETIONS,
    KEY,
    caller,
    engines,
    show,
    start_fleet,
)
from tests.callers import Caller, Ending, nested_prompt
from tests.fleet import (
    ENTRY_HTTP_PORT,
    SIDECAR_RPC_PORT,
    UPSTREAM_HTTP_PORT,
    Fleet,
    UpstreamSpec,
)
from tests.relay import Relay

SLOW_DECODE_S = "0.1"
SEND_EVERY_S = 0.05


def relay_to(context: Any, host: str, port: int) -> Relay:
    """Start a relay on the callers' event loop; it is closed after the scenario."""
    relay = Relay(port, host)
    context.load.run(relay.start())
    context.relays.append(relay)
    return relay


@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} engines,"
    " with relays between sidecars and upstreams"
)
def step_upstream_relays(context: Any, controls: int, entries: int, n: int) -> None:
    """Start a fleet whose sidecars reach their upstreams only through relays."""

    def prepare(fleet: Fleet, spec: UpstreamSpec) -> None:
        host = fleet.host("upstream-" + spec.name)
        relay = relay_to(context, host, UPSTREAM_HTTP_PORT)
        spec.settings["upstream"] = f"http://{relay.address}"

    start_fleet(context, controls, entries, engines(n), prepare=prepare)


@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} engines,"
    " with relays between entries and sidecars"
)
def step_sidecar_relays(context: Any, controls: int, entries: int, n: int) -> None:
    """Start a fleet whose sidecars announce the address of a relay as their own."""

    def prepare(fleet: Fleet, spec: UpstreamSpec) -> None:
        host = fleet.host("sidecar-" + spec.name)
        relay = relay_to(context, host, SIDECAR_RPC_PORT)
        spec.settings["advertise"] = relay.address

    start_fleet(context, controls, entries, engines(n), prepare=prepare)


@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} engines,"
    " with relays between callers and entries"
)
def step_entry_relays(context: Any, controls: int, entries: int, n: int) -> None:
    """Start a fleet with a relay for each entry, and engines that decode slowly."""
    upstreams = engines(n, "--decode-s", SLOW_DECODE_S)
    fleet = start_fleet(context, controls, entries, upstreams)
    for name in fleet.entries:
        relay_to(context, fleet.host(name), ENTRY_HTTP_PORT)


@given("{count:d} streams are under way, one each {every_s:g} s")
def step_streams(context: Any, count: int, every_s: float) -> None:
    """Send streamed requests to all entries in the background."""
    context.running = context.load.start(send_streams(caller(context), count, every_s))


@given("{count:d} answers in one piece are asked for, one each {every_s:g} s")
def step_plain(context: Any, count: int, every_s: float) -> None:
    """Send requests that are not streamed in the background."""
    context.running = context.load.start(send_plain(caller(context), count, every_s))


async def send_plain(sender: Caller, count: int, every_s: float) -> list[Ending]:
    """Send requests that are not streamed, one every ``every_s`` seconds."""
    tasks = []
    for number in range(count):
        sending = sender.plain(COMPLETIONS, nested_prompt(1, 1, number))
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(every_s)
    return list(await asyncio.gather(*tasks))


@given(
    "{count:d} slow streams are under way, whose callers give a silent connection up"
    " after {silence_s:g} s"
)
def step_slow_streams(context: Any, count: int, silence_s: float) -> None:
    """Send streamed requests through the relays in the background."""
    urls = [f"http://{relay.address}" for relay in context.relays]
    sender = Caller(urls, KEY, silence_s=silence_s)
    context.running = context.load.start(send_streams(sender, count))


async def send_streams(
    sender: Caller, count: int, every_s: float = SEND_EVERY_S
) -> list[Ending]:
    """Send streamed requests, one every ``every_s`` seconds."""
    tasks = []
    for number in range(count):
        sending = sender.stream(COMPLETIONS, nested_prompt(1, 1, number))
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(every_s)
    return list(await asyncio.gather(*tasks))


@when("all connections open at the relays go silent after {wait_s:g} s")
def step_silence(context: Any, wait_s: float) -> None:
    """Silence all open connections; each relay must have at least one."""
    time.sleep(wait_s)
    context.accepted = [relay.accepted for relay in context.relays]
    open_counts = [relay.open_count for relay in context.relays]
    context.load.run(silence(context.relays))
    print(f"silenced {open_counts} connections")
    assert all(open_counts), open_counts


async def silence(relays: list[Relay]) -> None:
    """Silence the open connections; must run on the relays' event loop."""
    for relay in relays:
        relay.silence_open()


@then("every request ended within {bound_s:g} s of its start")
def step_bounded(context: Any, bound_s: float) -> None:
    """Check that silent connections were given up in time; print the longest."""
    longest = max(ending.took_s for ending in context.endings)
    print(f"the longest request took {longest:.2f} s")
    assert longest <= bound_s, longest


@then("each relay forwards new connections")
def step_replaced(context: Any) -> None:
    """Check that each relay accepted connections after the others went silent."""
    accepted = [relay.accepted for relay in context.relays]
    assert all(b > a for a, b in zip(context.accepted, accepted, strict=True)), accepted


@then("at least {least:d} of them were attached to again by the last event's id")
def step_attached(context: Any, least: int) -> None:
    """Check that callers with a silent connection attached again on a new one."""
    reattached = [ending for ending in context.endings if len(ending.request_ids) > 1]
    print(f"{len(reattached)} of {len(context.endings)} streams were attached to again")
    assert len(reattached) >= least, show(context.endings)
