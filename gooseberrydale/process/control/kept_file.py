"""A file that holds what helps a restart of the process.

Lives as long as the process; the file lives as long as the disk.  What it holds is
agreed on with nobody, so nobody waits for a write, and a file that can't be read counts
as missing.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gooseberrydale.connection.codec import CodecError, decode, encode
from gooseberrydale.log_events import NothingKept, NotKept, emit
from gooseberrydale.process.control.tasks import spawn, stop
from gooseberrydale.version.replication.files import OsFiles
from gooseberrydale.version.replication.records import frame, scan

GATHER_S = 0.1
"""Changes within this time share a write."""


class KeptFile:
    """Writes the registered message of ``collect`` to ``path`` after changes.

    ``collect`` gets the time of the loop in seconds.
    """

    def __init__(self, path: Path, collect: Callable[[float], Any]) -> None:
        self._path = path
        self._collect = collect
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Write whenever ``changed`` is called from now on."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Write no more."""
        await stop(self._tasks)

    def changed(self) -> None:
        """What the file holds has changed."""
        self._changed.set()

    def read(self) -> Any:
        """The message that the file holds; None if nothing can be read."""
        try:
            [payload] = scan(self._path.read_bytes()).payloads
            return decode(payload)
        except (OSError, ValueError, CodecError) as exc:
            emit(NothingKept(self._path.name, str(exc)))
            return None

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            await asyncio.sleep(GATHER_S)
            self._changed.clear()
            told = self._collect(asyncio.get_running_loop().time())
            await asyncio.to_thread(self._write, told)

    def _write(self, told: Any) -> None:
        new = self._path.with_suffix(".new")
        try:
            with open(new, "wb") as file:
                file.write(frame(encode(told)))
                file.flush()
                os.fsync(file.fileno())
            os.replace(new, self._path)
            OsFiles().sync_folder(self._path.parent)
        except OSError as exc:
            emit(NotKept(self._path.name, str(exc)))
