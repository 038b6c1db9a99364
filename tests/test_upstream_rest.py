"""Upstreams that turn requests away and want nothing from a gateway for a time."""

from __future__ import annotations

import asyncio

import pytest

from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    plain,
    record,
    route,
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


@pytest.mark.parametrize("refusal", [REFUSAL, f"rest: {REST_S}"])
def test_a_rest_is_kept_whether_or_not_the_request_is_said_to_have_run(
    refusal: str,
) -> None:
    async def main() -> None:
        resting = RestingUpstream("u1", refusal)
        other = LimitedUpstream("u2")
        document = declared(route(repeatable=True, max_runs=2))
        async with running_gateway(document, resting.server, other.server) as gateway:
            for number in range(40):
                await call(gateway, method="GET", request_id=f"r{number}")
        assert len(resting.arrivals) == 1

    run(main())


def test_who_finds_all_upstreams_at_rest_is_refused_at_once() -> None:
    async def main() -> None:
        resting = RestingUpstream("u1")
        async with running_gateway(declared(), resting.server) as gateway:
            await call(gateway)
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await call(gateway, request_id="r2")
            assert loop.time() - began < 0.2
            assert got.status == 503 and float(got.headers["retry-after"]) > 0.0
            error = plain(got)["error"]
            assert (error["code"], error["not_run"]) == ("no_room", True)
            assert len(resting.arrivals) == 1

    run(main())


def test_a_rest_ends_and_is_not_that_of_the_next_incarnation() -> None:
    async def main() -> None:
        resting = RestingUpstream("u1", "signed: 1\r\nnot-run: 1\r\nrest: 0.4")
        async with running_gateway(declared(), resting.server) as gateway:
            await call(gateway)
            resting.is_short = False
            assert (await call(gateway, request_id="r2")).status == 200
            first, second = resting.arrivals
            assert second - first >= 0.4
            now = asyncio.get_running_loop().time()
            gateway._upstreams.asked_for_rest("u1", 60.0, now)
            again = record("u1", incarnation="2", address=resting.server.address)
            gateway.directory.offer(again, now)
            assert (await call(gateway, request_id="r3")).status == 200

    run(main())
