"""Steps that kill, freeze or stop processes and check how requests ended."""

from __future__ import annotations

import collections
import time
from typing import Any

from behave import given, then, when

from features.steps.fleet_steps import COMPLETIONS, caller, record, show
from tests.callers import nested_prompt
from tests.fleet import ENTRY_HTTP_PORT, wait_for_port

ENDED_KINDS = {"whole", "refused"}
LOAD_BOUND_S = 180.0


@when("{name} is killed after {wait_s:g} s")
def step_kill(context: Any, name: str, wait_s: float) -> None:
    """Kill a process without warning."""
    time.sleep(wait_s)
    context.fleet.processes[name].kill()


@when("{name} is started again after {wait_s:g} s")
def step_start_again(context: Any, name: str, wait_s: float) -> None:
    """Restart a process at its old address."""
    time.sleep(wait_s)
    context.fleet.processes[name].start()


@when("{name} is frozen after {wait_s:g} s")
def step_freeze(context: Any, name: str, wait_s: float) -> None:
    """Suspend a process with SIGSTOP."""
    time.sleep(wait_s)
    context.fleet.processes[name].freeze()


@when("{name} thaws after {wait_s:g} s")
def step_thaw(context: Any, name: str, wait_s: float) -> None:
    """Resume a suspended process."""
    time.sleep(wait_s)
    context.fleet.processes[name].thaw()


@when("{name} is asked to shut down after {wait_s:g} s")
def step_terminate(context: Any, name: str, wait_s: float) -> None:
    """Send SIGTERM, which asks for a graceful shutdown."""
    time.sleep(wait_s)
    context.fleet.processes[name].terminate()


@when("{name} has ended by itself")
def step_ended(context: Any, name: str) -> None:
    """Wait until a process has exited; its exit code must be 0."""
    process = context.fleet.processes[name]
    code = process.wait()
    assert code == 0, f"{name} ended with {code}: {process.output()[-2000:]}"


@when("the load has run for {seconds:g} s")
def step_let_run(_context: Any, seconds: float) -> None:
    """Wait while the background load runs."""
    time.sleep(seconds)


@when("all entries are killed and started again")
def step_restart_all_entries(context: Any) -> None:
    """Kill and restart all entries at the same time, as after a power failure."""
    fleet = context.fleet
    for name in fleet.entries:
        fleet.processes[name].kill()
    for name in fleet.entries:
        fleet.processes[name].start()


@when("a request is sent as soon as an entry listens")
def step_request_at_once(context: Any) -> None:
    """Send one request as soon as the first entry accepts connections."""
    fleet = context.fleet
    wait_for_port(fleet.host(fleet.entries[0]), ENTRY_HTTP_PORT)
    context.listening_at = time.monotonic()
    send = caller(context).stream(COMPLETIONS, nested_prompt(1, 1, 1))
    context.endings = [context.load.run(send)]


@given("all requests have ended")
@then("all requests have ended")
@when("all requests have ended")
def step_all_ended(context: Any) -> None:
    """Wait for the background load to end."""
    context.endings = context.running.result(LOAD_BOUND_S)


@then("every request ended once, with its complete answer or a typed error")
def step_ended_once(context: Any) -> None:
    """Check that no request was lost or got a wrong answer."""
    kinds = collections.Counter(ending.kind for ending in context.endings)
    assert set(kinds) <= ENDED_KINDS, f"{kinds}\n{show(context.endings)}"
    untyped = [e for e in context.endings if e.kind == "refused" and not e.code]
    assert not untyped, show(untyped)


@then("no request that was said not to have run is in an upstream's record")
def step_not_run_is_true(context: Any) -> None:
    """Check that no request answered with ``not_run: true`` is in a record."""
    fleet = context.fleet
    ran = {run["request_id"] for name in fleet.upstreams for run in record(fleet, name)}
    claimed = [e for e in context.endings if e.kind == "refused" and e.not_run is True]
    wrong = [e for e in claimed if ran & set(e.request_ids)]
    assert not wrong, show(wrong)


@then("at most {bound:d} requests ended without their complete answer")
def step_bound_lost(context: Any, bound: int) -> None:
    """Check how many repeatable requests the failure of a process cost."""
    incomplete = [ending for ending in context.endings if ending.kind != "whole"]
    assert len(incomplete) <= bound, f"{len(incomplete)}\n{show(context.endings)}"


@then("the answer began within {bound_s:g} s of the first listening entry")
def step_began_within(context: Any, bound_s: float) -> None:
    """Check that routing needs no warm-up; print the time to the first token."""
    ending = context.endings[0]
    began_s = ending.started_at + ending.first_token_s - context.listening_at
    print(f"first token {began_s:.2f} s after the first entry listened")
    assert began_s <= bound_s, began_s
