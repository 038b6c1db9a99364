"""A TCP relay for tests that can fall silent without closing anything.

``forward`` passes bytes on; ``silent`` keeps every connection open and takes new
ones, but passes nothing on (bytes sent meanwhile are held back in the buffers);
``cut`` closes what is open and refuses new connections until another mode is set.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum

CHUNK_BYTES = 64 * 1024


class RelayMode(StrEnum):
    """What the relay does with connections and bytes."""

    FORWARD = "forward"
    SILENT = "silent"
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
            link.set_flowing(mode is RelayMode.FORWARD)

    def silence_open(self) -> None:
        """Silence the connections that are open now; new ones are forwarded."""
        for link in self._links:
            link.set_flowing(False)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepted += 1
        link = _Link(reader, writer, self._mode is RelayMode.FORWARD)
        self._links.add(link)
        try:
            await link.run(self.target_host, self.target_port)
        finally:
            self._links.discard(link)


class _Link:
    """One relayed connection: two sockets and a gate for both directions."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        flowing: bool,
    ) -> None:
        self._near = (reader, writer)
        self._gate = asyncio.Event()
        self._closed = asyncio.Event()
        self.set_flowing(flowing)

    def set_flowing(self, flowing: bool) -> None:
        if flowing:
            self._gate.set()
        else:
            self._gate.clear()

    def close(self) -> None:
        self._closed.set()

    async def run(self, target_host: str, target_port: int) -> None:
        """Relay until either side closes while bytes flow, or ``close``."""
        tasks = [asyncio.create_task(self._closed.wait())]
        writers = [self._near[1]]
        try:
            far = await asyncio.open_connection(target_host, target_port)
            writers.append(far[1])
            tasks.append(asyncio.create_task(self._pump(self._near[0], far[1])))
            tasks.append(asyncio.create_task(self._pump(far[0], self._near[1])))
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
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            await self._gate.wait()
            data = await reader.read(CHUNK_BYTES)
            await self._gate.wait()
            if not data:
                return
            writer.write(data)
            await writer.drain()
