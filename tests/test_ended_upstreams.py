"""A request that ends each upstream that runs it, and is repeated.

What users saw: one request ended eight engines within 14 s, and nine later on; it
was answered with 502 each time.  With each engine the four to twelve streams of other
callers that it ran broke off, and half of the engines were gone at once.

The order of events: the request comes to a gateway, is sent to an engine, and the
engine ends before it has answered.  The caller repeats it, with another id and by way
of another gateway, and it is sent to the next engine.
"""

from __future__ import annotations

import asyncio

from tests.builders_ending import HARMFUL, LEARNED_S, deployment
from tests.builders_gateway import declared, route
from tests.sidecar_bench import run

CALLS = route(max_runs=2)
CONTACT_S = 3.0
"""A third end of an upstream is known to all gateways after this."""

REPEATS = 12


def test_repeats_of_what_ends_upstreams_are_not_sent_to_ever_more_of_them() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            for number in range(REPEATS):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                await fleet.send(gateway, HARMFUL)
                await asyncio.sleep(LEARNED_S)
                assert await fleet.send(gateway, b"harmless") == 200
            third = fleet.house.ended[2]
            late = [at for at in fleet.house.harmful_at if at > third + CONTACT_S]
            assert len(late) <= 3

    run(main())
