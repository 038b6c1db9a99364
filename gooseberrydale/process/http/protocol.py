"""Limits the size and time of a request's head (request line and headers).

uvicorn limits neither, it answers invalid HTTP in plain text, while callers expect
errors in JSON, and it sends chunks to callers of HTTP/1.0.  There is one protocol
object per connection.
"""

from __future__ import annotations

import asyncio
import uuid
from enum import IntEnum
from functools import partial
from typing import Any

import httptools
import msgspec
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from gooseberrydale.errors import (
    HEAD_TIMEOUT,
    HEAD_TOO_LARGE,
    INVALID_HTTP,
    Problem,
    problem,
)
from gooseberrydale.log_events import HeadRefused, emit
from gooseberrydale.process.error_body import error_object
from gooseberrydale.process.http.draining_close import AnswerTransport, DrainingClose
from gooseberrydale.process.http.http_1_0 import HTTP_1_0, end_normally, serve_http_1_0
from gooseberrydale.process.http.request_framing import (
    head_without_upgrade,
    is_readable,
    make_parser,
)

MAX_HEAD_BYTES = 64 * 1024
HEAD_TIMEOUT_S = 10.0
FIRST_BYTE_TIMEOUT_S = 75.0

STATUS_TEXTS = {
    400: "Bad Request",
    408: "Request Timeout",
    431: "Head Too Large",
    503: "Service Unavailable",
}


class _Reading(IntEnum):
    """What of a request is being read."""

    NOTHING = 0
    HEAD = 1
    BODY = 2


class BoundedHttpProtocol(HttpToolsProtocol):
    """uvicorn's protocol with limits on the head of each request.

    A head, and what frames a body, may have ``head_bytes`` each.  A head may take
    ``head_timeout_s`` seconds; the first byte on a new connection may take
    ``first_byte_s`` seconds.  Subclasses may override them with properties whose values
    change.
    """

    head_bytes: int = MAX_HEAD_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
    first_byte_s: float = FIRST_BYTE_TIMEOUT_S

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._received_head_bytes = 0
        self._reading = _Reading.NOTHING
        self._read_body = False
        self._unreported_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._draining: DrainingClose

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer for the first byte.

        It runs longer than that of a head, as clients may open connections in advance.
        """
        super().connection_made(transport)  # type: ignore[arg-type]
        self._draining = DrainingClose(transport)
        self._head_timer = self.loop.call_later(self.first_byte_s, transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer; let a complete answer without a length end normally."""
        self._stop_timer()
        self._draining.lost()
        if exc is None and self._has_answered_http_1_0():
            end_normally(self.transport)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse ``data`` unless the connection is being closed."""
        if self._draining.has_begun:
            self._draining.received(len(data))
            return
        before = self._reading
        self._read_body = False
        self._unset_keepalive_if_required()
        self._parse(data)
        self._count_unreported(len(data), before)

    def head_too_large(self) -> Problem:
        """Return the error for a head over the limit."""
        return problem(HEAD_TOO_LARGE, limit=self.head_bytes)

    def on_message_begin(self) -> None:
        """Start the timer and the byte count of a new head."""
        super().on_message_begin()
        if self._draining.has_begun:
            return
        self._reading = _Reading.HEAD
        self._start_head_timer()

    def on_url(self, url: bytes) -> None:
        """Add to the size of the head."""
        self._count_head_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add to the size of the head."""
        self._count_head_bytes(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Cancel the timer and pass the complete request on, unless it was refused."""
        self._stop_timer()
        self._reading = _Reading.BODY
        if self._draining.has_begun:
            return
        parser = self.parser
        method, version = parser.get_method(), parser.get_http_version()
        if not is_readable(method, version, self.headers):
            self._refuse(problem(INVALID_HTTP))
        elif not parser.should_upgrade():
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Note that a part of the body has arrived."""
        self._read_body = True
        if not self._draining.has_begun:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the request has been read."""
        self._reading = _Reading.NOTHING
        if not self._draining.has_begun and not self.parser.should_upgrade():
            super().on_message_complete()

    def on_response_complete(self) -> None:
        """Read on, unless this was the connection's last answer."""
        if self._draining.has_begun:
            self.server_state.total_requests += 1
        else:
            super().on_response_complete()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        cycle.transport = AnswerTransport(  # type: ignore[assignment]
            self.transport, self._draining, cycle
        )
        if cycle.scope["http_version"] == HTTP_1_0:
            app = partial(serve_http_1_0, app, cycle)
        super()._start_asgi_task(cycle, app)

    def _parse(self, data: bytes) -> None:
        """Parse ``data``; heads that offer another protocol are parsed once more."""
        parts: list[bytes | memoryview] = [memoryview(data)]
        while parts and not self._draining.has_begun:
            part = parts.pop(0)
            try:
                self.parser.feed_data(part)
            except httptools.HttpParserUpgrade as exc:
                # The parser has skipped the head's body and whatever follows it.
                parts[:0] = [self._head_without_upgrade(), part[exc.args[0] :]]
                self.parser = make_parser(self)
            except httptools.HttpParserError:
                self._refuse(problem(INVALID_HTTP))

    def _head_without_upgrade(self) -> bytes:
        method, version = self.parser.get_method(), self.parser.get_http_version()
        return head_without_upgrade(method, self.url, version, self.headers)

    def _has_answered_http_1_0(self) -> bool:
        cycle = self.cycle
        if cycle is None or cycle.scope["http_version"] != HTTP_1_0:
            return False
        return bool(cycle.response_complete)

    def _fails_in_body(self) -> bool:
        """Whether the only open request is still being read and not yet answered."""
        cycle = self.cycle
        return cycle.more_body and not cycle.response_started and not self.pipeline

    def _start_head_timer(self) -> None:
        self._stop_timer()
        self._received_head_bytes = 0
        self._head_timer = self.loop.call_later(self.head_timeout_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_timeout(self) -> None:
        self._refuse(problem(HEAD_TIMEOUT, limit_s=self.head_timeout_s))

    def _count_head_bytes(self, size: int) -> None:
        self._received_head_bytes += size
        if self._received_head_bytes > self.head_bytes:
            self._refuse(self.head_too_large())

    def _count_unreported(self, size: int, before: _Reading) -> None:
        """Count bytes of which the parser has reported nothing.

        It reports a field once it is complete, and the framing of a body not at all.
        """
        if self._reading is not before or self._read_body or not before:
            self._unreported_bytes = 0
            return
        self._unreported_bytes += size
        if self._unreported_bytes > self.head_bytes:
            self._refuse(self.head_too_large())

    def _refuse(self, reason: Problem) -> None:
        """Answer the current request with an error and close the connection."""
        self._stop_timer()
        if self._draining.has_begun:
            return
        if self.cycle is not None and not self.cycle.response_complete:
            if not self._fails_in_body():
                # An error can't be inserted into an answer that is being sent.
                self.transport.close()
                return
            self.cycle.disconnected = True
            self.cycle.waiting_for_100_continue = False
            self.cycle.message_event.set()
        emit(HeadRefused(reason.code, reason.status))
        request_id = uuid.uuid4().hex
        body = msgspec.json.encode(error_object(reason, request_id))
        lines = [
            f"HTTP/1.1 {reason.status} {STATUS_TEXTS[reason.status]}",
            "content-type: application/json",
            f"content-length: {len(body)}",
            f"x-request-id: {request_id}",
            "connection: close",
        ]
        if reason.retry_after_s is not None:
            lines.append(f"retry-after: {reason.retry_after_s:.3f}")
        head = "\r\n".join((*lines, "", ""))
        self.transport.write(head.encode() + body)
        self._draining.begin()
