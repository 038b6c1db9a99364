"""Upstreams that announce a limit on the rate of requests from all gateways."""

from __future__ import annotations

import asyncio

import pytest

from tests.builders_gateway import (
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    json_body,
    route,
    running_gateway,
)
from tests.builders_limits import LimitedUpstream, allowed, deployment
from tests.builders_logs import logged
from tests.builders_mesh import until
from tests.sidecar_harness import run


def test_a_limit_that_is_named_changed_or_lifted_is_logged_once() -> None:
    limits = iter(("", "limit: 500", "limit: 500", "limit: 750", ""))

    async def script(req: dict[str, str], body: bytes, writer: Writer) -> None:
        headers = "\r\n".join(filter(None, ("signed: 1", next(limits))))
        writer.write(answer_bytes(req["id"], body, headers=headers))

    async def main() -> None:
        upstream = RawUpstream("u1", script)
        with logged("upstream_limited") as lines:
            async with running_gateway(declared(), upstream, gateways=1) as gateway:
                for number in range(5):
                    await call(gateway, request_id=f"r{number}")
        assert lines == [
            {"upstream": "u1", "per_s": 500.0, "before_per_s": None},
            {"upstream": "u1", "per_s": 750.0, "before_per_s": 500.0},
            {"upstream": "u1", "per_s": None, "before_per_s": 750.0},
        ]

    run(main())


@pytest.mark.parametrize("gateways", [1, 8])
def test_a_limited_upstream_gets_no_more_requests_than_its_limit(gateways: int) -> None:
    async def main() -> None:
        limited, other = LimitedUpstream("u1"), LimitedUpstream("u2")
        async with deployment(declared(), limited, other, gateways=gateways) as fleet:
            await fleet.load(per_s=40.0, for_s=1.0)
            limited.limit_per_s = 1.6
            await fleet.load(per_s=40.0, for_s=8.0)
        assert set(fleet.statuses) == {200}
        assert limited.most_in_bound_window() <= allowed(1.6)

    run(main())


def test_a_gateway_that_has_just_started_receives_a_limit_before_it_sends() -> None:
    async def main() -> None:
        limited, other = LimitedUpstream("u1", limit_per_s=20.0), LimitedUpstream("u2")
        async with deployment(declared(), limited, other, gateways=3) as fleet:
            await fleet.load(per_s=40.0, for_s=0.5)
            newcomer = await fleet.add_gateway()
            load = asyncio.create_task(fleet.load(per_s=40.0, for_s=3.0))
            await until(lambda: newcomer._upstreams.limits.per_s("u1") == 20.0, 3.0)
            await load

    run(main())


def test_a_request_beyond_the_limit_is_refused_without_delay() -> None:
    async def main() -> None:
        limited = LimitedUpstream("u1", limit_per_s=0.3)
        async with running_gateway(declared(), limited.server, gateways=1) as gateway:
            assert (await call(gateway)).status == 200
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await call(gateway, request_id="r2")
            assert loop.time() - began < 0.2
            assert got.status == 503 and float(got.headers["retry-after"]) > 0.0
            error = json_body(got)["error"]
            assert (error["code"], error["not_run"]) == ("no_room", True)
            assert len(limited.arrivals) == 1

    run(main())


def test_a_request_waits_if_the_limit_soon_allows_it() -> None:
    async def main() -> None:
        limited = LimitedUpstream("u1", limit_per_s=4.0)
        async with running_gateway(declared(), limited.server, gateways=1) as gateway:
            answers = [await call(gateway, request_id=f"r{n}") for n in range(3)]
            assert [got.status for got in answers] == [200, 200, 200]
            first, second, _ = limited.arrivals
            assert second - first >= 0.2

    run(main())


def test_a_failure_is_returned_if_the_other_upstreams_are_limited() -> None:
    async def fail(req: dict[str, str], body: bytes, writer: Writer) -> None:
        writer.write(answer_bytes(req["id"], b"broken", "500 Internal Server Error"))

    async def main() -> None:
        failing, limited = RawUpstream("u1", fail), LimitedUpstream("u2")
        document = declared(route(repeatable=True, max_runs=2))
        async with running_gateway(
            document, failing, limited.server, gateways=1
        ) as gateway:
            now = asyncio.get_running_loop().time()
            gateway._upstreams.limited("u2", 0.3, now)
            got = await call(gateway, method="GET")
            assert (got.status, got.body) == (500, b"broken")
            assert not limited.arrivals

    run(main())
