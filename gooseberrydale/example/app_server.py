"""Serves one app over HTTP inside a running event loop.

It runs uvicorn on asyncio without reloading, worker processes or signal handlers, so
that several servers can run in one process.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Iterator
from pathlib import Path

import uvicorn
from starlette.applications import Starlette

STARTUP_POLL_INTERVAL_S = 0.01
SHUTDOWN_GRACE_S = 2


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves the signal handlers of the process alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class AppServer:
    """Serves an app on one address; ``start`` replaces port 0 by a free port."""

    def __init__(self, app: Starlette, host: str = "127.0.0.1", port: int = 0) -> None:
        self.host = host
        self.port = port
        cfg = uvicorn.Config(
            app,
            host=host,
            port=port,
            loop="asyncio",
            ws="none",
            log_config=None,
            log_level="warning",
            access_log=False,
            timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
        )
        self._server = _EmbeddedServer(cfg)
        self._task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Base URL of the running app."""
        return f"http://{self.host}:{self.port}"

    async def start(self) -> None:
        """Start to listen; raise OSError if the address cannot be bound."""
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                raise OSError(f"cannot listen on {self.host}:{self.port}")
            await asyncio.sleep(STARTUP_POLL_INTERVAL_S)
        self.port = self._server.servers[0].sockets[0].getsockname()[1]

    async def wait(self) -> None:
        """Wait until the server has stopped."""
        if self._task is not None:
            await self._task

    async def close(self) -> None:
        """Stop listening; give running requests SHUTDOWN_GRACE_S seconds to end."""
        self._server.should_exit = True
        await self.wait()

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit:
            # uvicorn exits if it cannot bind the address; it has logged the reason.
            return


async def run_app(app: Starlette, host: str, port: int, port_file: str) -> None:
    """Serve until SIGTERM or SIGINT; write the port to ``port_file`` when ready."""
    server = AppServer(app, host, port)
    await server.start()
    if port_file:
        write_atomically(Path(port_file), f"{server.port}\n")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await server.close()


def write_atomically(path: Path, text: str) -> None:
    """Write a file so that readers never see part of its content."""
    draft = path.with_name(f".{path.name}.{os.getpid()}")
    draft.write_text(text)
    draft.replace(path)
