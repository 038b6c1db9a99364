"""Runs the HTTP server uvicorn as a task, without its signal handlers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from functools import partial
from typing import Any

import uvicorn
from starlette.types import ASGIApp

from gooseberrydale.process.cfg import MAX_HANDSHAKES, TlsCfg
from gooseberrydale.process.http.client_account import ClientAccount
from gooseberrydale.process.http.listeners import ACCEPTS_AT_ONCE, listen
from gooseberrydale.process.http.protocol import BoundedHttpProtocol
from gooseberrydale.process.http.tls_handshakes import TlsHandshakes

# Longer than clients and load balancers keep idle connections open, so that they close
# them first; otherwise a request could be sent on a connection that is being closed.
KEEP_ALIVE_S = 75
START_POLL_S = 0.005


class _Server(uvicorn.Server):
    """A uvicorn server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """An HTTP listener; ``close`` stops listening and waits for open responses.

    ``clients`` accounts for what clients of all listeners of the process hold.  With
    TLS at most ``max_handshakes`` connections are in their handshake.
    """

    def __init__(
        self,
        app: ASGIApp,
        address: str,
        tls: TlsCfg,
        protocol: type[BoundedHttpProtocol] = BoundedHttpProtocol,
        clients: ClientAccount | None = None,
        max_handshakes: int = MAX_HANDSHAKES,
    ) -> None:
        self._app = app
        self._protocol = protocol
        self._clients = ClientAccount() if clients is None else clients
        self._requested_address = address
        self._tls = tls
        self._max_handshakes = max_handshakes
        self._handshakes: TlsHandshakes | None = None
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None
        self.address = address

    async def start(self) -> None:
        """Bind the address and serve; raises OSError if it can't be bound."""
        sock = listen(self._requested_address)
        host, port = sock.getsockname()[:2]
        self.address = f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        protocol: Any = partial(self._protocol, clients=self._clients)
        if self._tls.cert_file:
            self._handshakes = TlsHandshakes(
                self._tls, self._max_handshakes, self._clients
            )
            protocol = partial(self._handshakes.protocol, protocol)
        config = uvicorn.Config(
            self._app,
            http=protocol,
            timeout_keep_alive=KEEP_ALIVE_S,
            backlog=ACCEPTS_AT_ONCE,
            ws="none",
            loop="asyncio",
            lifespan="off",
            interface="asgi3",
            log_config=None,
            access_log=False,
            server_header=False,
            proxy_headers=False,
        )
        self._server = _Server(config)
        self._task = asyncio.create_task(self._server.serve(sockets=[sock]))
        while not self._server.started:
            if self._task.done():
                await self._task
            await asyncio.sleep(START_POLL_S)

    async def close(self, grace_s: float) -> None:
        """Stop listening; abort responses that are still open after ``grace_s``."""
        if self._server is None or self._task is None:
            return
        self._server.config.timeout_graceful_shutdown = grace_s  # type: ignore
        self._server.should_exit = True
        if self._handshakes is not None:
            self._handshakes.close()
        await asyncio.wait({self._task})
        self._server = None
