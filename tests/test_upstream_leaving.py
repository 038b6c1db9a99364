"""Upstreams whose answers announce that they leave."""

from __future__ import annotations

import asyncio

from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    running_gateway,
)
from tests.builders_limits import LimitedUpstream
from tests.sidecar_harness import run

DRAIN_S = 0.5


def test_upstream_that_announces_leaving_in_an_answer_gets_no_new_requests() -> None:
    """This holds before control announces it, and until the upstream has ended."""
    leaving_at: list[float] = []
    arrivals: list[float] = []

    async def leave(req: dict[str, str], body: bytes, writer: Writer) -> None:
        now = asyncio.get_running_loop().time()
        arrivals.append(now)
        leaving_at.append(now)
        answer = answer_bytes(req["id"], body, headers="signed: 1\r\nleaving: 1")
        writer.write(answer)

    async def main() -> None:
        leaving, other = RawUpstream("u1", leave), LimitedUpstream("u2")
        async with running_gateway(declared(), leaving, other.server) as gateway:
            for number in range(100):
                got = await call(gateway, request_id=f"r{number}")
                assert got.status == 200
                await asyncio.sleep(0.02)
        assert [at for at in arrivals if at > leaving_at[0] + DRAIN_S] == []

    run(main())
