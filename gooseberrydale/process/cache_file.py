"""A cache file that lets a process restore data after a restart.

The data isn't replicated and nothing waits for a write to finish. A file that can't be
read is treated as missing.
"""

from __future__ import annotations

import asyncio
import os
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gooseberrydale.connection.codec import CodecError, decode, encode
from gooseberrydale.log_events import NothingKept, NotKept, emit
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.replication.files import OsFiles
from gooseberrydale.version.replication.records import frame, scan

WRITE_DELAY_S = 0.1
"""Delay before a write; changes within this time share it."""


class CacheFile:
    """Writes the message that ``collect`` returns to ``path`` after changes.

    ``collect`` is called with the loop's time in seconds; its message must be
    registered with the codec.
    """

    def __init__(self, path: Path, collect: Callable[[float], Any]) -> None:
        self._path = path
        self._collect = collect
        self._changed = asyncio.Event()
        # A cancelled write goes on in its thread.
        self._writing = threading.Lock()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start writing whenever ``schedule_write`` is called."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop writing."""
        await stop(self._tasks)

    def schedule_write(self) -> None:
        """Request a write, because the data has changed."""
        self._changed.set()

    async def write(self) -> None:
        """Write now."""
        message = self._collect(asyncio.get_running_loop().time())
        await asyncio.to_thread(self._write, message)

    def read(self) -> Any:
        """Return the stored message; None if the file can't be read."""
        try:
            [payload] = scan(self._path.read_bytes()).payloads
            return decode(payload)
        except (OSError, ValueError, CodecError) as exc:
            emit(NothingKept(self._path.name, str(exc)))
            return None

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            await asyncio.sleep(WRITE_DELAY_S)
            self._changed.clear()
            await self.write()

    def _write(self, message: Any) -> None:
        with self._writing:
            try:
                self._replace(frame(encode(message)))
            except OSError as exc:
                emit(NotKept(self._path.name, str(exc)))

    def _replace(self, data: bytes) -> None:
        temporary = self._path.with_suffix(".new")
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self._path)
        OsFiles().sync_folder(self._path.parent)
