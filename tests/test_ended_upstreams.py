"""A request that ends each upstream that runs it, and is repeated.

What users saw: one request ended eight engines within 14 s, and nine later on; it
was answered with 502 each time.  With each engine the four to twelve streams of other
callers that it ran broke off, and half of the engines were gone at once.

The order of events: the request comes to a gateway, is sent to an engine, and the
engine ends before it has answered.  The caller repeats it, with another id and by way
of another gateway, and it is sent to the next engine.

The cause: a gateway knew only the attempt before it.  What an attempt had ended was
forgotten with its answer, and nothing said that the next one asks for the same, be it
at that gateway or at another one; so the request ran as often as it came.

The evidence: eight sends under eight ids by way of six gateways, none of them sent
twice by its gateway; and a digest of what each asks for, which is the same on all
eight, while what else ran at the upstreams was on three of them at most.
"""

from __future__ import annotations

import asyncio

import pytest

from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.request.fingerprint import fingerprint, shown
from gooseberrydale.version.ended_incarnations import QUARANTINE_AFTER
from tests.builders_ending import (
    BACK_S,
    HARMFUL,
    LEARNED_S,
    SLOW,
    Deployment,
    deployment,
)
from tests.builders_gateway import HOST, call, declared, plain, route
from tests.builders_mesh import Member, until
from tests.sidecar_bench import run

CALLS = route(max_runs=2)
STREAMS = route(
    path_prefix="/streams/",
    streamed=True,
    resumable=True,
    max_runs=2,
    name="streams",
    timeout_s=10.0,
)
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


async def end_three(fleet: Deployment, target: str = "/calls/1") -> None:
    """Send the harmful request until it has ended as many upstreams as it may."""
    number = 0
    while len(fleet.house.ended) < QUARANTINE_AFTER:
        gateway = fleet.gateways[number % len(fleet.gateways)]
        await fleet.send(gateway, HARMFUL, target)
        await asyncio.sleep(LEARNED_S)
        number += 1


async def wait_quarantined(*gateways: Gateway) -> None:
    """Wait until each of the gateways quarantines some request."""
    await until(lambda: all(one.ended_incarnations.quarantined() for one in gateways))


def test_who_is_refused_learns_at_once_why_and_that_it_has_not_run() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            await end_three(fleet)
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await call(fleet.gateways[0], body=HARMFUL, request_id="last")
            assert loop.time() - began < 0.2
            assert got.status == 503 and "retry-after" not in got.headers
            error = plain(got)["error"]
            assert (error["code"], error["not_run"]) == ("ends_upstreams", True)
            digest = shown(fingerprint("a", "POST", HOST, "/calls/1", HARMFUL))
            assert digest in error["message"] and "3 upstreams" in error["message"]
            assert len(fleet.house.harmful_at) == 3

    run(main())


def test_another_body_or_path_of_the_same_caller_is_served() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            await end_three(fleet)
            [gateway, *_] = fleet.gateways
            assert await fleet.send(gateway, b"harmless") == 200
            assert await fleet.send(gateway, HARMFUL, "/calls/2") == 502

    run(main())


def test_a_gateway_that_has_just_started_knows_what_the_others_know() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS), gateways=2) as fleet:
            await end_three(fleet)
            newcomer = await fleet.add_gateway()
            await wait_quarantined(newcomer)
            assert await fleet.send(newcomer, HARMFUL) == 503
            assert len(fleet.house.harmful_at) == 3

    run(main())


def test_gateways_tell_a_control_that_has_lost_its_memory() -> None:
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


def test_repeats_in_parallel_end_what_they_met_and_no_more() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS), upstreams=6) as fleet:
            sent = [fleet.send(one, HARMFUL) for one in fleet.gateways * 2]
            assert 200 not in await asyncio.gather(*sent)
            await wait_quarantined(*fleet.gateways)
            ended = len(fleet.house.ended)
            await asyncio.sleep(2 * BACK_S)
            again = [fleet.send(one, HARMFUL) for one in fleet.gateways * 2]
            assert set(await asyncio.gather(*again)) == {503}
            assert len(fleet.house.ended) == ended

    run(main())


def test_a_stream_that_was_there_at_each_end_is_not_blamed() -> None:
    """Its gateway sends it on after an end, and its caller goes on with it."""

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
                await asyncio.sleep(LEARNED_S)
            slow = fingerprint("a", "POST", HOST, "/streams/1", SLOW)
            harmful = fingerprint("a", "POST", HOST, "/calls/1", HARMFUL)
            await wait_quarantined(*fleet.gateways)
            assert gateway.ended_incarnations.quarantined() == (harmful,)
            assert gateway.ended_incarnations.blamed_for(slow) == ()

    run(main())


@pytest.mark.parametrize("answers_first", [False, True])
def test_streams_that_end_upstreams_are_sent_on_no_more_often_than_calls(
    answers_first: bool,
) -> None:
    async def main() -> None:
        async with deployment(declared(STREAMS), upstreams=6) as fleet:
            fleet.house.answers_first = answers_first
            await end_three(fleet, "/streams/1")
            await wait_quarantined(*fleet.gateways)
            met = len(fleet.house.harmful_at)
            assert met <= 4
            status = await fleet.send(fleet.gateways[0], HARMFUL, "/streams/1")
            assert status == 503
            assert len(fleet.house.harmful_at) == met

    run(main())
