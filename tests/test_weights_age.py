"""How long newer weights have been named, in processes that learn of them late."""

from __future__ import annotations

import asyncio

from tests.builders_weights import BOUND_S, WeightsControl, WeightsGateway
from tests.clock import run_paused

SETTLE_S = 2.0
"""More than the sessions need to exchange what they know."""


async def replica_with_engines() -> WeightsControl:
    """Return a replica with an engine on each of versions 1, 2 and 3."""
    control = await WeightsControl.start()
    for version in (1, 2, 3):
        control.announce(f"on{version}", version)
    return control


def test_restarted_gateway_sends_nothing_to_engines_outdated_past_the_bound() -> None:
    async def main() -> None:
        control = await replica_with_engines()
        control.name(1)
        await asyncio.sleep(10.0)
        control.name(2)
        await asyncio.sleep(BOUND_S - SETTLE_S)
        gateway = await WeightsGateway.start("g1", control)
        await asyncio.sleep(SETTLE_S)
        assert gateway.candidates().keys() == {"on2", "on3"}

    run_paused(main())
