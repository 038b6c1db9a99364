"""An acknowledged departure holds, whatever is lost right after it; real processes."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import Awaitable, Callable

import pytest

from tests.builders_machines import (
    DRAIN_S,
    OK,
    TOUCH_S,
    Machines,
    MachineUpstream,
    call,
    running_machines,
    until_served,
)

ACKNOWLEDGING = 1
"""Number of the machine that acknowledges the departure and is lost."""

CALLS = 40


async def deregister(upstream: MachineUpstream, control: str) -> int:
    """Say that the upstream has left."""
    return await upstream.deregister(control)


async def drain(upstream: MachineUpstream, control: str) -> int:
    """Say that the upstream is about to leave."""
    upstream.state = "draining"
    return await upstream.beat(control)


DEPARTURES: dict[str, Callable[[MachineUpstream, str], Awaitable[int]]] = {
    "deregistered": deregister,
    "draining": drain,
}


def lose_one(machines: Machines) -> None:
    """Kill the machine that acknowledged, which comes back with its disk."""
    machines.kill(ACKNOWLEDGING)
    machines.start(ACKNOWLEDGING)


def lose_one_and_its_disk(machines: Machines) -> None:
    """Kill the machine that acknowledged, which comes back with an empty disk."""
    machines.kill(ACKNOWLEDGING)
    machines.wipe(ACKNOWLEDGING)
    machines.start(ACKNOWLEDGING)


def lose_all(machines: Machines) -> None:
    """Kill all machines at once, which come back with their disks."""
    machines.kill()
    machines.start()


LOSSES: dict[str, Callable[[Machines], None]] = {
    "its machine": lose_one,
    "its machine and disk": lose_one_and_its_disk,
    "all machines": lose_all,
}


@pytest.mark.parametrize("departure", DEPARTURES)
@pytest.mark.parametrize("loss", LOSSES)
def test_an_acknowledged_departure_survives_what_is_lost_right_after_it(
    departure: str, loss: str, tmp_path: pathlib.Path
) -> None:
    """Guards against requests that are sent to upstreams that have left."""

    async def main() -> None:
        async with running_machines(tmp_path, "v1", "v1") as (machines, upstreams):
            leaving = upstreams[0]
            await asyncio.sleep(TOUCH_S)
            leaving.silence()
            status = await DEPARTURES[departure](
                leaving, machines.controls[ACKNOWLEDGING]
            )
            LOSSES[loss](machines)
            assert status == OK
            await until_served(machines)
            await asyncio.sleep(max(DRAIN_S, TOUCH_S))
            leaving.reached.clear()
            answers = await asyncio.gather(
                *(
                    call(machines.fronts[n % machines.count], "/safe/1", f"late-{n}")
                    for n in range(CALLS)
                )
            )
            assert all(answer.status == OK for answer in answers)
            assert leaving.reached == {}

    asyncio.run(main())
