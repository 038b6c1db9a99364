"""Steps for upstreams that an operator marks as leaving (no new requests)."""

from __future__ import annotations

import time
from typing import Any

from behave import given, then, when

from features.steps.durable_steps import status
from features.steps.fleet_steps import engines, start_fleet
from tests.fleet import Fleet, wait_until


@given(
    "a fleet of {controls:d} control replicas and {entries:d} entries before {n:d}"
    " engines that run {at_once:d} request at once"
)
def step_small_engines(
    context: Any, controls: int, entries: int, n: int, at_once: int
) -> None:
    """Start a fleet whose sidecars queue most of the load."""
    start_fleet(context, controls, entries, engines(n, max_running=at_once))


@given(
    "a fleet of {controls:d} control replicas and {entries:d} entries before {n:d}"
    " engines that run {at_once:d} request at once, where only {name} reaches control"
)
def step_one_reaches(
    context: Any, controls: int, entries: int, n: int, at_once: int, name: str
) -> None:
    """Start a fleet in which only one process receives changes from control."""
    upstreams = engines(n, max_running=at_once)
    names = [f"entry-{i + 1}" for i in range(entries)]
    names += ["sidecar-" + spec.name for spec in upstreams]
    cut_off = tuple(n for n in names if n != name)
    start_fleet(context, controls, entries, upstreams, cut_off)


@when("{name} is marked as leaving after {wait_s:g} s")
def step_mark(context: Any, name: str, wait_s: float) -> None:
    """Mark an upstream as leaving; store when control acknowledged the change."""
    time.sleep(wait_s)
    context.marked = name
    edit = {"kind": "mark_leaving", "name": name}
    context.marked_revision = context.fleet.change(edit)
    context.marked_at = time.time()


@when("control is killed once {name} has received it")
def step_kill_control(context: Any, name: str) -> None:
    """Kill all control replicas once one process has acknowledged the change."""
    fleet = context.fleet
    wait_until(
        lambda: _acknowledged(fleet, name, context.marked_revision),
        f"{name} has not received the change",
    )
    for control in fleet.controls:
        fleet.processes[control].kill()
    print(f"control ended {time.time() - context.marked_at:.2f} s after the change")


def _acknowledged(fleet: Fleet, name: str, revision: int) -> bool:
    for control in fleet.controls:
        answer = status(fleet, control)
        for process in answer["processes"] if answer else ():
            if process["name"] == name and process["revision"] >= revision:
                return True
    return False


@then(
    "{name} had started work before, and none later than {bound_s:g} s after the"
    " change"
)
def step_last_start(context: Any, name: str, bound_s: float) -> None:
    """Check when the engine started its last request, by its own record."""
    starts = _starts(context, name)
    assert any(start < 0.0 for start in starts), starts
    print(f"last work of {name} started {max(starts):+.2f} s from the change")
    assert max(starts) <= bound_s, sorted(starts)


@then("the other engines started work later than {bound_s:g} s after the change")
def step_load_went_on(context: Any, bound_s: float) -> None:
    """Check that the load lasted longer than the time in which the engine must stop."""
    others = [n for n in context.fleet.upstreams if n != context.marked]
    starts = [start for name in others for start in _starts(context, name)]
    assert max(starts) > bound_s, sorted(starts)


def _starts(context: Any, name: str) -> list[float]:
    """Return when an engine started each request, in seconds since the change."""
    runs = context.fleet.runs(name)
    return [run["started_at"] - context.marked_at for run in runs]
