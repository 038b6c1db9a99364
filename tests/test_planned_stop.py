"""Requests that come while a gateway is being stopped; real processes."""

from __future__ import annotations

import asyncio
import pathlib
from dataclasses import dataclass

import pytest

from tests.builders_machines import (
    Received,
    call,
    config,
    route,
    running_machines,
)

STOPPED = 3
"""Number of the machine that is stopped; it has no control replica."""

GRACE_S = 8.0
EVERY_S = 0.2
SLOW_S = 9.5
"""Longer than a stopping process may run, and shorter than its callers wait."""

OUTCOME_STATUSES = frozenset({502, 504})
"""These say that a request may have run."""

DOCUMENT = config(
    routes=[
        route("safe"),
        route("slow", timeoutMs=15_000),
        route("unsafe", kind="unsafe", attempts=1, timeoutMs=15_000),
    ]
)


@dataclass(frozen=True)
class Asked:
    """One request, and what its caller received."""

    request_id: str
    answer: Received


@pytest.mark.parametrize("path", ["/slow/1", "/unsafe/1"])
@pytest.mark.parametrize("run_s", [0.05, 1.5, SLOW_S])
def test_each_request_that_a_stopping_gateway_passes_on_is_answered(
    path: str, run_s: float, tmp_path: pathlib.Path
) -> None:
    """Guards against requests that are taken late, and cut without an answer."""

    async def main() -> None:
        async with running_machines(tmp_path, "v1", document=DOCUMENT) as (
            machines,
            [upstream],
        ):
            upstream.run_s = run_s
            front = machines.fronts[STOPPED]
            [gateway] = machines.of(STOPPED)
            loop = asyncio.get_running_loop()
            asked: list[asyncio.Task[Asked]] = []

            async def ask(number: int) -> Asked:
                request_id = f"r-{number}"
                return Asked(request_id, await call(front, path, request_id))

            began = loop.time()
            gateway.terminate()
            while loop.time() < began + GRACE_S:
                asked.append(asyncio.create_task(ask(len(asked))))
                await asyncio.sleep(EVERY_S)
            answers = await asyncio.gather(*asked)
            assert await asyncio.to_thread(gateway.wait) == 0
            assert loop.time() < began + GRACE_S + SLOW_S
            passed_on = [
                each for each in answers if each.request_id in upstream.reached
            ]
            assert passed_on
            unanswered = [e.request_id for e in passed_on if not e.answer.whole]
            assert unanswered == []
            for each in passed_on:
                # A refusal would say that it has not run.
                assert each.answer.status == 200 or (
                    each.answer.status in OUTCOME_STATUSES and run_s == SLOW_S
                )

    asyncio.run(main())
