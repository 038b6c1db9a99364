"""Steps around rolling restarts."""

from __future__ import annotations

import collections
import time
from typing import Any

from behave import then, when

from features.steps.failure_steps import step_ended
from features.steps.fleet_steps import caller
from tests.fleet import SIDECAR_RPC, wait_for_port, wait_until


@when("all entries and sidecars are restarted gracefully, one after the other")
def step_rolling(context: Any) -> None:
    """Ask each to shut down, wait for its end, and start it again.

    Callers stand behind a balancer: it takes an entry out once its ``/readyz``
    fails, and in again once it is ready.
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
        wait_for_port(fleet.host("sidecar-" + name), SIDECAR_RPC)
    context.back_at = time.monotonic()


def restart(context: Any, name: str) -> None:
    """Start a process again once it has ended by itself."""
    started = time.monotonic()
    step_ended(context, name)
    context.fleet.processes[name].start()
    print(f"{name} ended {time.monotonic() - started:.2f} s after it was unready")


def balance(context: Any, without: str = "") -> None:
    """Point the callers at all entries but one."""
    names = [name for name in context.fleet.entries if name != without]
    caller(context).use([context.fleet.entry_url(name) for name in names])


@then("each request ran once, or went on where its last run ended")
def step_once_or_resumed(context: Any) -> None:
    """No answer was computed again from its start."""
    fresh = collections.Counter(
        run["request_id"]
        for name in context.fleet.upstreams
        for run in context.fleet.runs(name)
        if run["first_index"] == 0
    )
    wanted = {ending.request_ids[0]: 1 for ending in context.endings}
    assert fresh == wanted, f"{fresh - collections.Counter(wanted)} ran again"


@then("requests were still sent when the last process was back")
def step_load_lasted(context: Any) -> None:
    """The load met every restart."""
    last = max(ending.started_at for ending in context.endings)
    assert last > context.back_at, f"{context.back_at - last:.1f} s too early"
