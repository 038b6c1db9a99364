"""Steps for rolling restarts of entries and sidecars."""

from __future__ import annotations

import collections
import time
from typing import Any

from behave import then, when

from features.steps.failure_steps import step_ended
from features.steps.fleet_steps import caller
from tests.fleet import SIDECAR_RPC_PORT, wait_for_port, wait_until


@when("all entries and sidecars are restarted gracefully, one after the other")
def step_rolling(context: Any) -> None:
    """Ask each process to shut down, wait until it has exited, and restart it.

    The step acts as the load balancer of the callers: it removes an entry when
    ``/readyz`` fails, and adds it again when the entry is ready.
    """
    fleet = context.fleet
    for name in fleet.entries:
        fleet.processes[name].terminate()
        wait_until(lambda n=name: not fleet.entry_ready(n), f"{name} stays ready")
        balance(context, without=name)
        restart(context, name)
        wait_until(lambda n=name: fleet.entry_ready(n), f"{name} is not ready")
        balance(context)
    for name in fleet.upstreams:
        fleet.processes["sidecar-" + name].terminate()
        restart(context, "sidecar-" + name)
        wait_for_port(fleet.host("sidecar-" + name), SIDECAR_RPC_PORT)
    context.restarted_at = time.monotonic()


def restart(context: Any, name: str) -> None:
    """Wait until a process has exited, then start it again."""
    started = time.monotonic()
    step_ended(context, name)
    context.fleet.processes[name].start()
    print(f"{name} exited {time.monotonic() - started:.2f} s after it became unready")


def balance(context: Any, without: str = "") -> None:
    """Let the callers send to all entries except ``without``."""
    names = [name for name in context.fleet.entries if name != without]
    caller(context).use_entries([context.fleet.entry_url(name) for name in names])


@then("each request ran once, or continued where its last run ended")
def step_once_or_resumed(context: Any) -> None:
    """Check that no request was computed from its start more than once."""
    full_runs = collections.Counter(
        run["request_id"]
        for name in context.fleet.upstreams
        for run in context.fleet.runs(name)
        if run["first_index"] == 0
    )
    expected = {ending.request_ids[0]: 1 for ending in context.endings}
    assert (
        full_runs == expected
    ), f"{full_runs - collections.Counter(expected)} ran again"


@then("requests were still sent when the last process was back")
def step_load_lasted(context: Any) -> None:
    """Check that requests were still sent after the last restart."""
    last = max(ending.started_at for ending in context.endings)
    assert last > context.restarted_at, f"{context.restarted_at - last:.1f} s too early"
