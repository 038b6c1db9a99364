"""Steps that start the deployments in examples/ and send requests to them."""

from __future__ import annotations

import asyncio
from typing import Any

from behave import given, then, when

from tests.callers import Caller, Ending, nested_prompt
from tests.example_fleet import started


@given("the deployment {deployment} was started from its settings")
def step_start(context: Any, deployment: str) -> None:
    """Start every process of the deployment."""
    context.fleet = started(context.folder, deployment)


@given("its declarations were applied by an operator and are in force everywhere")
def step_apply(context: Any) -> None:
    """Apply the deployment's declarations file unchanged."""
    context.fleet.apply_declarations()


@when(
    "the workspace {workspace} asks profile {completion} {count:d} times"
    " and {service} once"
)
def step_ask(
    context: Any, workspace: str, completion: str, count: int, service: str
) -> None:
    """Send completions and one call that must not run twice."""
    fleet = context.fleet
    key = fleet.add_key(workspace)
    fleet.wait_ready(0)
    urls = [fleet.entry_url(name) for name in fleet.entries]

    async def ask() -> list[Ending]:
        caller = Caller(urls, key)
        prompts = [nested_prompt(1, 1, number) for number in range(count)]
        completions = [caller.stream(completion, prompt) for prompt in prompts]
        endings = await asyncio.gather(*completions, caller.bid(service, {"lot": 1}))
        await caller.close()
        return list(endings)

    context.endings = context.load.run(ask())


@then("{count:d} upstreams have announced themselves")
def step_announced(context: Any, count: int) -> None:
    """Check the number of upstreams, which no settings file lists."""
    upstreams = context.fleet.operate("GET", "/v1/upstreams")["upstreams"]
    assert len(upstreams) == count, sorted(u["name"] for u in upstreams)
