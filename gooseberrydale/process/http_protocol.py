"""Bounds what a caller may send before its request is even known.

Lives as long as one HTTP connection.  The server library limits neither the size of
a request's head nor the time that it takes; and it answers what is no HTTP in plain
text, where callers expect the interface's JSON.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import Any

import msgspec
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from gooseberrydale.errors import (
    HEAD_TIMEOUT,
    HEAD_TOO_LARGE,
    INVALID_HTTP,
    Problem,
    problem,
)
from gooseberrydale.process.error_body import error_object

MAX_HEAD_BYTES = 64 * 1024
HEAD_TIMEOUT_S = 10.0
FIRST_BYTE_S = 75.0

STATUS_TEXTS = {400: "Bad Request", 408: "Request Timeout", 431: "Head Too Large"}


class BoundedHttpProtocol(HttpToolsProtocol):
    """The library's protocol with bounds on the head of each request.

    Bounds are in bytes and seconds; a subclass may change them while it runs.
    """

    head_bytes: int = MAX_HEAD_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
    first_byte_s: float = FIRST_BYTE_S

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for the first byte; clients may open connections early."""
        super().connection_made(transport)  # type: ignore[arg-type]
        self._head_timer = self.loop.call_later(self.first_byte_s, transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse ``data`` unless the connection was refused already."""
        if not self.transport.is_closing():
            super().data_received(data)

    def on_message_begin(self) -> None:
        """A head begins."""
        super().on_message_begin()
        self._expect_head()

    def on_url(self, url: bytes) -> None:
        """Count a part of the head."""
        self._count(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a part of the head."""
        self._count(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """The head is whole: hand the request on unless it was refused."""
        self._stop_timer()
        if not self.transport.is_closing():
            super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Answer what is no HTTP."""
        self._refuse(problem(INVALID_HTTP))

    def _breaks_in_body(self) -> bool:
        """Whether the only open request is read still, with no answer begun."""
        cycle = self.cycle
        return cycle.more_body and not cycle.response_started and not self.pipeline

    def _expect_head(self) -> None:
        self._stop_timer()
        self._head_bytes = 0
        self._head_timer = self.loop.call_later(self.head_timeout_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_timeout(self) -> None:
        self._refuse(problem(HEAD_TIMEOUT, limit_s=self.head_timeout_s))

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self.head_bytes and not self.transport.is_closing():
            self._refuse(problem(HEAD_TOO_LARGE, limit=self.head_bytes))

    def _refuse(self, why: Problem) -> None:
        """Write the final answer to a connection whose request is not known."""
        self._stop_timer()
        if self.cycle is not None and not self.cycle.response_complete:
            if not self._breaks_in_body():
                # Nothing may stand in the middle of an answer that runs.
                self.transport.close()
                return
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        request_id = uuid.uuid4().hex
        body = msgspec.json.encode(error_object(why, request_id))
        head = (
            f"HTTP/1.1 {why.status} {STATUS_TEXTS[why.status]}\r\n"
            "content-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
            f"x-request-id: {request_id}\r\n"
            "connection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.transport.close()
