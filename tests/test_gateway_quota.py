"""Quotas at one gateway: what a caller gets, and what upstreams are sent."""

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
from tests.sidecar_bench import run

FULL_S = 0.3
"""The one gateway is the owner of all counts once it knows another one, or after some
seconds; the bucket fills from its start."""


async def well(req: dict[str, str], body: bytes, writer: Writer) -> None:
    writer.write(answer_bytes(req["id"], b"done"))


async def refuse(req: dict[str, str], body: bytes, writer: Writer) -> None:
    head = "503 Service Unavailable"
    writer.write(answer_bytes(req["id"], b"", head, headers="not-run: 1"))


async def break_off(req: dict[str, str], body: bytes, writer: Writer) -> None:
    reset(writer)


def limited(quota: Quota | None, **fields: Any) -> Declared:
    return declared(
        route(path_prefix="/safe/", repeatable=True, max_runs=2, **fields),
        workspaces=(KeyHolder("a", (KEY,), quota=quota),),
    )


async def calls(document: Declared, count: int, *upstreams: RawUpstream) -> list[Any]:
    """What one caller gets that asks ``count`` times."""
    async with running_gateway(document, *upstreams) as gateway:
        known = asyncio.get_running_loop().time()
        gateway.directory.offer(record("gateway/other", pool="#gateways"), known)
        gateway.directory.offer(record("gateway/g1", pool="#gateways"), known)
        await asyncio.sleep(FULL_S)
        return [
            await call(gateway, "/safe/1", request_id=f"r{i}") for i in range(count)
        ]


def own_quota(per_s: float, burst: float) -> Quota:
    return Quota(per_s, burst, QuotaUnit.REQUESTS)


def test_what_is_beyond_the_quota_gets_429_and_reaches_no_upstream() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", well)
        got = await calls(limited(own_quota(4.0, 1.0)), 8, upstream)
        served = [one for one in got if one.status == 200]
        refused = [one for one in got if one.status == 429]
        assert served and refused and len(served) + len(refused) == 8
        assert len(upstream.requests) == len(served)
        for one in refused:
            assert float(one.headers["retry-after"]) > 0.0
            assert b'"over_quota"' in one.body and b"'a'" in one.body

    run(main())


@pytest.mark.parametrize("quota", [None, own_quota(1_000.0, 1_000.0)])
def test_without_a_quota_or_within_it_nothing_is_refused(quota: Quota | None) -> None:
    async def main() -> None:
        got = await calls(limited(quota), 20, RawUpstream("u1", well))
        assert [one.status for one in got] == [200] * 20

    run(main())


SENDS = {
    "answered": ((well,), 1),
    "the first one did not run it": ((refuse, refuse), 0),
    "two may have run it": ((break_off, break_off), 2),
}


@pytest.mark.parametrize("case", SENDS)
def test_each_send_that_may_have_run_counts(case: str) -> None:
    scripts, counted = SENDS[case]

    async def main() -> None:
        document = limited(own_quota(1_000.0, 1_000.0))
        upstreams = [RawUpstream(f"u{i}", one) for i, one in enumerate(scripts)]
        async with running_gateway(document, *upstreams) as gateway:
            await call(gateway, "/safe/1")
            await asyncio.sleep(0.05)
            assert gateway.quotas.spent("a") == counted

    run(main())


def test_a_caller_that_is_refused_for_another_reason_has_spent_nothing() -> None:
    async def main() -> None:
        document = limited(own_quota(1_000.0, 1_000.0), timeout_s=0.5)
        async with running_gateway(document) as gateway:
            got = await call(gateway, "/safe/1")
            assert got.status == 503
            await asyncio.sleep(0.05)
            assert gateway.quotas.spent("a") == 0

    run(main())


def test_a_table_holds_the_quotas_of_its_document() -> None:
    quota = own_quota(1.0, 1.0)
    assert RouteTable(limited(quota)).quotas == {"a": quota}
    assert RouteTable(limited(None)).quotas == {}
