"""Callers of HTTP/1.0, for whom an answer without a length ends with its connection."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import pytest

from gooseberrydale.process.gateway.gateway import Gateway
from tests.builders_gateway import (
    HOST,
    KEY,
    RawUpstream,
    Writer,
    answer_bytes,
    chunk,
    declared,
    event,
    reset,
    route,
    running_gateway,
    stream_head,
)
from tests.builders_streams import WHOLE, stream_in
from tests.sidecar_harness import run

STREAM = route(path_prefix="/streams/", streamed=True, name="streams")


@asynccontextmanager
async def open_call(
    gateway: Gateway, target: str
) -> AsyncIterator[asyncio.StreamReader]:
    """Send a request of HTTP/1.0 on a connection of its own."""
    host, _, port = gateway.addresses["http"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"GET {target} HTTP/1.0", f"Host: {HOST}", "Id: r1", f"Key: {KEY}"]
    writer.write("\r\n".join((*lines, "", "")).encode())
    try:
        yield reader
    finally:
        writer.close()


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return (await reader.readuntil(b"\r\n\r\n")).lower()


@pytest.mark.parametrize("framing", ["connection", "length", "chunked"])
def test_stream_is_sent_without_chunks_and_ends_with_its_connection(
    framing: str,
) -> None:
    async def main() -> None:
        upstream = RawUpstream("u1", stream_in(framing, WHOLE))
        async with running_gateway(declared(STREAM), upstream) as gateway:
            async with open_call(gateway, "/streams/1") as reader:
                head = await read_head(reader)
                assert b" 200 " in head and b"connection: close" in head
                assert (
                    b"transfer-encoding" not in head and b"content-length" not in head
                )
                assert await reader.read() == WHOLE

    run(main())


def test_large_stream_is_delivered_before_its_connection_ends() -> None:
    large = b"data: " + b"x" * 100_000 + b"\n\n"

    async def main() -> None:
        upstream = RawUpstream("u1", stream_in("chunked", large * 100))
        async with running_gateway(declared(STREAM), upstream) as gateway:
            async with open_call(gateway, "/streams/1") as reader:
                await read_head(reader)
                await asyncio.sleep(0.2)
                assert len(await reader.read()) == len(large) * 100

    run(main())


def test_cut_stream_ends_with_a_reset() -> None:
    async def cut(req: dict[str, str], body: bytes, writer: Writer) -> None:
        writer.write(stream_head(req["id"]) + chunk(event(1)))
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)

    async def main() -> None:
        upstream = RawUpstream("u1", cut)
        async with running_gateway(declared(STREAM), upstream) as gateway:
            async with open_call(gateway, "/streams/1") as reader:
                await read_head(reader)
                with pytest.raises(ConnectionResetError):
                    await reader.read()

    run(main())


def test_stream_that_the_shutdown_cuts_ends_with_a_reset() -> None:
    async def endless(req: dict[str, str], body: bytes, writer: Writer) -> None:
        writer.write(stream_head(req["id"]) + chunk(event(1)))
        await asyncio.sleep(60.0)

    async def main() -> None:
        upstream = RawUpstream("u1", endless)
        async with AsyncExitStack() as stack:
            async with running_gateway(declared(STREAM), upstream) as gateway:
                opened = open_call(gateway, "/streams/1")
                reader = await stack.enter_async_context(opened)
                await read_head(reader)
                assert await reader.readexactly(len(event(1))) == event(1)
            with pytest.raises(ConnectionResetError):
                await reader.read()

    run(main())


def test_answer_of_known_length_keeps_it() -> None:
    async def answer(req: dict[str, str], body: bytes, writer: Writer) -> None:
        writer.write(answer_bytes(req["id"], b"done"))

    async def main() -> None:
        upstream = RawUpstream("u1", answer)
        async with running_gateway(declared(route()), upstream) as gateway:
            async with open_call(gateway, "/calls/1") as reader:
                assert b"content-length: 4" in await read_head(reader)
                assert await reader.read() == b"done"

    run(main())
