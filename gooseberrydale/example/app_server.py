"""Serves one app over HTTP inside a running event loop.

Plain uvicorn on asyncio: no reload, no workers, no signal handlers of its own, so
that several servers fit into one process.  Lives from ``start`` to ``close``.
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

STARTUP_POLL_S = 0.01
GRACE_S = 2


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class AppServer:
    """One app on one address; ``port`` 0 takes a free one, read it after start."""

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
            timeout_graceful_shutdown=GRACE_S,
        )
        self._server = _Server(cfg)
        self._task: asyncio.Task[None] | None = None

    @property
    def url(self) -> str:
        """Base URL of the running app."""
        return f"http://{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen; raises OSError if that fails."""
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                raise OSError(f"cannot serve on {self.host}:{self.port}")
            await asyncio.sleep(STARTUP_POLL_S)
        self.port = self._server.servers[0].sockets[0].getsockname()[1]

    async def wait(self) -> None:
        """Return when the server has ended."""
        if self._task is not None:
            await self._task

    async def close(self) -> None:
        """Stop listening, give running requests a short while, and end."""
        self._server.should_exit = True
        await self.wait()

    async def _serve(self) -> None:
        try:
            await self._server.serve()
        except SystemExit:
            # uvicorn's way to say that it could not bind; it has logged why.
            return


async def run_app(app: Starlette, host: str, port: int, port_file: str) -> None:
    """Serve until SIGTERM or SIGINT; once it listens, ``port_file`` has the port."""
    server = AppServer(app, host, port)
    await server.start()
    if port_file:
        write_atomically(Path(port_file), f"{server.port}\n")
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
    await server.close()


def write_atomically(path: Path, text: str) -> None:
    """Write a file that readers see either whole or not at all."""
    draft = path.with_name(f".{path.name}.{os.getpid()}")
    draft.write_text(text)
    draft.replace(path)
