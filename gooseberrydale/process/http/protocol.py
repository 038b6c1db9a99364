"""Limits the size and time of a request's head, and what each connection holds.

uvicorn limits neither, it reads requests that are sent ahead without limit, it answers
invalid HTTP in plain text, while callers expect errors in JSON, and it sends chunks to
callers of HTTP/1.0.  There is one protocol object per connection.
"""

from __future__ import annotations

import asyncio
import uuid
from collections import deque
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
    CLIENTS_HOLD_TOO_MUCH,
    HEAD_TIMEOUT,
    HEAD_TOO_LARGE,
    INVALID_HTTP,
    Problem,
    problem,
)
from gooseberrydale.log_events import HeadRefused, emit
from gooseberrydale.process.error_body import error_object
from gooseberrydale.process.http.client_account import RETRY_AFTER_S, ClientAccount
from gooseberrydale.process.http.draining_close import (
    DISCARD_BYTES,
    AnswerTransport,
    DrainingClose,
)
from gooseberrydale.process.http.http_1_0 import HTTP_1_0, end_normally, serve_http_1_0
from gooseberrydale.process.http.listeners import (
    LARGE_RECEIVE_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    enlarge_receive_buffer,
)
from gooseberrydale.process.http.message_ends import MessageEnds
from gooseberrydale.process.http.reading_flow import ReadingFlow
from gooseberrydale.process.http.request_framing import (
    head_without_upgrade,
    is_readable,
    make_parser,
)

MAX_HEAD_BYTES = 64 * 1024
HEAD_TIMEOUT_S = 10.0
FIRST_BYTE_TIMEOUT_S = 75.0

READ_BYTES = 64 * 1024
"""Most bytes that are read from a socket at once, and kept of requests sent ahead."""

PIECES_AT_ONCE = 128
"""Most chunks and header fields that are read at once, as each takes far more time than
its bytes: less is read at a time from a connection that sends more of them."""

MIN_READ_BYTES = 256

FIELD_BYTES = 200
"""Memory of a header field beside its text."""

REQUEST_BYTES = 4 * 1024
"""Memory of the objects of a request."""

CONNECTION_BYTES = 12 * 1024
"""Memory of the objects of a connection."""

TLS_CONNECTION_BYTES = 64 * 1024
"""The same with TLS, which has buffers of its own."""

BODY_COPIES = 2
"""A body is held as it was read, and in the buffer from which it is passed on."""

UNREAD_COPIES = 6
"""While a client doesn't read, twice as much as it left waits in the queue of the
upstream's connection, and three times as much in the kernel behind that."""

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

    It reads one request at a time and reports to ``clients`` what it holds.  A head,
    and what frames a body, may have ``head_bytes`` each.  A head may take
    ``head_timeout_s`` seconds; the first byte on a new connection may take
    ``first_byte_s`` seconds.  Subclasses may override them with properties whose values
    change.
    """

    flow: ReadingFlow
    head_bytes: int = MAX_HEAD_BYTES
    head_timeout_s: float = HEAD_TIMEOUT_S
    first_byte_s: float = FIRST_BYTE_TIMEOUT_S

    def __init__(self, *args: Any, clients: ClientAccount, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._clients = clients
        self._ends = MessageEnds()
        self._ahead = b""
        self._head_cost = 0
        self._body_bytes = 0
        self._discarded_bytes = 0
        self._receive_buffer = RECEIVE_BUFFER_BYTES
        self._pieces = 0
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
        self.flow = ReadingFlow(self.transport)
        self._draining = DrainingClose(transport)
        # Whatever remains of an answer is counted: its client doesn't read it.  Over
        # TLS a limit of 0 would also pause with an empty buffer.
        high = int(self.scheme == "https")
        self.transport.set_write_buffer_limits(high=high, low=0)
        self._read_at_most(READ_BYTES)
        self._head_timer = self.loop.call_later(self.first_byte_s, transport.close)
        is_secure = self.scheme == "https"
        size = TLS_CONNECTION_BYTES if is_secure else CONNECTION_BYTES
        self._clients.opened(self, size)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer; let a complete answer without a length end normally."""
        self._stop_timer()
        self._draining.lost()
        self._clients.closed(self)
        self._ahead = b""
        if exc is None and self._has_answered_http_1_0():
            end_normally(self.transport)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse ``data`` unless the connection is being closed."""
        if self._draining.has_begun:
            self._draining.received(len(data))
            return
        if self._draining.has_dropped:
            self._discard(len(data))
            return
        self._unset_keepalive_if_required()
        if self._is_answering:
            self._keep_ahead(self._ahead + data)
        else:
            self._read(data)
        self._report_held()

    def pause_writing(self) -> None:
        """Count what the client has not read of the answer."""
        super().pause_writing()
        self._report_held()

    def resume_writing(self) -> None:
        """The client has read the answer so far."""
        super().resume_writing()
        self._report_held()

    def refuse_held(self) -> None:
        """Free what is held for the client, but serve a request that was passed on."""
        if self.flow.write_paused:
            self.transport.abort()
        elif self._is_answering:
            self._drop_ahead()
        else:
            self._refuse(self._held_too_much())

    def close_waiting(self) -> None:
        """Close the connection; a request that is being read is refused."""
        if self._reading is not _Reading.NOTHING:
            self._refuse(self._held_too_much())
        elif self.scheme == "https" and not self.transport.get_write_buffer_size():
            # A close would wait for the client.
            self.transport.abort()
        else:
            self.transport.close()

    @property
    def largest_body(self) -> int:
        """Most bytes of a body that the application reads, 0 if it is not known."""
        return 0

    def head_too_large(self) -> Problem:
        """Return the error for a head over the limit."""
        return problem(HEAD_TOO_LARGE, limit=self.head_bytes)

    def on_message_begin(self) -> None:
        """Start the timer and the byte count of a new head."""
        super().on_message_begin()
        self._head_cost = self._body_bytes = self._discarded_bytes = 0
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
        self._head_cost += FIELD_BYTES
        self._pieces += 1
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
            announced = self._ends.head_complete(self.headers)
            if self._has_room(announced):
                super().on_headers_complete()
                self._expect_body(announced)
            else:
                self._refuse(self._held_too_much())

    def on_body(self, body: bytes) -> None:
        """Count a part of the body; one that is answered already is discarded."""
        self._read_body = True
        if self._draining.has_begun:
            return
        if self._has_answer:
            self._discard(len(body))
            return
        self._pieces += 1
        self._body_bytes += len(body)
        self._expect_body(self._body_bytes)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the request has been read."""
        self._reading = _Reading.NOTHING
        self._ends.message_complete()
        if self._draining.has_begun or self.parser.should_upgrade():
            return
        if self._body_bytes and not self._has_room(self._body_bytes):
            # The application has not got the end of the body, so nothing has run.
            self._refuse(self._held_too_much())
            return
        super().on_message_complete()
        if self._is_answering:
            self._clients.serves(self)

    def on_response_complete(self) -> None:
        """Read on, unless this was the connection's last answer."""
        self._body_bytes = 0
        # A cycle that has ended is only freed by a later collection of garbage.
        self.cycle.body = bytearray()
        self._clients.waits(self)
        if self._draining.has_begun:
            self.server_state.total_requests += 1
        else:
            super().on_response_complete()
            self._read_ahead()
        self._report_held()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        cycle.transport = AnswerTransport(  # type: ignore[assignment]
            self.transport, self._draining, cycle
        )
        if cycle.scope["http_version"] == HTTP_1_0:
            app = partial(serve_http_1_0, app, cycle)
        super()._start_asgi_task(cycle, app)

    @property
    def _has_answer(self) -> bool:
        """Whether the last request is answered, also if its body still arrives."""
        return self.cycle is not None and bool(self.cycle.response_complete)

    @property
    def _is_answering(self) -> bool:
        """Whether a whole request has been read that is not yet answered."""
        cycle = self.cycle
        return cycle is not None and not (cycle.more_body or cycle.response_complete)

    def _read(self, data: bytes) -> None:
        before = self._reading
        self._read_body = False
        self._pieces = 0
        size = self._parse(data)
        self._count_unreported(size, before)
        if self._pieces > PIECES_AT_ONCE:
            self._read_at_most(len(data) * PIECES_AT_ONCE // self._pieces)
        elif self._reading is _Reading.NOTHING:
            self._read_at_most(READ_BYTES)

    def _read_at_most(self, size: int) -> None:
        """Set how many bytes are read at once; asyncio offers it without TLS."""
        if hasattr(self.transport, "max_size"):
            self.transport.max_size = max(MIN_READ_BYTES, size)

    def _parse(self, data: bytes) -> int:
        """Parse ``data`` up to the end of a request; keep the rest until its answer.

        Returns how many bytes were parsed.  A head that offers another protocol is
        parsed once more.
        """
        parts = deque([memoryview(data)])
        while parts and not self._draining.has_begun:
            if self._is_answering:
                self._keep_ahead(b"".join(parts))
                return len(data) - len(self._ahead)
            part = parts.popleft()
            size = self._ends.section(part)
            if size < len(part):
                parts.appendleft(part[size:])
            try:
                self.parser.feed_data(part[:size])
            except httptools.HttpParserUpgrade as exc:
                # The parser has skipped the head's body and whatever follows it.
                if exc.args[0] < size:
                    parts.appendleft(part[exc.args[0] : size])
                parts.appendleft(memoryview(self._head_without_upgrade()))
                self.parser = make_parser(self)
                self._ends.message_complete()
            except httptools.HttpParserError:
                self._refuse(problem(INVALID_HTTP))
        return len(data)

    def _keep_ahead(self, data: bytes) -> None:
        """Keep what was sent ahead of an answer; read no more if that is much."""
        self._ahead = data
        if len(data) >= READ_BYTES:
            self.flow.hold()

    def _read_ahead(self) -> None:
        """Read the next request that was sent ahead."""
        data, self._ahead = self._ahead, b""
        self.flow.release()
        if data and not self._draining.has_begun:
            self._unset_keepalive_if_required()
            self._read(data)

    def _drop_ahead(self) -> None:
        """Drop what was sent ahead: the current answer becomes the last one."""
        self._draining.has_dropped = True
        self.cycle.keep_alive = False
        self._ahead = b""
        self.flow.release()
        self._report_held()

    def _discard(self, size: int) -> None:
        """Count bytes that are read and dropped; they may not go on without end."""
        self._discarded_bytes += size
        if self._discarded_bytes <= DISCARD_BYTES:
            return
        if self._is_answering:
            self.transport.abort()
        else:
            self._draining.begin()

    def _expect_body(self, size: int) -> None:
        """Let more bytes arrive between two reads of a large body."""
        if size <= READ_BYTES or self._receive_buffer == LARGE_RECEIVE_BUFFER_BYTES:
            return
        self._receive_buffer = LARGE_RECEIVE_BUFFER_BYTES
        enlarge_receive_buffer(self.transport.get_extra_info("socket"))

    def _has_room(self, body_bytes: int) -> bool:
        """Whether the request can be held with a body of that size.

        The application refuses a body that is larger than it reads.
        """
        size = self._received_head_bytes + self._head_cost
        if body_bytes <= self.largest_body or not self.largest_body:
            size += body_bytes * BODY_COPIES
        return self._clients.has_room(size)

    def _held_too_much(self) -> Problem:
        return problem(CLIENTS_HOLD_TOO_MUCH, retry_after_s=RETRY_AFTER_S)

    def _report_held(self) -> None:
        """Report to the account what this connection holds."""
        if self._draining.has_begun:
            self._clients.hold(self, 0, 0)
            return
        unread = 0
        if self.flow.write_paused:
            unread = self.transport.get_write_buffer_size() * UNREAD_COPIES
        is_paused = self.flow.read_paused or self._reading is _Reading.BODY
        waiting = self._receive_buffer if is_paused else 0
        request = self._received_head_bytes + self._head_cost
        request += self._body_bytes * BODY_COPIES
        if self._reading or self._is_answering:
            request += REQUEST_BYTES
        else:
            request = 0
        free = len(self._ahead) + waiting + unread
        is_refusable = bool(unread) or not self._is_answering
        self._clients.hold(
            self, request + free, free + (request if is_refusable else 0)
        )

    def _head_without_upgrade(self) -> bytes:
        method, version = self.parser.get_method(), self.parser.get_http_version()
        return head_without_upgrade(method, self.url, version, self.headers)

    def _has_answered_http_1_0(self) -> bool:
        return self._has_answer and self.cycle.scope["http_version"] == HTTP_1_0

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
        if self._has_answer and self._reading is _Reading.BODY:
            # Another answer would belong to no request.
            self._draining.begin()
            self._report_held()
            return
        if self.cycle is not None and not self.cycle.response_complete:
            if not self._fails_in_body():
                # An error can't be inserted into an answer that is being sent.
                self.transport.close()
                return
            self.cycle.disconnected = True
            self.cycle.body = bytearray()
            self.cycle.waiting_for_100_continue = False
            self.cycle.message_event.set()
        if reason.code != CLIENTS_HOLD_TOO_MUCH.code:
            # The account reports those, once for many.
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
        self._report_held()
