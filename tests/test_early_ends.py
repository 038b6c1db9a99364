"""Answers that end with their connection while their request is still being sent."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from gooseberrydale.connection.upstream_http import UpstreamCall
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.version.declared import CallerLimits
from tests.builders_gateway import (
    MODEL,
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

SAFE = route(path_prefix="/safe/", repeatable=True, max_runs=2, name="safe")
ROUTES = declared(route(), SAFE, limits=CallerLimits(body_bytes=4_194_304))

AT_ONCE_S = 0.8
"""Well before the deadline of these routes, which is two seconds."""

UPLOAD = b"x" * 4_000_000
PART = b"a part of the answer"


async def answer(req: dict[str, str], _body: bytes, writer: Writer) -> None:
    """Answer correctly."""
    writer.write(answer_bytes(req["id"], b"whole"))


async def reset_at_once(writer: Writer) -> None:
    """Reset the connection."""
    reset(writer)


async def close_unread(writer: Writer) -> None:
    """Close the connection with unread bytes, which resets it."""
    writer.close()


async def end_then_reset(writer: Writer) -> None:
    """Close the sending side, and reset the connection a little later."""
    writer.write_eof()
    await asyncio.sleep(0.05)
    reset(writer)


ENDS: dict[str, Callable[[Writer], Awaitable[None]]] = {
    "reset": reset_at_once,
    "closed unread": close_unread,
    "ended, then reset": end_then_reset,
}


class EarlyServer:
    """Answers before it has read a request's body, and ends the connection."""

    def __init__(self, end: Callable[[Writer], Awaitable[None]]) -> None:
        self._end = end
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Serve on a free port, with a small receive buffer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=sock, limit=2_048)
        self.address = "{}:{}".format(*sock.getsockname())

    async def close(self) -> None:
        """Stop serving."""
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        request_id = head.partition("\r\nid: ")[2].partition("\r\n")[0]
        writer.write(
            f"HTTP/1.1 200 OK\r\nid: {request_id}\r\nsigned: 1\r\n\r\n".encode() + PART
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        await self._end(writer)


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("path", ["/safe/1", "/calls/1"])
def test_answer_that_ends_while_its_request_is_being_sent_is_not_complete(
    end: str, path: str
) -> None:
    """Guards against a part of an answer that is taken for all of it."""

    async def main() -> None:
        server = EarlyServer(ENDS[end])
        await server.start()
        first = RawUpstream("u1", answer)
        async with running_gateway(ROUTES, first) as gateway:
            early = record("u1", seq=2, address=server.address, **MODEL)
            gateway.directory.offer(early, asyncio.get_running_loop().time())
            async with asyncio.timeout(AT_ONCE_S):
                got = await call(gateway, path, method="POST", body=UPLOAD)
        await server.close()
        assert got.status == 502
        assert PART not in got.body

    run(main())


@pytest.mark.parametrize("end", ENDS)
def test_response_that_ends_while_its_request_is_being_sent_fails_a_call(
    end: str,
) -> None:
    async def main() -> None:
        server = EarlyServer(ENDS[end])
        await server.start()
        request = UpstreamCall(f"http://{server.address}")
        with pytest.raises(UpstreamError) as failure:
            async with asyncio.timeout(AT_ONCE_S):
                await request.open("POST", "/calls/1", body=UPLOAD)
                assert [data async for data in request.chunks()] is None
        assert failure.value.sent
        await request.close()
        await server.close()

    run(main())
