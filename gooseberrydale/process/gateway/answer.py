"""Writes the answer to one caller; lives for one request."""

from __future__ import annotations

import asyncio

import msgspec
from starlette.types import Send

from gooseberrydale.errors import Problem
from gooseberrydale.process.error_body import error_object
from gooseberrydale.request.gateway_call import RawHeaders

# Headers that concern one connection alone, and those that the server sets itself.
HOP_HEADERS = frozenset(
    (
        b"connection keep-alive proxy-authenticate proxy-authorization"
        b" proxy-connection te trailer transfer-encoding upgrade"
    ).split()
)
CLOSE = (b"connection", b"close")


class CallerAnswer:
    """One answer: a refusal, a whole body, or a head and parts up to ``end``.

    ``closing`` asks the caller to open its next connection elsewhere.
    """

    def __init__(self, send: Send, request_id: str, *, closing: bool) -> None:
        self._send = send
        self._request_id = request_id
        self._closing = closing
        self.started = False
        self.complete = False
        self.status = 0
        self.started_at = 0.0

    async def refuse(self, why: Problem, *, close: bool = False) -> None:
        """Give the final answer to a request that is not served."""
        headers = [(b"content-type", b"application/json")]
        if why.retry_after_s is not None:
            headers.append((b"retry-after", b"%.3f" % why.retry_after_s))
        if close:
            headers.append(CLOSE)
        body = msgspec.json.encode(error_object(why, self._request_id))
        await self.whole(why.status, tuple(headers), body)

    async def whole(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Give an answer whose body is known."""
        kept = tuple(h for h in headers if h[0] != b"content-length")
        size = (b"content-length", b"%d" % len(body))
        await self.start(status, (*kept, size))
        await self._part(body, more=False)

    async def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head; parts of the body follow."""
        self.started = True
        self.started_at = asyncio.get_running_loop().time()
        self.status = status
        sent = [h for h in headers if h[0] not in HOP_HEADERS or h == CLOSE]
        if self._closing and CLOSE not in sent:
            sent.append(CLOSE)
        await self._send(
            {"type": "http.response.start", "status": status, "headers": sent}
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._part(data, more=True)

    async def end(self) -> None:
        """The body is whole."""
        await self._part(b"", more=False)

    async def _part(self, data: bytes, *, more: bool) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )
        self.complete = not more
