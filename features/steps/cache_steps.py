"""Steps for unreliable cache events and for engines that lose their cache."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from features.steps.fleet_steps import engines, show, start_fleet
from tests.fleet import wait_until

VIEW_RESET_BOUND_S = 8.0
UNRELIABLE = (
    *("--event-drop-rate", "0.2"),
    *("--event-repeat-rate", "0.2"),
    *("--event-reorder-rate", "0.2"),
)


@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} engines"
    " whose cache events are unreliable"
)
def step_unreliable(context: Any, controls: int, entries: int, n: int) -> None:
    """Start engines that drop, repeat and reorder their events, 20 % of them each."""
    upstreams = engines(n, *UNRELIABLE)
    for spec in upstreams:
        spec.metrics = True
    start_fleet(context, controls, entries, upstreams)


@then("no answer claims more cached tokens than the engine's record")
def step_usage(context: Any) -> None:
    """Compare the cached tokens in each answer's usage with the run's record."""
    runs = {
        run["request_id"]: run
        for name in context.fleet.upstreams
        for run in context.fleet.runs(name)
    }
    answered = [
        (e, runs[i]) for e in context.endings for i in e.request_ids if i in runs
    ]
    assert answered, show(context.endings)
    overstated = [
        (ending.request_ids, ending.cached_tokens, run)
        for ending, run in answered
        if ending.cached_tokens is None or ending.cached_tokens > run["cached_tokens"]
    ]
    total = sum(ending.cached_tokens or 0 for ending, _ in answered)
    print(f"{len(answered)} answers claim {total} cached tokens")
    assert not overstated, overstated
    assert total > 0


@then("{name} ran some of them, the first of them with nothing cached")
def step_empty(context: Any, name: str) -> None:
    """Check that the restarted engine got requests, the first with an empty cache."""
    runs = context.fleet.runs(name)
    ids = {i for ending in context.endings for i in ending.request_ids}
    assert runs and {run["request_id"] for run in runs} <= ids, runs
    assert runs[0]["cached_tokens"] == 0, runs[0]


@when("{name} answers again")
def step_answers(context: Any, name: str) -> None:
    """Wait until the restarted engine, now another incarnation, answers."""
    wait_until(lambda: context.fleet.answers_health(name), f"{name} does not answer")


@then("the sidecar of {name} soon counts nothing as cached")
def step_view_dropped(context: Any, name: str) -> None:
    """Wait until the old incarnation's blocks are removed, without any new request."""
    before = context.blocks_before
    print(f"the sidecar of {name} counted {before:g} blocks before")
    assert before > 0
    wait_until(
        lambda: context.fleet.sidecar_gauge(name, "cached_blocks") == 0,
        f"the sidecar of {name} still counts blocks of the old incarnation",
        VIEW_RESET_BOUND_S,
    )


@when("the blocks that the sidecar of {name} counts are noted")
def step_note_blocks(context: Any, name: str) -> None:
    """Save the number of cached blocks before the engine is killed."""
    context.blocks_before = context.fleet.sidecar_gauge(name, "cached_blocks")
