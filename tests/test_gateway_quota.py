"""Quotas at one gateway: the answers to callers and the requests at upstreams."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gooseberrydale.version.declared import Declared, KeyHolder
from gooseberrydale.version.quotas.quota import Quota, QuotaUnit
from gooseberrydale.version.route_table import RouteTable
from tests.builders_gateway import (
    KEY,
    RawUpstream,
    Writer,
    answer_bytes,
    call,
    declared,
    record,
    reset,
    route,
    running_gateway,
)
from tests.sidecar_harness import run

BUCKET_FILL_S = 0.3
"""Time for the bucket to fill.  The gateway owns all counts as soon as it has received
another gateway's record, or else after some seconds; then the bucket starts to fill."""


async def answer_correctly(req: dict[str, str], body: bytes, writer: Writer) -> None:
    writer.write(answer_bytes(req["id"], b"done"))


async def refuse(req: dict[str, str], body: bytes, writer: Writer) -> None:
    head = "503 Service Unavailable"
    writer.write(answer_bytes(req["id"], b"", head, headers="not-run: 1"))


async def reset_connection(req: dict[str, str], body: bytes, writer: Writer) -> None:
    reset(writer)


def limited(quota: Quota | None, **fields: Any) -> Declared:
    return declared(
        route(path_prefix="/safe/", repeatable=True, max_runs=2, **fields),
        workspaces=(KeyHolder("a", (KEY,), quota=quota),),
    )


async def calls(document: Declared, count: int, *upstreams: RawUpstream) -> list[Any]:
    """Return the answers to ``count`` requests of one caller."""
    async with running_gateway(document, *upstreams) as gateway:
        now = asyncio.get_running_loop().time()
        gateway.directory.offer(record("gateway/other", pool="#gateways"), now)
        gateway.directory.offer(record("gateway/g1", pool="#gateways"), now)
        await asyncio.sleep(BUCKET_FILL_S)
        return [
            await call(gateway, "/safe/1", request_id=f"r{i}") for i in range(count)
        ]


def own_quota(per_s: float, burst: float) -> Quota:
    return Quota(per_s, burst, QuotaUnit.REQUESTS)


def test_request_over_quota_gets_429_and_reaches_no_upstream() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer_correctly)
        got = await calls(limited(own_quota(4.0, 1.0)), 8, upstream)
        served = [answer for answer in got if answer.status == 200]
        refused = [answer for answer in got if answer.status == 429]
        assert served and refused and len(served) + len(refused) == 8
        assert len(upstream.requests) == len(served)
        for answer in refused:
            assert float(answer.headers["retry-after"]) > 0.0
            assert b'"over_quota"' in answer.body and b"'a'" in answer.body

    run(main())


@pytest.mark.parametrize("quota", [None, own_quota(1_000.0, 1_000.0)])
def test_nothing_is_refused_without_quota_or_within_it(quota: Quota | None) -> None:
    async def main() -> None:
        got = await calls(limited(quota), 20, RawUpstream("u1", answer_correctly))
        assert [answer.status for answer in got] == [200] * 20

    run(main())


SENDS = {
    "answered": ((answer_correctly,), 1),
    "the first one did not run it": ((refuse, refuse), 0),
    "two may have run it": ((reset_connection, reset_connection), 2),
}


@pytest.mark.parametrize("case", SENDS)
def test_each_send_that_may_have_run_is_charged(case: str) -> None:
    scripts, charged = SENDS[case]

    async def main() -> None:
        document = limited(own_quota(1_000.0, 1_000.0))
        upstreams = [RawUpstream(f"u{i}", script) for i, script in enumerate(scripts)]
        async with running_gateway(document, *upstreams) as gateway:
            await call(gateway, "/safe/1")
            await asyncio.sleep(0.05)
            assert gateway.quotas.spent("a") == charged

    run(main())


def test_request_refused_for_another_reason_is_not_charged() -> None:
    async def main() -> None:
        document = limited(own_quota(1_000.0, 1_000.0), timeout_s=0.5)
        async with running_gateway(document) as gateway:
            got = await call(gateway, "/safe/1")
            assert got.status == 503
            await asyncio.sleep(0.05)
            assert gateway.quotas.spent("a") == 0

    run(main())


def test_route_table_holds_the_quotas_of_its_document() -> None:
    quota = own_quota(1.0, 1.0)
    assert RouteTable(limited(quota)).quotas == {"a": quota}
    assert RouteTable(limited(None)).quotas == {}
