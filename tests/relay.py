"""A TCP relay for tests that can fall silent without closing anything.

``forward`` passes bytes on; ``silent`` keeps every connection open and takes new
ones, but passes nothing on (bytes sent meanwhile are held back in the buffers);
``one_way`` does so for what the target sends alone; ``slow`` passes everything on late;
``cut`` closes what is open and refuses new connections until another mode is set.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Any

CHUNK_BYTES = 64 * 1024
SLOW_S = 0.15
"""Each piece waits so long on a slow way; far more than between regions."""


class RelayMode(StrEnum):
    """What the relay does with connections and bytes."""

    FORWARD = "forward"
    SILENT = "silent"
    ONE_WAY = "one_way"
    SLOW = "slow"
    CUT = "cut"


class Relay:
    """Listens on a loopback port and relays to ``target_port`` of ``target_host``.

    ``silence_open()`` silences only the connections open now, while new ones work.
    """

    def __init__(self, target_port: int, target_host: str = "127.0.0.1") -> None:
        self.target_port = target_port
        self.target_host = target_host
        self.port = 0
        self.accepted = 0
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self._mode = RelayMode.FORWARD

    @property
    def address(self) -> str:
        """Where clients connect."""
        return f"127.0.0.1:{self.port}"

    @property
    def open_count(self) -> int:
        """Connections open now."""
        return len(self._links)

    async def start(self) -> None:
        """Listen; the port is kept over ``cut`` and back."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self.port, limit=CHUNK_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for link in tuple(self._links):
            link.close()
        while self._links:
            await asyncio.sleep(0)

    async def set_mode(self, mode: RelayMode) -> None:
        """Change what happens to open connections and to new ones."""
        self._mode = mode
        if mode is RelayMode.CUT:
            await self.close()
            return
        if self._server is None:
            await self.start()
        for link in self._links:
            link.set_mode(mode)

    def silence_open(self) -> None:
        """Silence the connections that are open now; new ones are forwarded."""
        for link in self._links:
            link.set_mode(RelayMode.SILENT)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        link = _Link(reader, writer, self._mode)
        self._links.add(link)
        try:
            await link.run(self.target_host, self.target_port)
        finally:
            self._links.discard(link)


class _Link:
    """One relayed connection: two sockets, and a gate for each direction."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        mode: RelayMode,
    ) -> None:
        self._near = (reader, writer)
        self._out, self._back = asyncio.Event(), asyncio.Event()
        self._closed = asyncio.Event()
        self._delay_s = 0.0
        self.set_mode(mode)

    def set_mode(self, mode: RelayMode) -> None:
        self._delay_s = SLOW_S if mode is RelayMode.SLOW else 0.0
        _set(self._out, mode is not RelayMode.SILENT)
        _set(self._back, mode not in (RelayMode.SILENT, RelayMode.ONE_WAY))

    def close(self) -> None:
        self._closed.set()

    async def run(self, target_host: str, target_port: int) -> None:
        """Relay until either side closes while bytes flow, or ``close``."""
        tasks: list[asyncio.Task[Any]] = [asyncio.create_task(self._closed.wait())]
        writers = [self._near[1]]
        try:
            far = await asyncio.open_connection(target_host, target_port)
            writers.append(far[1])
            out = self._pump(self._near[0], far[1], self._out)
            back = self._pump(far[0], self._near[1], self._back)
            tasks += [asyncio.create_task(out), asyncio.create_task(back)]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for writer in writers:
                writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        while True:
            await gate.wait()
            data = await reader.read(CHUNK_BYTES)
            await gate.wait()
            await asyncio.sleep(self._delay_s)
            if not data:
                return
            writer.write(data)
            await writer.drain()


def _set(gate: asyncio.Event, is_open: bool) -> None:
    if is_open:
        gate.set()
    else:
        gate.clear()
