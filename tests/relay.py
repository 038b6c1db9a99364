"""A TCP relay that simulates network faults, such as silent connections.

Its modes: ``forward`` relays all bytes.  ``silent`` keeps connections open and accepts
new ones, but relays nothing; bytes wait in the buffers until the mode changes.
``one_way`` holds back only what the target sends.  ``slow`` delays all bytes.
``cut`` closes all connections and refuses new ones until another mode is set.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Any

CHUNK_BYTES = 64 * 1024
SLOW_DELAY_S = 0.15
"""Delay of each chunk in mode ``slow``; far more than the delay between regions."""


class RelayMode(StrEnum):
    """What the relay does with connections and bytes; see the module."""

    FORWARD = "forward"
    SILENT = "silent"
    ONE_WAY = "one_way"
    SLOW = "slow"
    CUT = "cut"


class Relay:
    """Listens on a loopback port and relays to ``target_port`` of ``target_host``.

    ``silence_open()`` silences only the open connections; new ones are forwarded.
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
        """The address that clients connect to."""
        return f"127.0.0.1:{self.port}"

    @property
    def open_count(self) -> int:
        """The number of open connections."""
        return len(self._links)

    async def start(self) -> None:
        """Listen; after ``cut``, on the same port as before."""
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
        """Set the mode of open connections and of new ones."""
        self._mode = mode
        if mode is RelayMode.CUT:
            await self.close()
            return
        if self._server is None:
            await self.start()
        for link in self._links:
            link.set_mode(mode)

    def silence_open(self) -> None:
        """Silence the open connections, but forward new ones."""
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
    """A relayed connection: a pair of sockets and, per direction, an event to pause."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        mode: RelayMode,
    ) -> None:
        self._client = (reader, writer)
        self._to_target_open, self._to_client_open = asyncio.Event(), asyncio.Event()
        self._closed = asyncio.Event()
        self._delay_s = 0.0
        self.set_mode(mode)

    def set_mode(self, mode: RelayMode) -> None:
        self._delay_s = SLOW_DELAY_S if mode is RelayMode.SLOW else 0.0
        _set_open(self._to_target_open, mode is not RelayMode.SILENT)
        _set_open(
            self._to_client_open, mode not in (RelayMode.SILENT, RelayMode.ONE_WAY)
        )

    def close(self) -> None:
        self._closed.set()

    async def run(self, target_host: str, target_port: int) -> None:
        """Relay until either side closes or ``close`` is called.

        While a direction is paused, its sender's close goes unnoticed.
        """
        tasks: list[asyncio.Task[Any]] = [asyncio.create_task(self._closed.wait())]
        writers = [self._client[1]]
        try:
            target = await asyncio.open_connection(target_host, target_port)
            writers.append(target[1])
            to_target = self._pump(self._client[0], target[1], self._to_target_open)
            to_client = self._pump(target[0], self._client[1], self._to_client_open)
            tasks += [asyncio.create_task(to_target), asyncio.create_task(to_client)]
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


def _set_open(gate: asyncio.Event, is_open: bool) -> None:
    if is_open:
        gate.set()
    else:
        gate.clear()
