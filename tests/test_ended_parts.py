"""A part of a prompt that ends every upstream that begins to answer it.

Requests with the part differ in all else, so a record of whole requests relates none of
them to another.  Sound requests have their other parts and callers.
"""

from __future__ import annotations

import asyncio

from tests.builders_ending import EXCHANGE_S, HARMFUL, deployment
from tests.builders_gateway import declared, route
from tests.sidecar_harness import run

CALLS = route(max_runs=2)
DELIVERY_BOUND_S = 3.0
"""Time by which all gateways have received the fifth end of an upstream."""

REQUESTS = 14


def test_requests_with_one_harmful_part_end_only_a_few_upstreams() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            for number in range(REQUESTS):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                body = HARMFUL + str(number).encode()
                await fleet.send(gateway, body, extra=f"Parts: a,bad,own{number}")
                await asyncio.sleep(EXCHANGE_S)
                sound = f"Parts: a,b{number},own{number}"
                assert await fleet.send(gateway, b"harmless", extra=sound) == 200
            fifth = fleet.pool.ended[:5][-1]
            late = [at for at in fleet.pool.harmful_at if at > fifth + DELIVERY_BOUND_S]
            assert len(late) <= 3

    run(main())
