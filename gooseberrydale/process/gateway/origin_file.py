"""Stores origins of streams on disk, to know them after all gateways were killed.

Origins are appended to one file; the file before it stays until all of its origins have
expired.  Nothing waits for a write, and none is synced: what was written outlives the
process.  After a loss of power, streams whose origins are lost are refused.
"""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Iterable
from pathlib import Path

from gooseberrydale.connection.codec import CodecError, decode, encode
from gooseberrydale.log_events import NothingKept, NotKept, emit
from gooseberrydale.version.origins.messages import OriginNotice
from gooseberrydale.version.replication.files import Files, OsFiles
from gooseberrydale.version.replication.records import frame, scan

WRITE_DELAY_S = 0.01
"""Origins within this time share a write."""

MAX_QUEUED = 4_096
"""Origins beyond these are dropped while the disk does not answer."""

MAX_FILE_BYTES = 4 * 1024 * 1024
"""A file of this size is replaced even if some of its origins have not expired."""


class OriginFile:
    """The files of origins in ``folder``; call ``read`` before ``start``."""

    def __init__(self, folder: Path, files: Files | None = None) -> None:
        self._files = files or OsFiles()
        self._folder = folder
        self._current = folder / "origins"
        self._previous = folder / "origins.old"
        self._queue: list[OriginNotice] = []
        self._queued = asyncio.Event()
        self._bytes = 0
        # Times of the loop at which the last origin of each file expires.
        self._current_until = 0.0
        self._previous_until = 0.0
        # A cancelled write goes on in its thread.
        self._writing = threading.Lock()
        self._task: asyncio.Task[None] | None = None

    def read(self) -> tuple[OriginNotice, ...]:
        """Return the stored origins and move them into the previous file.

        Appending to a file that ends in the middle of a record would hide what follows.
        """
        notices = (*self._load(self._previous), *self._load(self._current))
        try:
            self._files.make_folder(self._folder)
            merged = self._folder / "origins.new"
            self._files.remove(merged)
            self._files.append(merged, _encode(notices))
            self._files.rename(merged, self._previous)
            self._files.remove(self._current)
        except OSError as exc:
            emit(NotKept(self._current.name, str(exc)))
        now = asyncio.get_running_loop().time()
        self._previous_until = now + _longest_keep_s(notices)
        return notices

    async def start(self) -> None:
        """Start writing what is appended."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Write what is queued, and stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            await self.flush()
            self._files.close()

    def append(self, notice: OriginNotice) -> None:
        """Queue an origin to be written soon."""
        if len(self._queue) < MAX_QUEUED:
            self._queue.append(notice)
            self._queued.set()

    async def _run(self) -> None:
        while True:
            await self._queued.wait()
            await asyncio.sleep(WRITE_DELAY_S)
            await self.flush()

    async def flush(self) -> None:
        """Write what is queued."""
        notices, self._queue = self._queue, []
        self._queued.clear()
        if not notices:
            return
        now = asyncio.get_running_loop().time()
        data = _encode(notices)
        replaces = now >= self._previous_until or self._bytes > MAX_FILE_BYTES
        if replaces:
            self._previous_until, self._current_until = self._current_until, 0.0
            self._bytes = 0
        try:
            await asyncio.to_thread(self._write, data, replaces)
        except OSError as exc:
            emit(NotKept(self._current.name, str(exc)))
            return
        self._bytes += len(data)
        keep_s = _longest_keep_s(notices)
        self._current_until = max(self._current_until, now + keep_s)

    def _write(self, data: bytes, replaces: bool) -> None:
        with self._writing:
            if replaces and self._files.exists(self._current):
                self._files.rename(self._current, self._previous)
            try:
                self._files.append(self._current, data)
            except OSError:
                # A part of a record would hide those after it.
                with contextlib.suppress(OSError):
                    self._files.truncate(self._current, self._bytes)
                raise

    def _load(self, path: Path) -> list[OriginNotice]:
        if not self._files.exists(path):
            return []
        try:
            return [decode(item) for item in scan(self._files.read(path)).payloads]
        except (OSError, CodecError) as exc:
            emit(NothingKept(path.name, str(exc)))
            return []


def _encode(notices: Iterable[OriginNotice]) -> bytes:
    return b"".join(frame(encode(notice)) for notice in notices)


def _longest_keep_s(notices: Iterable[OriginNotice]) -> float:
    return max((notice.keep_s for notice in notices), default=0.0)
