"""Upstreams that turn requests away and want nothing from a gateway for a time."""

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
from tests.builders_logs import logged
from tests.sidecar_bench import run

REST_S = 3.0
SETTLE_S = 0.5
"""Requests that were under way may still come for so long."""

REFUSAL = f"signed: 1\r\nnot-run: 1\r\nrest: {REST_S}"


class RestingUpstream:
    """Turns all requests away, each with a wish for rest, while ``is_short``."""

    def __init__(self, name: str, refusal: str = REFUSAL) -> None:
        self.server = RawUpstream(name, self._serve)
        self.refusal = refusal
        self.is_short = True
        self.arrivals: list[float] = []

    async def _serve(self, req: dict[str, str], body: bytes, writer: Writer) -> None:
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.is_short:
            status = "503 Service Unavailable"
            writer.write(answer_bytes(req["id"], b"", status, headers=self.refusal))
        else:
            writer.write(answer_bytes(req["id"], body))

    def most_in_a_rest(self) -> int:
        """The most requests that came in the rest after one that was turned away."""
        return max(
            sum(at + SETTLE_S < other <= at + REST_S for other in self.arrivals)
            for at in self.arrivals
        )


def test_the_wish_for_rest_is_logged() -> None:
    async def main() -> None:
        resting, other = RestingUpstream("u1"), LimitedUpstream("u2")
        with logged("upstream_resting") as lines:
            async with running_gateway(
                declared(), resting.server, other.server
            ) as gateway:
                while not resting.arrivals:
                    assert (await call(gateway)).status == 200
        assert lines == [{"upstream": "u1", "for_ms": 3_000.0}]

    run(main())


def test_an_upstream_that_asks_for_rest_gets_no_requests_until_it_is_over() -> None:
    async def main() -> None:
        resting, other = RestingUpstream("u1"), LimitedUpstream("u2")
        async with running_gateway(declared(), resting.server, other.server) as gateway:
            for number in range(100):
                got = await call(gateway, request_id=f"r{number}")
                assert got.status == 200
                await asyncio.sleep(0.04)
        assert resting.most_in_a_rest() <= 2

    run(main())
