"""A persistent HTTP/1.1 connection to an upstream, for one request at a time.

The upstream is not trusted to follow the protocol: a response may arrive late, twice,
without a length or before the request has been read.  A connection is therefore reused
only if its last response was complete, the whole request has been written to the
socket, and nothing has arrived since.  httptools parses the responses.  No request is
ever sent twice.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass
from enum import Enum

import httptools

from gooseberrydale.connection.response_bounds import FORWARDED, ResponseBounds
from gooseberrydale.connection.response_status import is_status
from gooseberrydale.connection.tcp import (
    enable_keepalive,
    has_failed,
    limit_receive_buffer,
    set_unacked_timeout,
)
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.request.gateway_call import RawHeaders
from gooseberrydale.request.silence_limit import SilenceLimit

CONNECT_TIMEOUT_S = 0.3
"""Time limit for opening a connection.  It is ten times a round trip and the handshake
of a busy upstream, and leaves time to try another upstream within the objective of most
requests.  Only time in which the event loop runs counts: if the loop stalls for longer
while the connection is established, the upstream must not be considered dead, because
all its streams would be aborted."""

DEFAULT_IDLE_S = 0.3
"""Assumed idle time of an upstream without a ``Keep-Alive`` header.  It may be less
than a second, which the header can't state because it counts whole seconds."""

IDLE_MARGIN_S = 0.4
"""Reuse of a connection ends this long before its upstream would close it: the time
that a request may take to arrive on a busy network."""

HIGH_WATER_BYTES = 16 * 1024
"""Reading pauses while more body bytes than this are buffered for the caller: a few
answers."""

READ_BYTES = 16 * 1024
"""Most bytes that are read at once, also beyond the mark; asyncio reads 256 KiB."""

RECEIVE_BUFFER_BYTES = 64 * 1024
"""Most bytes that wait unread in the kernel while reading pauses."""

PARSED_BYTES = 64 * 1024
"""Most bytes that are parsed before the bounds are checked again."""

LARGE_BODY_BYTES = 64 * 1024
"""A body over this size is written apart from its head, as joining them copies it."""

NO_BODY_STATUSES = frozenset({204, 304})
MAX_SKIPPED_RESPONSES = 4
"""How many responses to other requests are skipped before the connection fails."""


class Framing(Enum):
    """What marks the end of a response's body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"
    """The end of the connection, which is also that of a body that was cut off."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status, headers (names in lower case) and framing of one response."""

    status: int
    headers: RawHeaders
    framing: Framing


@dataclass(frozen=True, slots=True)
class _End:
    """Marks the end of a complete response."""


_Item = ResponseHead | bytes | _End


class HttpConn(asyncio.Protocol):
    """A connection: ``open`` it once, then ``send``, ``head`` and ``body`` per request.

    ``sent`` is True once a request has been written, so it may run on the upstream.
    ``is_reused`` is whether it has carried another request before.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._items: deque[_Item] = deque()
        self._buffered = 0
        self._wakeup = asyncio.Event()
        self._failure: str | None = None
        self._busy = False
        self._unusable = False
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._bounds = ResponseBounds("")
        self._is_body_bounded = False
        self._sections: list[bytes] = []
        self._parsed_body = 0
        self._framing = Framing.LENGTH
        self._keep_alive = False
        self._idle_s = DEFAULT_IDLE_S
        self._idle_since = 0.0
        self._sends = 0
        self.sent = False

    @classmethod
    async def open(cls, address: str) -> HttpConn:
        """Connect; raises :class:`UpstreamError`, with ``sent`` False."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with SilenceLimit(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(cls, host, int(port))
        except TimeoutError as exc:
            raise UpstreamError("connecting timed out", sent=False) from exc
        except (OSError, ValueError, OverflowError) as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            reason = f"cannot connect: {exc}"
            raise UpstreamError(reason, sent=False, refused=refused) from exc
        return conn

    # Calls of the request.

    def send(self, head: bytes, body: bytes, max_body_bytes: int | None = None) -> None:
        """Send a request; from now on the upstream may run it.

        The connection is reset once the body of the response has more than
        ``max_body_bytes``, if set.
        """
        if self._transport is None or self._busy or self._closed:
            raise UpstreamError("the connection is closed or in use", sent=False)
        self._busy = True
        self._sends += 1
        self._parser = httptools.HttpResponseParser(self)
        kind = FORWARDED if max_body_bytes is None else ""
        self._bounds = ResponseBounds(request_line(head), max_body_bytes, kind)
        self._is_body_bounded = max_body_bytes is not None
        self.sent = True
        if len(body) > LARGE_BODY_BYTES:
            self._transport.write(head)
            self._transport.write(body)
        else:
            self._transport.write(head + body if body else head)

    async def head(self, is_mine: Callable[[ResponseHead], bool]) -> ResponseHead:
        """Return the head of the response; skip responses that ``is_mine`` rejects.

        Raises :class:`UpstreamError` if the connection fails before.
        """
        skipped = 0
        while True:
            item = await self._next()
            if not isinstance(item, ResponseHead):
                continue
            if is_mine(item):
                return item
            skipped += 1
            self._unusable = True
            if skipped > MAX_SKIPPED_RESPONSES:
                raise UpstreamError(
                    "too many responses to other requests arrived", sent=True
                )

    async def body(self) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives.

        Raises :class:`UpstreamError` if the connection fails before its end.
        """
        while True:
            item = await self._next()
            if isinstance(item, _End):
                self._finish()
                return
            if isinstance(item, bytes):
                yield item

    def reusable(self, now: float, *, idle_fraction: float = 1.0) -> bool:
        """Whether another request may be sent.

        ``idle_fraction`` is the fraction of the idle time in which reuse is allowed.
        """
        if self._busy or self._closed or self._unusable or not self._keep_alive:
            return False
        return now < self._idle_since + self._idle_s * idle_fraction

    @property
    def is_reused(self) -> bool:
        """Whether another request was sent before the last one."""
        return self._sends > 1

    def abort(self) -> None:
        """Reset the connection, which makes the upstream cancel unfinished work."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def _closed(self) -> bool:
        return self._failure is not None

    @property
    def _has_ended(self) -> bool:
        """Whether the end of the stream is that of a response without a length.

        It is not if the connection has failed, or if the upstream can't have read the
        whole request.
        """
        if self._failure is not None or self._transport is None:
            return False
        if self._transport.get_write_buffer_size():
            return False
        return not has_failed(self._transport.get_extra_info("socket"))

    def _finish(self) -> None:
        """Record the end of a response and whether the connection can be reused."""
        transport = self._transport
        self._busy = False
        self._idle_since = asyncio.get_running_loop().time()
        if transport is None or transport.get_write_buffer_size():
            # The rest of the request is still in the write buffer.
            self._unusable = True
        if self._items:
            self._unusable = True

    async def _next(self) -> _Item:
        while not self._items:
            if self._failure is not None:
                too_long = self._failure == self._bounds.excess
                raise UpstreamError(self._failure, sent=self.sent, too_long=too_long)
            self._wakeup.clear()
            await self._wakeup.wait()
        item = self._items.popleft()
        if isinstance(item, bytes):
            self._add_buffered(-len(item))
        return item

    def _put(self, item: ResponseHead | _End) -> None:
        self._queue_body()
        self._items.append(item)
        self._wakeup.set()

    def _add_buffered(self, size: int) -> None:
        before = self._buffered
        self._buffered += size
        if self._transport is None or self._transport.is_closing():
            return
        if before <= HIGH_WATER_BYTES < self._buffered:
            self._transport.pause_reading()
        elif self._buffered <= HIGH_WATER_BYTES < before:
            self._transport.resume_reading()

    def _fail_response(self, reason: str) -> None:
        """Fail the response; what arrived before can still be read."""
        self._unusable = True
        self._queue_body()
        if self._is_body_bounded:
            # The call fails as a whole, so that nobody needs what arrived.
            self._items.clear()
        self._fail(reason)
        self.abort()

    def _fail(self, reason: str) -> None:
        if self._failure is None:
            self._failure = reason
        self._wakeup.set()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the connected socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        enable_keepalive(sock)
        set_unacked_timeout(sock)
        limit_receive_buffer(sock, RECEIVE_BUFFER_BYTES)
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if no request is open."""
        if not self._busy:
            self._unusable = True
            self.abort()
            return
        for start in range(0, len(data), PARSED_BYTES):
            self._parse(data[start : start + PARSED_BYTES])
            if self._failure is not None:
                return

    def _parse(self, data: bytes) -> None:
        self._parsed_body = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            invalid = f"invalid HTTP response: {type(exc).__name__}"
            self._fail_response(self._bounds.excess or invalid)
            return
        body_bytes = self._queue_body()
        if not self._bounds.add_read(len(data), body_bytes):
            assert self._bounds.excess is not None
            self._fail_response(self._bounds.excess)

    def _queue_body(self) -> int:
        """Queue the sections of the body that the parser returned, as one section.

        Return the bytes of the body in the section that is being parsed.
        """
        if self._sections:
            data = b"".join(self._sections)
            self._sections = []
            self._parsed_body += len(data)
            self._items.append(data)
            self._wakeup.set()
            self._add_buffered(len(data))
        return self._parsed_body

    def eof_received(self) -> bool:
        """Handle the end of the stream, which also ends a body without a length."""
        if self._busy and self._framing is Framing.CONNECTION and self._has_ended:
            self._keep_alive = False
            self._put(_End())
        self._fail("the upstream closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Let the waiting request fail."""
        reason = "the connection closed" if exc is None else f"connection lost: {exc}"
        self._fail(reason)
        self._transport = None

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self._headers = []
        self._framing = Framing.LENGTH
        self._bounds.head_began()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header of the response."""
        if not self._bounds.add_field(len(name) + len(value)):
            raise ValueError("the fields of the response are too long")
        self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Queue the complete head, but not that of an interim (1xx) response."""
        status = self._parser.get_status_code()
        self._status = status
        if not is_status(status):
            raise ValueError(f"{status} is no status")
        if status < 200:
            return
        self._bounds.head_ended()
        self._keep_alive = self._parser.should_keep_alive()
        fields = dict(self._headers)
        self._framing = _framing(status, fields)
        self._idle_s = _idle_s(fields.get(b"keep-alive", b""))
        self._put(ResponseHead(status, tuple(self._headers), self._framing))

    def on_body(self, data: bytes) -> None:
        """Collect a section of the body."""
        self._sections.append(data)

    def on_message_complete(self) -> None:
        """Queue the end of the response, unless it is an interim one."""
        if self._status >= 200:
            self._put(_End())


def request_line(head: bytes) -> str:
    """Return method and target of a request's head."""
    return head.partition(b"\r\n")[0].decode("latin-1").removesuffix(" HTTP/1.1")


def _framing(status: int, fields: dict[bytes, bytes]) -> Framing:
    if b"transfer-encoding" in fields:
        return Framing.CHUNKED
    if b"content-length" in fields or status in NO_BODY_STATUSES:
        return Framing.LENGTH
    return Framing.CONNECTION


def _idle_s(keep_alive: bytes) -> float:
    """Return how long the connection may stay idle, by ``timeout=N`` of the header."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(DEFAULT_IDLE_S, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
