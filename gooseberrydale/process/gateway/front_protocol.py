"""The HTTP protocol for callers' connections, with the limits of the document in force.

There is one protocol per connection.  Limits are read each time they are needed, so a
new document also applies to connections that are already open.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gooseberrydale.process.gateway.app import TARGET
from gooseberrydale.process.http_protocol import BoundedHttpProtocol
from gooseberrydale.version.declared import CallerLimits


def front_protocol(limits: Callable[[], CallerLimits]) -> type[BoundedHttpProtocol]:
    """Return a protocol class that takes its limits from ``limits``."""

    class FrontProtocol(BoundedHttpProtocol):
        """A bounded protocol with declared limits that exposes the unparsed target."""

        @property
        def head_bytes(self) -> int:  # type: ignore[override]
            """Maximum size of a request's head in bytes."""
            return limits().head_bytes

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

        def on_headers_complete(self) -> None:
            """Store the target as the caller wrote it in the application's scope."""
            self.scope["extensions"] = {TARGET: {TARGET: self.url}}
            super().on_headers_complete()

    return FrontProtocol
