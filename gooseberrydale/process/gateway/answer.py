"""Writes the answer of one request to its caller."""

from __future__ import annotations

import asyncio

import msgspec
from starlette.types import Send

from gooseberrydale.errors import Problem
from gooseberrydale.process.error_body import error_object
from gooseberrydale.request.gateway_call import RawHeaders

# Headers that apply to a single connection, and those that the server sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection keep-alive proxy-authenticate proxy-authorization"
        b" proxy-connection te trailer transfer-encoding upgrade"
    ).split()
)
CONNECTION_CLOSE = (b"connection", b"close")


class CallerAnswer:
    """One answer: a refusal, a complete body, or a head and chunks up to ``end``.

    ``closing`` adds ``Connection: close``, so that the caller opens its next connection
    to another gateway.
    """

    def __init__(self, send: Send, request_id: str, *, closing: bool) -> None:
        self._send = send
        self._request_id = request_id
        self._closing = closing
        self.started = False
        self.complete = False
        self.status = 0
        self.started_at = 0.0

    async def refuse(self, error: Problem, *, close: bool = False) -> None:
        """Answer a request that is not served with ``error``."""
        headers = [(b"content-type", b"application/json")]
        if error.retry_after_s is not None:
            headers.append((b"retry-after", b"%.3f" % error.retry_after_s))
        if close:
            headers.append(CONNECTION_CLOSE)
        body = msgspec.json.encode(error_object(error, self._request_id))
        await self.whole(error.status, tuple(headers), body)

    async def whole(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send an answer whose complete body is available."""
        others = tuple(h for h in headers if h[0] != b"content-length")
        length = (b"content-length", b"%d" % len(body))
        await self.start(status, (*others, length))
        await self._send_chunk(body, more=False)

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head; the body follows in chunks."""
        self.started = True
        self.started_at = asyncio.get_running_loop().time()
        self.status = status
        sent = [
            h
            for h in headers
            if h[0] not in HOP_BY_HOP_HEADERS or h == CONNECTION_CLOSE
        ]
        if self._closing and CONNECTION_CLOSE not in sent:
            sent.append(CONNECTION_CLOSE)
        await self._send(
            {"type": "http.response.start", "status": status, "headers": sent}
        )

    async def write(self, data: bytes) -> None:
        """Send one chunk of the body."""
        await self._send_chunk(data, more=True)

    async def end(self) -> None:
        """End the body."""
        await self._send_chunk(b"", more=False)

    async def _send_chunk(self, data: bytes, *, more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )
        self.complete = not more
