"""A part of a prompt that ends every upstream that begins to answer it.

Requests with the part differ in all else, so a record of whole requests relates none of
them to another.  Sound requests have their other parts and callers.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.request.prompt_parts import parts_text
from gooseberrydale.version.ended_incarnations import QUARANTINE_AFTER
from tests.builders_ending import (
    CALLS,
    EXCHANGE_S,
    HARMFUL,
    SLOW,
    STREAMS,
    Deployment,
    deployment,
)
from tests.builders_gateway import (
    RawUpstream,
    Writer,
    call,
    declared,
    json_body,
    running_gateway,
)
from tests.builders_logs import logged
from tests.builders_mesh import until
from tests.sidecar_harness import run

DELIVERY_BOUND_S = 3.0
"""Time by which all gateways have received the fifth end of an upstream."""

REQUESTS = 14

STREAMS_TIMEOUT_S = 60.0
"""Six exchanges and six slow streams take 19.5 s on an idle machine."""


def test_requests_with_one_harmful_part_end_only_a_few_upstreams() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            for number in range(REQUESTS):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                body = HARMFUL + str(number).encode()
                await fleet.send(gateway, body, extra=f"Parts: a,bad,own{number}")
                await asyncio.sleep(EXCHANGE_S)
                sound = f"Parts: a,b{number},own{number}"
                assert await fleet.send(gateway, b"harmless", extra=sound) == 200
            fifth = fleet.pool.ended[:5][-1]
            late = [at for at in fleet.pool.harmful_at if at > fifth + DELIVERY_BOUND_S]
            assert len(late) <= 3

    run(main())


async def end_three(fleet: Deployment, target: str = "/calls/1") -> None:
    """Send prompts with the part until they have ended enough upstreams."""
    number = 0
    while len(fleet.pool.ended) < QUARANTINE_AFTER:
        gateway = fleet.gateways[number % len(fleet.gateways)]
        body = HARMFUL + str(number).encode()
        await fleet.send(gateway, body, target, extra=f"Parts: a,bad,own{number}")
        await asyncio.sleep(EXCHANGE_S)
        number += 1


async def wait_harmful(*gateways: Gateway) -> None:
    """Wait until each of the gateways knows harmful parts."""
    await until(lambda: all(g.ended_incarnations.harmful_parts for g in gateways))


def test_a_prompt_with_a_harmful_part_is_refused_at_once_and_with_the_reason() -> None:
    async def main() -> None:
        async with deployment(declared(CALLS)) as fleet:
            await end_three(fleet)
            await wait_harmful(*fleet.gateways)
            loop = asyncio.get_running_loop()
            began = loop.time()
            got = await call(
                fleet.gateways[0], body=b"new", request_id="n", extra="Parts: a,bad,own"
            )
            assert loop.time() - began < 0.2
            assert got.status == 503 and "retry-after" not in got.headers
            error = json_body(got)["error"]
            assert (error["code"], error["not_run"]) == ("part_ends_upstreams", True)
            assert "3 upstreams" in error["message"] and "part-" in error["message"]

    run(main())


def test_each_gateway_logs_which_parts_it_quarantines_and_releases() -> None:
    async def main() -> None:
        with logged("parts_quarantined") as began, logged("parts_released") as ended:
            async with deployment(declared(CALLS), gateways=2) as fleet:
                await end_three(fleet)
                await wait_harmful(*fleet.gateways)
                [group] = fleet.gateways[0].ended_incarnations.harmful_parts
                now = asyncio.get_running_loop().time()
                fleet.gateways[0].ended_incarnations.clear_parts(group.parts, now)
                await until(lambda: len(ended) == 2)
        digest = parts_text(sorted(group.parts))
        assert [line["digest"] for line in (*began, *ended)] == [digest] * 4
        assert [line["ended"] for line in began] == [list(group.ended)] * 2

    run(main())


def test_a_gateway_that_has_just_started_knows_harmful_parts_and_serves_others() -> (
    None
):
    async def main() -> None:
        async with deployment(declared(CALLS), gateways=2) as fleet:
            await end_three(fleet)
            newcomer = await fleet.add_gateway()
            await wait_harmful(newcomer)
            assert await fleet.send(newcomer, HARMFUL, extra="Parts: a,bad,o") == 503
            for extra in ("Parts: a,b,bad", "Parts: a,b,own", "Parts: bad"):
                assert await fleet.send(newcomer, b"harmless", extra=extra) == 200
            assert len(fleet.pool.harmful_at) == QUARANTINE_AFTER

    run(main())


def test_a_part_that_ends_upstreams_within_their_first_event_is_found() -> None:
    async def main() -> None:
        async with deployment(declared(STREAMS)) as fleet:
            fleet.pool.breaks_first_event = True
            await end_three(fleet, "/streams/1")
            await wait_harmful(*fleet.gateways)
            sound = "Parts: a,b,own"
            assert await fleet.send(fleet.gateways[0], SLOW, "/streams/1", sound) == 200

    run(main())


def test_prompts_at_an_upstream_that_fell_silent_are_not_blamed() -> None:
    """The gateway gives the connections up itself, once its probes have failed."""

    async def hang(req: dict[str, str], body: bytes, writer: Writer) -> None:
        await asyncio.sleep(3.0)

    async def main() -> None:
        upstream = RawUpstream("u1", hang)
        async with running_gateway(declared(STREAMS), upstream) as gateway:
            pending = asyncio.create_task(
                call(gateway, "/streams/1", extra="Parts: a,b,own")
            )
            await until(lambda: bool(upstream.requests))
            load = gateway._upstreams.load_of("u1")
            now = asyncio.get_running_loop().time()
            gateway._upstreams.ended("u1", load, now, "two probes failed")
            load.silence.abort_all()
            await pending
            ended = gateway.ended_incarnations.since(0, now).incarnations
            assert [len(item.waiting) for item in ended] == [1]
            assert not any(item.prompts for item in ended)

    run(main())


def test_streams_that_begin_between_the_ends_clear_their_parts() -> None:
    """Upstreams that end of something else leave no part quarantined."""

    async def main() -> None:
        async with deployment(declared(CALLS, STREAMS)) as fleet:
            for number in range(2 * QUARANTINE_AFTER):
                gateway = fleet.gateways[number % len(fleet.gateways)]
                body, extra = HARMFUL + str(number).encode(), f"Parts: a,bad,o{number}"
                await fleet.send(gateway, body, extra=extra)
                await asyncio.sleep(EXCHANGE_S)
                other = fleet.gateways[(number + 1) % len(fleet.gateways)]
                got = await fleet.send(other, SLOW, "/streams/1", extra)
                assert got == 200
            assert not any(g.ended_incarnations.harmful_parts for g in fleet.gateways)

    run(main(), STREAMS_TIMEOUT_S)
