"""The HTTP protocol for callers' connections, with the limits of the document in force.

There is one protocol per connection.  Limits are read each time they are needed, so a
new document also applies to connections that are already open.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from gooseberrydale.errors import CONFIG_UNCONFIRMED, Problem, problem
from gooseberrydale.process.gateway.app import TARGET
from gooseberrydale.process.gateway.slow_readers import SlowReaders
from gooseberrydale.process.http.connection_gate import ConnectionGate
from gooseberrydale.process.http.protocol import BoundedHttpProtocol
from gooseberrydale.request.retry_after import NOT_READY_AFTER_S
from gooseberrydale.version.declared import CallerLimits


def front_protocol(
    limits: Callable[[], CallerLimits],
    is_current: Callable[[], bool],
    gate: ConnectionGate,
    readers: SlowReaders,
) -> type[BoundedHttpProtocol]:
    """Return a protocol class that takes its limits from ``limits``.

    ``is_current`` is whether these are known to be the newest ones that are declared.

    Connections that ``gate`` doesn't take are closed unread.  What callers do not read
    of their answers is watched by ``readers``.
    """

    class FrontProtocol(BoundedHttpProtocol):
        """A bounded protocol with declared limits that exposes the unparsed target."""

        _is_taken = False

        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            """Take the connection, or reset it before anything is read."""
            self._is_taken = gate.opened()
            if self._is_taken:
                super().connection_made(transport)
            else:
                # The next connection may find room.
                self._clients.make_room()
                transport.abort()  # type: ignore[attr-defined]

        def connection_lost(self, exc: Exception | None) -> None:
            """Give the place of a connection that was taken free."""
            if self._is_taken:
                gate.closed()
                readers.resumed(self.transport)
                super().connection_lost(exc)

        def pause_writing(self) -> None:
            """Watch the bytes that the caller has not read."""
            readers.paused(self.transport)
            super().pause_writing()

        def resume_writing(self) -> None:
            """The caller has read everything."""
            readers.resumed(self.transport)
            super().resume_writing()

        @property
        def head_bytes(self) -> int:  # type: ignore[override]
            """Maximum size of a request's head in bytes."""
            return limits().head_bytes

        def head_too_large(self) -> Problem:
            """Return the error for a head over the limit, which may be outdated."""
            if is_current():
                return super().head_too_large()
            return problem(CONFIG_UNCONFIRMED, retry_after_s=NOT_READY_AFTER_S)

        @property
        def largest_body(self) -> int:
            """Most bytes of a body by the document in force."""
            return limits().body_bytes

        @property
        def head_timeout_s(self) -> float:  # type: ignore[override]
            """Maximum seconds for receiving a head."""
            return limits().head_timeout_s

        @property
        def first_byte_s(self) -> float:  # type: ignore[override]
            """Maximum seconds to the first byte on a new connection."""
            return limits().idle_timeout_s

        @property  # type: ignore[override]
        def timeout_keep_alive(self) -> float:
            """Maximum idle seconds between two requests."""
            return limits().idle_timeout_s

        @timeout_keep_alive.setter
        def timeout_keep_alive(self, _value: Any) -> None:
            """Ignore the server's own setting; the declared limit applies."""

        def data_received(self, data: bytes) -> None:
            """Count the bytes, then parse them."""
            gate.received(len(data))
            super().data_received(data)

        def on_headers_complete(self) -> None:
            """Store the target as the caller wrote it in the application's scope."""
            self.scope["extensions"] = {TARGET: {TARGET: self.url}}
            super().on_headers_complete()

    return FrontProtocol
