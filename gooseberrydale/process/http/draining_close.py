"""Closes connections whose clients may still be sending.

A socket that is closed with unread bytes is reset, and the client may then lose the
answer that was sent before (RFC 9112, section 9.6).  So the sending side is closed
first, and what still arrives is discarded until the client closes its side.
"""

from __future__ import annotations

import asyncio
from typing import Any

DISCARD_S = 2.0
"""Seconds: a client on a slow network has read the answer by then."""

DISCARD_BYTES = 1024 * 1024
"""Bytes: more than is usually in flight; a client that ignores the answer stops."""


class DrainingClose:
    """Closes one connection's ``transport`` after an answer."""

    def __init__(self, transport: Any) -> None:
        self._transport = transport
        self._timer: asyncio.TimerHandle | None = None
        self._discarded_bytes = 0
        self.has_dropped = False
        """Whether received bytes were dropped, so that no other request is read."""

    @property
    def has_begun(self) -> bool:
        """Whether nothing that arrives is read as a request any more."""
        return self._timer is not None or self._transport.is_closing()

    def begin(self) -> None:
        """Close the sending side; a TLS connection can't be half-closed."""
        if self.has_begun:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(DISCARD_S, self._transport.close)
        self._transport.resume_reading()
        if not self._transport.can_write_eof():
            return
        try:
            self._transport.write_eof()
        except OSError:
            # The client has reset the connection, which has not been noticed yet.
            self._transport.abort()

    def received(self, size: int) -> None:
        """Count ``size`` discarded bytes; close if they exceed the limit."""
        self._discarded_bytes += size
        if self._discarded_bytes > DISCARD_BYTES:
            self._transport.close()

    def lost(self) -> None:
        """Cancel the timer of a connection that is gone."""
        if self._timer is not None:
            self._timer.cancel()


class AnswerTransport:
    """The transport that an answer is written to.

    Closing it before all that was sent has been read begins ``draining``.
    """

    def __init__(self, transport: Any, draining: DrainingClose, cycle: Any) -> None:
        self._transport = transport
        self._draining = draining
        self._cycle = cycle

    def write(self, data: bytes) -> None:
        """Send ``data`` unless the connection is closed."""
        if not self._draining.has_begun:
            self._transport.write(data)

    def is_closing(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self._draining.has_begun

    def close(self) -> None:
        """Close the connection after what has been written."""
        if self._cycle.response_complete and (
            self._cycle.more_body or self._draining.has_dropped
        ):
            self._draining.begin()
        else:
            self._transport.close()

    def get_extra_info(self, name: str) -> Any:
        """Return what the connection's transport tells of itself."""
        return self._transport.get_extra_info(name)
