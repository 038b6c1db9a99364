"""The callers' connections of a gateway, bounded as the document in force declares.

Lives as long as one connection.  Bounds are read whenever they are needed, so that a
new document holds for open connections too.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gooseberrydale.process.gateway.app import TARGET
from gooseberrydale.process.http_protocol import BoundedHttpProtocol
from gooseberrydale.version.declared import CallerLimits


def front_protocol(limits: Callable[[], CallerLimits]) -> type[BoundedHttpProtocol]:
    """The protocol class whose bounds ``limits`` tells."""

    class FrontProtocol(BoundedHttpProtocol):
        """The bounded protocol with declared bounds and the target as it came."""

        @property
        def head_bytes(self) -> int:  # type: ignore[override]
            """Bytes of a head."""
            return limits().head_bytes

        @property
        def head_timeout_s(self) -> float:  # type: ignore[override]
            """Seconds that a head may take."""
            return limits().head_timeout_s

        @property
        def first_byte_s(self) -> float:  # type: ignore[override]
            """Seconds that a new connection may stay silent."""
            return limits().idle_timeout_s

        @property  # type: ignore[override]
        def timeout_keep_alive(self) -> float:
            """Seconds that a used connection may stay idle."""
            return limits().idle_timeout_s

        @timeout_keep_alive.setter
        def timeout_keep_alive(self, _value: Any) -> None:
            """The server's own setting gives way to the declared one."""

        def on_headers_complete(self) -> None:
            """Leave the target for the application as the caller wrote it."""
            self.scope["extensions"] = {TARGET: {TARGET: self.url}}
            super().on_headers_complete()

    return FrontProtocol
