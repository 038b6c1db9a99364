"""One kept HTTP/1.1 connection to an upstream, with one request on it at a time.

Lives as long as the connection.  The other side is not trusted to keep to the form:
an answer may come late, twice, without a length or before the request was read.  So a
connection is used again only if its last answer was whole, everything sent was taken,
and nothing arrived since.  The parsing is httptools'; nothing is ever sent twice.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass

import httptools

from gooseberrydale.connection.tcp import bound_unacked, probe_when_idle
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.request.gateway_call import RawHeaders
from gooseberrydale.request.silence_limit import SilenceLimit

CONNECT_TIMEOUT_S = 0.3
"""For a new connection: ten times a round trip and the handshake of a busy upstream,
and short enough to try another upstream within the goal of most requests.  Only time in
which this process could look counts: a connection that is granted while the loop stalls
for longer is no sign of a dead upstream, whose streams would be cut."""

UNTOLD_IDLE_S = 0.3
"""An upstream that does not tell how long it keeps idle connections keeps them for
less than a second, as the header counts whole ones."""

IDLE_MARGIN_S = 0.4
"""A connection is given up this long before its upstream would close it: the time that
a request may be under way on a busy network."""

HIGH_WATER_BYTES = 256 * 1024
"""Reading pauses while more than this is waiting for the caller."""

MAX_HEAD_BYTES = 64 * 1024
MAX_SKIPPED_ANSWERS = 4
"""Answers to other requests that are passed over before the connection is given up."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers (names in lower case) of one answer."""

    status: int
    headers: RawHeaders


@dataclass(frozen=True, slots=True)
class _End:
    """The answer is whole."""


_Item = ResponseHead | bytes | _End


class HttpConn(asyncio.Protocol):
    """``open`` it, then ``send``, ``head`` and ``body`` for each request."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._items: deque[_Item] = deque()
        self._buffered = 0
        self._news = asyncio.Event()
        self._failure: str | None = None
        self._busy = False
        self._dirty = False
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._until_eof = False
        self._keep_alive = False
        self._idle_s = UNTOLD_IDLE_S
        self._idle_since = 0.0
        self.sent = False

    @classmethod
    async def open(cls, address: str) -> HttpConn:
        """Connect; raises :class:`UpstreamError`, with nothing sent."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with SilenceLimit(CONNECT_TIMEOUT_S):
                _, conn = await loop.create_connection(cls, host, int(port))
        except TimeoutError as exc:
            raise UpstreamError("no connection in time", sent=False) from exc
        except (OSError, ValueError) as exc:
            refused = isinstance(exc, ConnectionRefusedError)
            reason = f"no connection: {exc}"
            raise UpstreamError(reason, sent=False, refused=refused) from exc
        return conn

    # For the request.

    def send(self, head: bytes, body: bytes) -> None:
        """Send a request; it may run from now on."""
        if self._transport is None or self._busy or self._closed:
            raise UpstreamError("the connection is gone", sent=False)
        self._busy = True
        self._parser = httptools.HttpResponseParser(self)
        self.sent = True
        self._transport.write(head + body if body else head)

    async def head(self, is_mine: Callable[[ResponseHead], bool]) -> ResponseHead:
        """The head of the answer; answers that are not mine are passed over.

        Raises :class:`UpstreamError` if none comes.
        """
        skipped = 0
        while True:
            item = await self._next()
            if not isinstance(item, ResponseHead):
                continue
            if is_mine(item):
                return item
            skipped += 1
            self._dirty = True
            if skipped > MAX_SKIPPED_ANSWERS:
                raise UpstreamError("answers to other requests came", sent=True)

    async def body(self) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives; raises :class:`UpstreamError` if it breaks."""
        while True:
            item = await self._next()
            if isinstance(item, _End):
                self._finish()
                return
            if isinstance(item, bytes):
                yield item

    def reusable(self, now: float, *, margin: float = 1.0) -> bool:
        """Whether another request may be sent; ``margin`` scales the idle time."""
        if self._busy or self._closed or self._dirty or not self._keep_alive:
            return False
        return now < self._idle_since + self._idle_s * margin

    def abort(self) -> None:
        """Break the connection, which cancels work that is not finished."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def _closed(self) -> bool:
        return self._failure is not None

    def _finish(self) -> None:
        """The answer is whole; note whether the connection may be used again."""
        transport = self._transport
        self._busy = False
        self._idle_since = asyncio.get_running_loop().time()
        if transport is None or transport.get_write_buffer_size():
            # The rest of the request is still under way.
            self._dirty = True
        if self._items:
            self._dirty = True

    async def _next(self) -> _Item:
        while not self._items:
            if self._failure is not None:
                raise UpstreamError(self._failure, sent=self.sent)
            self._news.clear()
            await self._news.wait()
        item = self._items.popleft()
        if isinstance(item, bytes):
            self._take(-len(item))
        return item

    def _put(self, item: _Item) -> None:
        self._items.append(item)
        self._news.set()

    def _take(self, size: int) -> None:
        before = self._buffered
        self._buffered += size
        if self._transport is None or self._transport.is_closing():
            return
        if before <= HIGH_WATER_BYTES < self._buffered:
            self._transport.pause_reading()
        elif self._buffered <= HIGH_WATER_BYTES < before:
            self._transport.resume_reading()

    def _fail(self, reason: str) -> None:
        if self._failure is None:
            self._failure = reason
        self._news.set()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        probe_when_idle(sock)
        bound_unacked(sock)

    def data_received(self, data: bytes) -> None:
        """Parse what arrives; bytes that nobody waits for spoil the connection."""
        if not self._busy:
            self._dirty = True
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._dirty = True
            self._fail(f"no HTTP: {type(exc).__name__}")
            self.abort()

    def eof_received(self) -> bool:
        """The upstream sends no more; a body without a length ends with that."""
        if self._busy and self._until_eof and self._failure is None:
            self._keep_alive = False
            self._put(_End())
        self._fail("the connection was closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Whoever waits learns of it."""
        reason = "the connection was closed" if exc is None else f"reset: {exc}"
        self._fail(reason)
        self._transport = None

    # What the parser calls.

    def on_message_begin(self) -> None:
        """An answer begins."""
        self._headers = []
        self._head_bytes = 0
        self._until_eof = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header of the answer."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError("the head of an answer is too large")
        self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """The head is whole; interim answers are passed over."""
        status = self._parser.get_status_code()
        self._status = status
        if status < 200:
            return
        self._keep_alive = self._parser.should_keep_alive()
        found = dict(self._headers)
        self._until_eof = (
            b"content-length" not in found
            and b"transfer-encoding" not in found
            and status not in (204, 304)
        )
        self._idle_s = _idle_s(found.get(b"keep-alive", b""))
        self._put(ResponseHead(status, tuple(self._headers)))

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self._put(data)
        self._take(len(data))

    def on_message_complete(self) -> None:
        """The answer is whole."""
        if self._status >= 200:
            self._put(_End())


def _idle_s(keep_alive: bytes) -> float:
    """How long the connection may stay idle, from the header's ``timeout=N``."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(UNTOLD_IDLE_S, int(value) - IDLE_MARGIN_S)
    return UNTOLD_IDLE_S
