"""Answers to HTTP/1.0 requests, whose callers do not know chunked encoding.

The body of an answer without a length ends with its connection.  An answer that is cut
off must not end in the same way: its connection is reset, also if the process is
killed.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

from starlette.types import ASGIApp, Message, Receive, Scope, Send
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

HTTP_1_0 = "1.0"

# Values of the socket option SO_LINGER: whether it is on, and a time in seconds.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)


async def serve_http_1_0(
    app: ASGIApp,
    cycle: RequestResponseCycle,
    scope: Scope,
    receive: Receive,
    send: Send,
) -> None:
    """Call ``app`` and send its answer without chunks.

    The connection will be reset when it closes, unless ``end_normally`` is called.
    """
    is_sized = False

    async def send_unchunked(message: Message) -> None:
        nonlocal is_sized
        if message["type"] == "http.response.start":
            is_sized = any(name == b"content-length" for name, _ in message["headers"])
            if not is_sized:
                cycle.chunked_encoding = False
                _set_linger(cycle.transport, _RESET_ON_CLOSE)
        elif not is_sized:
            # The server requires each answer to have the length that it expects.
            cycle.expected_content_length = len(message.get("body", b""))
        await send(message)

    await app(scope, receive, send_unchunked)


def end_normally(transport: asyncio.BaseTransport) -> None:
    """Let the connection end instead of being reset when it closes."""
    _set_linger(transport, _END_ON_CLOSE)


def _set_linger(transport: asyncio.BaseTransport, value: bytes) -> None:
    sock: Any = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
