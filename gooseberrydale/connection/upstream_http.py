"""HTTP client for upstreams that uses a new connection for every call.

By default aiosonic sends a request again if a reused connection drops and HTTP defines
the method as idempotent.  It also reuses the connection of a cancelled request, whose
response may still arrive, for the next request.  Never reusing a connection prevents
both.  The connection also records whether anything was written: if a call fails before
that, the upstream has not run it.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncGenerator
from functools import cached_property, partial
from typing import Any
from urllib.parse import quote

from aiosonic.client import HTTPClient, HttpResponse
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from gooseberrydale.connection.response_bounds import (
    FORWARDED,
    ResponseBounds,
    report_excess,
)
from gooseberrydale.connection.response_status import is_status
from gooseberrydale.connection.tcp import enable_keepalive, has_failed
from gooseberrydale.connection.upstream_reply import Headers, UpstreamError

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024

LINES_PER_TURN = 64
"""Lines of a response after which other tasks get a turn."""

MAX_CHUNK_BYTES = 4 * 1024 * 1024
"""Most bytes of one chunk of a body, which is held as a whole."""

# Hop-by-hop headers, and in requests those that the client library sets itself.
_DROPPED_OUT = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization proxy-connection te"
    " trailer transfer-encoding upgrade host content-length expect".split()
)
_DROPPED_IN = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization proxy-connection te"
    " trailer transfer-encoding upgrade".split()
)
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_FAILURES = (AiosonicError, OSError, EOFError, ValueError, asyncio.LimitOverrunError)
_METHOD = re.compile(r"[A-Z]{1,32}")
_NO_BODY_STATUS = frozenset({204, 304})


class _SingleUse(Connection):  # type: ignore[misc]
    """A connection for one request, which records when it is written to."""

    def __init__(self, call: UpstreamCall, pool: Any) -> None:
        super().__init__(pool)
        self._call = call
        self._head_ended = False
        self._lines = 0
        call.connections.append(self)

    @cached_property
    def _bounds(self) -> ResponseBounds:
        # The library makes its connections before the call has a name.
        return ResponseBounds(self._call.name, kind=self._call.kind)

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        return False

    def keep_alive(self) -> None:
        self.keep = False

    def release(self) -> None:
        # A body without a length is read after the library has released it.
        pass

    async def readline(self) -> bytes:
        # The library takes any line without a colon for the end of the head, also one
        # that the end of the connection cut.
        line: bytes = await super().readline()
        self._count(len(line), 0)
        self._lines += 1
        if self._lines % LINES_PER_TURN == 0:
            # Lines that have already arrived are read without giving others a turn.
            await asyncio.sleep(0)
        if not line.endswith(b"\n"):
            raise EOFError("the connection ended inside a line of the response")
        if not self._head_ended and b":" not in line:
            if line.strip(b"\r\n"):
                raise ValueError("a header line of the response has no colon")
            self._head_ended = True
            self._bounds.head_ended()
        elif not self._head_ended:
            self._bounds.add_field(len(line))
        return line

    async def read(self, size: int = -1) -> bytes:
        data: bytes = await super().read(size)
        self._count(len(data), len(data))
        return data

    async def readexactly(self, size: int) -> bytes:
        # The library reads each chunk of a body as a whole.
        if size > MAX_CHUNK_BYTES:
            call = self._call
            reason = report_excess(call.name, "chunk", MAX_CHUNK_BYTES, size, call.kind)
            raise ValueError(reason)
        data: bytes = await super().readexactly(size)
        self._count(len(data), len(data))
        return data

    def _count(self, received: int, body: int) -> None:
        if not self._bounds.add_read(received, body):
            raise ValueError(self._bounds.excess)

    async def read_until_end(self) -> AsyncGenerator[bytes, None]:
        """Yield what arrives until the upstream ends the connection."""
        while data := await self.read(READ_BYTES):
            yield data
        if self.writer is None or has_failed(self.writer.get_extra_info("socket")):
            raise EOFError("the connection failed before its end")
        if self.writer.transport.get_write_buffer_size():
            raise EOFError("the connection ended before the request was sent")

    def write(self, data: bytes) -> None:
        # Nothing may be sent for a call that has been cancelled.
        _raise_if_cancelled()
        self._call.sent = True
        super().write(data)

    async def _connection_made(self) -> None:
        await super()._connection_made()
        enable_keepalive(self.writer.get_extra_info("socket"))


def _raise_if_cancelled() -> None:
    """Raise the cancellation of the current task that ``wait_for`` has dropped.

    ``asyncio.wait_for`` of Python 3.11 drops a cancellation that arrives just as the
    awaited work ends: here as connecting succeeds or fails.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


class UpstreamCall:
    """One HTTP call: ``open`` sends it, ``chunks`` reads the body, ``close`` ends it.

    ``sent`` is True once anything was written, so the upstream may run the request.
    ``kind`` is what responses that are too long are counted by, as in
    :class:`ResponseBounds`.
    """

    def __init__(self, base_url: str, kind: str = FORWARDED) -> None:
        self.kind = kind
        self._base_url = base_url.rstrip("/")
        self.sent = False
        self.name = ""
        self.connections: list[_SingleUse] = []
        self.status = 0
        self.headers: Headers = ()
        self._response: HttpResponse | None = None
        self._ends_with_connection = False
        self._client = HTTPClient(
            connector=TCPConnector(
                pool_configs={":default": PoolConfig(size=1)},
                connection_cls=partial(_SingleUse, self),
                timeouts=Timeouts(
                    sock_connect=CONNECT_TIMEOUT_S,
                    sock_read=None,
                    request_timeout=None,
                ),
            )
        )

    async def open(
        self, method: str, target: str, headers: Headers = (), body: bytes = b""
    ) -> None:
        """Send the request and read the head of the response.

        ``target`` is the path with its query.  Raises :class:`UpstreamError`.
        """
        self.name = f"{method} {target}"
        try:
            if not _METHOD.fullmatch(method):
                raise ValueError(f"method {method!r} is not valid")
            self._response = await self._client.request(
                self._base_url + _quote_target(target),
                # The library drops the body of "GET" but not of "get"; it sends both
                # in upper case.
                method.lower(),
                headers=_request_headers(method, headers, body),
                data=body or None,
                stream=True,
            )
            self._read_head(method, self._response)
        except _FAILURES as exc:
            await self.close()
            _raise_if_cancelled()
            raise UpstreamError(_describe(exc), sent=self.sent) from exc

    def _read_head(self, method: str, response: HttpResponse) -> None:
        self.status = response.status_code
        if not is_status(self.status):
            raise ValueError(f"{self.status} is no status")
        if self.status < 200:
            raise ValueError(f"interim status {self.status} is not supported")
        self.headers = tuple(
            (name.lower(), value)
            for name, value in response.raw_headers
            if name.lower() not in _DROPPED_IN
        )
        if method != "HEAD" and self.status not in _NO_BODY_STATUS:
            self._ends_with_connection = not _is_framed(response)

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body as it arrives.

        Raises :class:`UpstreamError` if the connection fails before its end.
        """
        if self._response is None:
            return
        try:
            if self._ends_with_connection:
                async for data in self.connections[-1].read_until_end():
                    yield data
            elif self._response._has_pending_body():
                async for data in self._response.read_chunks():
                    yield data
        except _FAILURES as exc:
            raise UpstreamError(_describe(exc), sent=True) from exc

    def abort(self) -> None:
        """Close the connection at once, which makes ``open`` or ``chunks`` raise."""
        for connection in self.connections:
            connection.close()

    async def close(self) -> None:
        """Close the connection, which makes the upstream cancel unfinished work."""
        if self._response is not None:
            await self._response.aclose()
            self._response = None
        self.abort()
        await self._client.aclose()


def _describe(exc: BaseException) -> str:
    return f"{type(exc).__name__}: {exc}" if str(exc) else type(exc).__name__


def _is_framed(response: HttpResponse) -> bool:
    """Whether the end of the body is marked; the library reads another one as empty."""
    return response.chunked or "content-length" in response.headers


def _quote_target(target: str) -> str:
    """Quote characters that a request line can't hold, and ``;`` in the path.

    The library would drop what follows a ``;`` in the path.
    """
    path, delimiter, query = target.partition("?")
    path = quote(path if path.startswith("/") else "/" + path, safe="/:@!$&'()*+,=~%")
    return path + delimiter + quote(query, safe="/:@!$&'()*+,;=~%?[]|")


def _request_headers(method: str, headers: Headers, body: bytes) -> dict[str, str]:
    """Return the headers to send; join repeated ones, as the library sends one each."""
    joined: dict[str, str] = {}
    hop_headers = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    for name, value in headers:
        name = name.lower()
        if name in _DROPPED_OUT or name in hop_headers:
            continue
        separator = "; " if name == "cookie" else ", "
        joined[name] = joined[name] + separator + value if name in joined else value
    if method in _METHODS_WITH_BODY and not body:
        joined["content-length"] = "0"
    return joined
