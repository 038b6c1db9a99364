"""A gateway that is overloaded itself, and the requests that it declines."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from gooseberrydale.process.cfg import GatewayCfg, NodeCfg
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.process.gateway.gateway import Gateway, gateway_record
from gooseberrydale.process.gateway.own_capacity import (
    DELAY_UNIT_S,
    MAX_UNITS,
    REPORT_INTERVAL_S,
    REPORT_RETENTION_S,
    OwnCapacity,
)
from gooseberrydale.process.gateway.slow_readers import SlowReaders
from gooseberrydale.process.http.connection_gate import ConnectionGate
from gooseberrydale.request.self_limit import MAX_DECLINED, RETRY_COST_S, OwnUse
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
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
from tests.builders_logs import logged
from tests.clock import run_paused
from tests.sidecar_harness import run

ALONE = Fleet(GatewayPeer("g1", "127.0.0.1:1", "z1"))
TICK_S = 0.02
LATE_S = 2 * RETRY_COST_S
"""Lateness of ticks that makes requests late by more than a retry costs."""

WAIT_S = 2.0


async def answer(req: dict[str, str], body: bytes, writer: Writer) -> None:
    writer.write(answer_bytes(req["id"], b"done"))


@asynccontextmanager
async def overloaded(
    upstream: RawUpstream, *, neighbours: int = 1, **settings: Any
) -> AsyncIterator[Gateway]:
    """Run a gateway that declines most requests of the route."""
    settings = {"share_capacity": True, **settings}
    async with running_gateway(declared(route()), upstream, **settings) as gateway:
        now = asyncio.get_running_loop().time()
        for number in range(neighbours):
            peer = gateway_record(NodeCfg(f"n{number}"), "127.0.0.1:9", "i1")
            gateway.directory.offer(peer, now)
        # The first calls tell the usual wait limit and the objective of the route.
        for _ in range(3):
            assert (await call(gateway, extra=f"Wait: {WAIT_S}")).status == 200
        limit = gateway._app._deps.capacity._limit
        for step in range(5):
            limit.updated(OwnUse(delay_s=1.0), now + step)
        yield gateway


async def statuses(gateway: Gateway, *extra: str, calls: int = 10) -> list[int]:
    return [
        (await call(gateway, extra="\r\n".join(extra))).status for _ in range(calls)
    ]


def test_a_declined_request_was_sent_nowhere_and_is_to_be_sent_elsewhere() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer)
        async with overloaded(upstream) as gateway:
            served = len(upstream.requests)
            got = [await call(gateway, extra=f"Wait: {WAIT_S}") for _ in range(10)]
        declined = [one for one in got if one.status == 503]
        # One more or less, as declined requests are spread evenly.
        assert abs(len(declined) - MAX_DECLINED * 10) <= 1
        assert len(upstream.requests) == served + 10 - len(declined)
        error = json_body(declined[0])["error"]
        assert (error["code"], error["not_run"]) == ("gateway_overloaded", True)
        assert 0.0 < float(declined[0].headers["retry-after"]) <= 0.1
        assert declined[0].headers["connection"] == "close"

    run(main())


@pytest.mark.parametrize(
    "extra, settings",
    [
        # Its retry, with less time left; it would not retry again.
        ([f"Wait: {WAIT_S - 0.06}"], {}),
        # The caller has a part of the stream already.
        ([f"Wait: {WAIT_S}", "Last-Event-Id: 7"], {}),
        # A retry would come back here.
        ([f"Wait: {WAIT_S}"], {"neighbours": 0}),
        # The deployment does not ask for it.
        ([f"Wait: {WAIT_S}"], {"share_capacity": False}),
        # A caller retries only within a third of its time.
        (["Wait: 0.15"], {}),
    ],
)
def test_requests_that_must_not_be_declined_are_served(
    extra: list[str], settings: dict[str, Any]
) -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", answer)
        async with overloaded(upstream, **settings) as gateway:
            assert 503 not in await statuses(gateway, *extra, calls=4)

    run(main())


def capacity(
    name: str = "g1", *, shares: bool = True, gate: ConnectionGate | None = None
) -> OwnCapacity:
    """Return the capacity of a gateway that is alone in its fleet."""
    sharing = CapacitySharing(GatewayCfg(share_capacity=shares), UpstreamSpeeds())
    gate = gate or ConnectionGate()
    return OwnCapacity(gate, SlowReaders(), sharing, lambda: ALONE, link_mbps=10.0)


def tick(tested: OwnCapacity, late_s: float, begin: float, end: float) -> None:
    """Let the event loop be late by ``late_s`` from ``begin`` to ``end``."""
    tested._limit.arrived(2, 0.4, begin)
    due_at = begin
    while due_at + late_s < end:
        tested.ticked(due_at, due_at + late_s)
        due_at += late_s + TICK_S


def test_overload_is_noticed_within_a_second_and_over_a_second_later() -> None:
    tested = capacity()
    with logged("gateway_overloaded") as lines:
        tick(tested, 0.001, 0.0, 1.0)
        assert not tested._limit.is_limiting
        tick(tested, LATE_S, 1.0, 2.0)
        assert tested._limit.is_limiting
        tick(tested, 0.001, 2.0, 3.5)
        assert not tested._limit.is_limiting
    assert [line["from_rank"] for line in lines] == [2, None]


def test_delay_that_the_neighbours_report_as_well_is_no_reason_to_decline() -> None:
    """The machines of all gateways are busy; a retry would not be faster."""
    tested, other = capacity(), capacity("g2")
    tick(other, LATE_S, 0.0, 1.0)
    tested.merge_own("g2", other.own(1.0), 1.0)
    tick(tested, LATE_S, 1.0, 1.0 + REPORT_RETENTION_S)
    assert not tested._limit.is_limiting
    # The other gateway has stopped reporting.
    tick(tested, LATE_S, 1.0 + REPORT_RETENTION_S, 4.0)
    assert tested._limit.is_limiting


def test_reports_are_few_and_bounded_and_bad_ones_are_ignored() -> None:
    tested = capacity()
    tick(tested, 60.0, 0.0, 600.0)
    assert tested.own(600.0) == bytes([MAX_UNITS])
    assert tested.own(600.0 + REPORT_INTERVAL_S / 2) == b""
    for data in (b"", b"ab", b"\xff" * 100):
        tested.merge_own("g2", data, 1.0)
    assert tested._delays_of_others(1.0) == []
    tested.merge_own("g2", b"\x07", 1.0)
    assert tested._delays_of_others(1.0) == [pytest.approx(7 * DELAY_UNIT_S)]
    assert capacity(shares=False).own(1.0) == b""


@pytest.mark.parametrize("sent_per_s, is_limiting", [(900_000, False), (1_150_000, 1)])
def test_a_link_that_answers_fill_is_noticed(
    sent_per_s: int, is_limiting: bool
) -> None:
    """Requests and answers both pass the link of 1.25 MB/s in each direction."""

    async def main() -> None:
        tested = capacity()
        sent: list[Any] = []

        async def send(message: Any) -> None:
            sent.append(message)

        counted = tested.counted(send)
        loop = asyncio.get_running_loop()
        for _ in range(100):
            await counted({"type": "http.response.body", "body": bytes(1_000)})
            tested.received(sent_per_s // 50 - 1_000, loop.time())
            await asyncio.sleep(TICK_S)
        tick(tested, 0.0, loop.time(), loop.time() + 0.1)
        assert tested._limit.is_limiting is bool(is_limiting)
        assert len(sent) == 100

    run_paused(main())


def test_nearly_used_up_descriptors_are_noticed() -> None:
    gate = ConnectionGate(max_fds=100)
    tested = capacity(gate=gate)
    gate.open = 60
    tick(tested, 0.0, 0.0, 0.5)
    assert not tested._limit.is_limiting
    gate.open = 67
    tick(tested, 0.0, 0.5, 1.0)
    assert tested._limit.is_limiting
