"""What a gateway reads of bodies, and which of them it refuses unread or too late."""

from __future__ import annotations

import asyncio
import gc

import pytest

from gooseberrydale.process.gateway.gateway import Gateway
from gooseberrydale.process.gateway.routed_request import RoutedRequest
from tests.builders_gateway import (
    HOST,
    KEY,
    RawUpstream,
    ReceivedAnswer,
    Writer,
    answer_bytes,
    declared,
    read_answer,
    route,
    running_gateway,
)
from tests.sidecar_harness import run

LIMIT = 1_000
HEAD = f"POST /calls/1 HTTP/1.1\r\nHost: {HOST}\r\nId: r1\r\nKey: {KEY}\r\n"
HEAD += "Connection: close\r\n"
CHUNK = b"1\r\nx\r\n"


async def echo(req: dict[str, str], body: bytes, writer: Writer) -> None:
    writer.write(answer_bytes(req["id"], body))


async def send(gateway: Gateway, framing: str, *parts: bytes) -> ReceivedAnswer:
    """Send a request whose body arrives in ``parts``, and return the answer."""
    host, _, port = gateway.addresses["http"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"{HEAD}{framing}\r\n\r\n".encode())
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.01)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


def test_an_announced_body_over_the_limit_is_refused_unread() -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", echo)
        async with running_gateway(declared(route()), upstream) as gateway:
            got = await send(gateway, f"Content-Length: {LIMIT + 1}")
        assert (got.status, upstream.requests) == (413, [])

    run(main())


@pytest.mark.parametrize("size, status", [(LIMIT, 200), (LIMIT + 1, 413)])
def test_a_body_in_pieces_is_passed_on_whole_up_to_the_limit(
    size: int, status: int
) -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", echo)
        async with running_gateway(declared(route()), upstream) as gateway:
            half = CHUNK * (size // 2)
            rest = CHUNK * (size - size // 2)
            framing = "Transfer-Encoding: chunked"
            got = await send(gateway, framing, half, rest, b"0\r\n\r\n")
        assert got.status == status
        assert status != 200 or got.body == b"x" * size

    run(main())


def test_a_body_that_does_not_end_in_the_requests_time_gets_408() -> None:
    """Guards against bodies that are held although nobody can be answered any more."""

    async def main() -> None:
        upstream = RawUpstream("u1", echo)
        quick = declared(route(timeout_s=0.2))
        async with running_gateway(quick, upstream) as gateway:
            got = await send(gateway, "Content-Length: 10", b"x" * 9)
        assert (got.status, upstream.requests) == (408, [])

    run(main())


def test_the_body_of_an_answered_request_is_freed_at_once() -> None:
    """Guards against reference cycles: garbage is collected by number, not by size."""

    async def main() -> None:
        upstream = RawUpstream("u1", echo)
        async with running_gateway(declared(route()), upstream) as gateway:
            gc.collect()
            gc.disable()
            try:
                for _ in range(3):
                    got = await send(gateway, "Content-Length: 900", b"x" * 900)
                    assert got.status == 200
                await asyncio.sleep(0.1)
                kept = [o for o in gc.get_objects() if isinstance(o, RoutedRequest)]
                assert not kept
            finally:
                gc.enable()

    run(main())
