"""A request that ends every upstream that runs it, and is repeated.

Guards against a failure in which one request ended eight engines within 14 s, and nine
later on, and was answered with 502 each time.  The four to twelve streams of other
callers at each engine broke off, and half of the engines were down at the same time.

The engine ended before it answered.  The caller then repeated the request under another
id through another gateway, which sent it to the next engine: eight sends under eight
ids through six gateways, none sent twice by its gateway.  A gateway that sees only its
own attempts can't relate them.  The digest of the content does: it was the same for all
eight, while no other request ran at more than three of the engines.
"""

from __future__ import annotations

import asyncio

import pytest

from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.request.fingerprint import fingerprint, fingerprint_text
from gooseberrydale.version.ended_incarnations import QUARANTINE_AFTER
from tests.builders_ending import (
    CALLS,
    EXCHANGE_S,
    HARMFUL,
    REPLACEMENT_S,
    SLOW,
    STREAMS,
    Deployment,
    deployment,
)
from tests.builders_gateway import HOST, call, declared, json_body
from tests.builders_mesh import Member, until
from tests.sidecar_harness import run

DELIVERY_BOUND_S = 3.0
"""Time by which all gateways have received the third end of an upstream."""

REPEATS = 12


def test_a_repeated_harmful_request_ends_only_a_few_upstreams() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            for number in range(REPEATS):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                await fleet.send(gateway, HARMFUL)
                await asyncio.sleep(EXCHANGE_S)
                assert await fleet.send(gateway, b"harmless") == 200
            third = fleet.pool.ended[2]
            late = [at for at in fleet.pool.harmful_at if at > third + DELIVERY_BOUND_S]
            assert len(late) <= 3

    run(main())


async def end_three(fleet: Deployment, target: str = "/calls/1") -> None:
    """Send the harmful request until it has ended enough upstreams for quarantine."""
    number = 0
    while len(fleet.pool.ended) < QUARANTINE_AFTER:
        gateway = fleet.gateways[number % len(fleet.gateways)]
        await fleet.send(gateway, HARMFUL, target)
        await asyncio.sleep(EXCHANGE_S)
        number += 1


async def wait_quarantined(*gateways: Gateway) -> None:
    """Wait until each of the gateways quarantines some request."""
    await until(lambda: all(g.ended_incarnations.quarantined() for g in gateways))


def test_a_quarantined_request_is_refused_without_delay_and_with_the_reason() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            await end_three(fleet)
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await call(fleet.gateways[0], body=HARMFUL, request_id="last")
            assert loop.time() - began < 0.2
            assert got.status == 503 and "retry-after" not in got.headers
            error = json_body(got)["error"]
            assert (error["code"], error["not_run"]) == ("ends_upstreams", True)
            digest = fingerprint_text(
                fingerprint("a", "POST", HOST, "/calls/1", HARMFUL)
            )
            assert digest in error["message"] and "3 upstreams" in error["message"]
            assert len(fleet.pool.harmful_at) == 3

    run(main())


def test_a_request_with_another_body_or_path_is_still_sent() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            await end_three(fleet)
            [gateway, *_] = fleet.gateways
            assert await fleet.send(gateway, b"harmless") == 200
            assert await fleet.send(gateway, HARMFUL, "/calls/2") == 502

    run(main())


def test_a_gateway_that_has_just_started_receives_the_quarantine() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS), gateways=2) as fleet:
            await end_three(fleet)
            newcomer = await fleet.add_gateway()
            await wait_quarantined(newcomer)
            assert await fleet.send(newcomer, HARMFUL) == 503
            assert len(fleet.pool.harmful_at) == 3

    run(main())


def test_gateways_report_again_to_a_restarted_control() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS), gateways=2) as fleet:
            await end_three(fleet)
            await wait_quarantined(*fleet.gateways)
            port = fleet.control.port
            await fleet.control.close()
            again = await Member(
                "control", "c1", incarnation=2, token="", port=port
            ).start()
            fleet.stack.push_async_callback(again.close)
            await until(lambda: len(again.acks) >= 2)
            newcomer = await fleet.add_gateway()
            await wait_quarantined(newcomer)
            assert await fleet.send(newcomer, HARMFUL) == 503

    run(main())


def test_parallel_repeats_end_no_more_upstreams_than_they_run_at() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS), upstreams=6) as fleet:
            # Requests that are sent at once may all meet at one or two upstreams.
            for _ in range(QUARANTINE_AFTER):
                sent = [fleet.send(gateway, HARMFUL) for gateway in fleet.gateways * 2]
                assert 200 not in await asyncio.gather(*sent)
                if len(fleet.pool.ended) >= QUARANTINE_AFTER:
                    break
            await wait_quarantined(*fleet.gateways)
            ended = len(fleet.pool.ended)
            assert ended >= QUARANTINE_AFTER
            await asyncio.sleep(2 * REPLACEMENT_S)
            again = [fleet.send(gateway, HARMFUL) for gateway in fleet.gateways * 2]
            assert set(await asyncio.gather(*again)) == {503}
            assert len(fleet.pool.ended) == ended

    run(main())


def test_a_stream_that_ran_at_each_ended_upstream_is_not_blamed() -> None:
    """Its gateway resumes it elsewhere after each end, and its caller continues it."""

    async def main() -> None:
        async with deployment(declared(CALLS, STREAMS), upstreams=1) as fleet:
            [gateway, *_] = fleet.gateways
            last = ""
            for _ in range(QUARANTINE_AFTER):
                extra = f"Last-Event-Id: {last}" if last else ""
                sending = fleet.send(gateway, SLOW, "/streams/1", extra)
                stream = asyncio.create_task(sending)
                await asyncio.sleep(0.3)
                await fleet.send(gateway, HARMFUL)
                assert await stream == 200
                last = str(int(last or "0") + 1)
                await asyncio.sleep(EXCHANGE_S)
            slow = fingerprint("a", "POST", HOST, "/streams/1", SLOW)
            harmful = fingerprint("a", "POST", HOST, "/calls/1", HARMFUL)
            await wait_quarantined(*fleet.gateways)
            assert gateway.ended_incarnations.quarantined() == (harmful,)
            assert gateway.ended_incarnations.blamed_for(slow) == ()

    run(main())


@pytest.mark.parametrize("answers_first", [False, True])
def test_a_harmful_stream_is_not_resumed_more_often_than_a_call_is_sent(
    answers_first: bool,
) -> None:
    async def main() -> None:
        async with deployment(declared(STREAMS), upstreams=6) as fleet:
            fleet.pool.answers_first = answers_first
            await end_three(fleet, "/streams/1")
            await wait_quarantined(*fleet.gateways)
            met = len(fleet.pool.harmful_at)
            assert met <= 4
            status = await fleet.send(fleet.gateways[0], HARMFUL, "/streams/1")
            assert status == 503
            assert len(fleet.pool.harmful_at) == met

    run(main())
