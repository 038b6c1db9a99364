"""Requests of callers of which one part never ends."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest

from gooseberrydale.process.cfg import TlsCfg
from gooseberrydale.process.http.protocol import MAX_HEAD_BYTES, BoundedHttpProtocol
from gooseberrydale.process.http.server import HttpServer

GET = b"GET /r HTTP/1.1\r\nhost: h\r\n"
POST = b"POST /r HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n4\r\nword\r\n"
ENDLESS_REQUESTS = {
    "target": (b"GET /", b"r"),
    "header name": (GET + b"x", b"x"),
    "header value": (GET + b"x: ", b"y"),
    "header lines": (GET, b"x: y\r\n"),
    "chunk size": (POST, b"0"),
    "chunk extension": (POST + b"4;", b"e"),
    "trailer value": (POST + b"0\r\nx: ", b"y"),
}
BUFFERED_BYTES = 4 * 1024 * 1024
"""What the sockets of both sides hold at most."""


@pytest.mark.parametrize("part", ENDLESS_REQUESTS)
def test_a_caller_that_sends_without_end_is_refused(part: str) -> None:
    """Guards against heads and framing that are held until their time limit."""
    begin, repeated = ENDLESS_REQUESTS[part]
    data = repeated * (16_384 // len(repeated))

    async def main() -> None:
        async def app(_scope: Any, receive: Any, _send: Any) -> None:
            while (await receive()).get("more_body"):
                pass

        http = HttpServer(app, "127.0.0.1:0", TlsCfg(), BoundedHttpProtocol)
        await http.start()
        host, _, port = http.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(begin)
        sent = 0
        with contextlib.suppress(OSError):
            while sent < 256 * MAX_HEAD_BYTES:
                writer.write(data)
                await writer.drain()
                sent += len(data)
                await asyncio.sleep(0.001)
        assert sent < MAX_HEAD_BYTES + BUFFERED_BYTES
        writer.close()
        await http.close(0.1)

    asyncio.run(main())
