"""Steps that place orders for upstreams and check that they are carried out."""

from __future__ import annotations

import time
import uuid
from typing import Any

import httpx2
from behave import given, then, when

from features.steps.durable_steps import leader
from features.steps.fleet_steps import engines, start_fleet
from tests.fleet import wait_until

LOADS_AT_ONCE = 2
SAMPLE_S = 0.03
ORDERS_BOUND_S = 60.0
CHECKING_FLAGS = ("--checks-fencing",)


@given(
    "a fleet of {controls:d} control replicas, {entries:d} entries and {n:d} engines"
    " that {how} fencing numbers"
)
def step_engines(context: Any, controls: int, entries: int, n: int, how: str) -> None:
    """Start engines that check the fencing numbers of orders, or ignore them."""
    checks = how == "check"
    specs = engines(n, *(CHECKING_FLAGS if checks else ()))
    for spec in specs:
        spec.settings["checks_fencing"] = checks
    start_fleet(context, controls, entries, specs)


@when('every upstream is ordered to load weights "{version}"')
def step_order(context: Any, version: str) -> None:
    """Place one order for each upstream."""
    for name in context.fleet.upstreams:
        body = {
            "change_id": uuid.uuid4().hex,
            "upstream": name,
            "kind": "load_weights",
            "model": "model-a",
            "version": version,
        }
        context.fleet.operate("POST", "/v1/orders", body)


@when("the leader is killed")
def step_kill_leader(context: Any) -> None:
    """Kill the control replica that leads."""
    context.fleet.processes[leader(context.fleet)].kill()


@then("all orders are done and at no time more than {bound:d} were issued")
def step_orders_done(context: Any, bound: int) -> None:
    """Poll the orders until all are done; count those issued at the same time."""
    samples: list[int] = []
    states: list[str] = []

    def all_done() -> bool:
        orders = context.fleet.operate("GET", "/v1/orders")["orders"]
        states[:] = [order["state"] for order in orders]
        samples.append(states.count("issued"))
        time.sleep(SAMPLE_S)
        return bool(states) and set(states) == {"done"}

    try:
        wait_until(all_done, "orders are not done", ORDERS_BOUND_S)
    except AssertionError as exc:
        raise AssertionError(f"{exc}: {states}") from exc
    assert max(samples) <= bound, samples
    print(f"{len(samples)} samples, at most {max(samples)} issued at once")


@then('every upstream runs weights "{version}" and has taken numbers that only rise')
def step_weights(context: Any, version: str) -> None:
    """Check the weights that engines report, and the fencing numbers they recorded."""
    for name in context.fleet.upstreams:
        url = context.fleet.upstream_url(name)
        health = httpx2.get(f"{url}/health", trust_env=False).json()
        assert health["weights_version"] == version, (name, health)
        orders = httpx2.get(f"{url}/record", trust_env=False).json()["orders"]
        numbers = [order["number"] for order in orders]
        assert numbers and numbers == sorted(set(numbers)), (name, numbers)
