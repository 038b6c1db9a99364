"""Performs the TLS handshakes of a listener before its HTTP protocol gets connections.

A connection in its handshake takes a descriptor and the memory of a TLS connection, and
its client need not send a byte.  So the time of each and their number are bounded.
"""

from __future__ import annotations

import asyncio
import math
import ssl
from asyncio.sslproto import SSLProtocol
from collections.abc import Callable
from typing import Any

from gooseberrydale.process.cfg import TlsCfg
from gooseberrydale.process.http.client_account import ClientAccount
from gooseberrydale.process.http.draining_close import DISCARD_S

HANDSHAKE_TIMEOUT_S = 10
"""The time that a request's head has too."""

BUFFER_BYTES = 16 * 1024
"""The largest record.  Each connection has a buffer of this size; asyncio's own has
256 KiB."""

ProtocolFactory = Callable[..., asyncio.Protocol]


class TlsHandshakes:
    """The handshakes of one listener; ``close`` ends them.

    If more than ``max_handshakes`` are open, those that began first are ended.
    """

    def __init__(
        self, tls: TlsCfg, max_handshakes: int, clients: ClientAccount
    ) -> None:
        self._ctx = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._ctx.load_cert_chain(tls.cert_file, tls.key_file)
        self._max_handshakes = max_handshakes
        self._clients = clients
        # In the order in which they began.
        self._open: dict[SSLProtocol, asyncio.Transport] = {}

    def protocol(
        self, factory: ProtocolFactory, **kwargs: Any
    ) -> asyncio.BufferedProtocol:
        """Return the protocol of a new connection.

        After its handshake the protocol that ``factory`` makes of ``kwargs`` gets it.
        """
        return _TlsProtocol(self, self._ctx, lambda: factory(**kwargs))

    def close(self) -> None:
        """End all handshakes."""
        for transport in tuple(self._open.values()):
            transport.abort()

    def begin(self, conn: SSLProtocol, transport: asyncio.Transport) -> None:
        """Note the begin of a handshake, and make room for it."""
        self._open[conn] = transport
        if len(self._open) > self._max_handshakes:
            self._clients.refused_handshake()
            self._open.pop(next(iter(self._open))).abort()

    def end(self, conn: SSLProtocol) -> None:
        """Note the end of a handshake or of its connection."""
        self._open.pop(conn, None)


class _TlsProtocol(SSLProtocol):
    """TLS on one connection, with a smaller buffer and a limited handshake."""

    max_size = BUFFER_BYTES

    def __init__(
        self,
        handshakes: TlsHandshakes,
        ctx: ssl.SSLContext,
        make: Callable[[], asyncio.Protocol],
    ) -> None:
        self._handshakes = handshakes
        super().__init__(
            asyncio.get_running_loop(),
            _Established(lambda: handshakes.end(self), make),
            ctx,
            None,  # type: ignore[arg-type]
            server_side=True,
            ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
            ssl_shutdown_timeout=math.ceil(DISCARD_S),
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake."""
        assert isinstance(transport, asyncio.Transport)
        self._handshakes.begin(self, transport)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._handshakes.end(self)
        super().connection_lost(exc)


class _Established(asyncio.Protocol):
    """Gets a connection after its handshake and hands it over."""

    def __init__(
        self, ended: Callable[[], None], make: Callable[[], asyncio.Protocol]
    ) -> None:
        self._ended = ended
        self._make = make

    def connection_made(self, transport: Any) -> None:
        """Hand the connection, an asyncio transport with TLS, to the HTTP protocol."""
        self._ended()
        transport.set_read_buffer_limits(BUFFER_BYTES)
        protocol = self._make()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
