"""The task that writes a replica's storage.

It takes batches of writes, stores each with one sync in a worker thread, and reports
when the batch is synced. If the disk is full it retries the batch; later batches are
neither written nor acknowledged until it succeeds. There is one task per replica.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence

from loguru import logger

from gooseberrydale.errors import Problem
from gooseberrydale.version.replication import actions as act
from gooseberrydale.version.replication.storage import DiskFullError, Storage

RETRY_S = 1.0


class DiskTask:
    """Writes batches one after the other; ``problem`` is set while the disk is full."""

    def __init__(self, storage: Storage, written: Callable[[], None]) -> None:
        self._storage = storage
        self._written = written
        self._batches: asyncio.Queue[Sequence[act.Write]] = asyncio.Queue()
        self.problem: Problem | None = None

    def write(self, batch: Sequence[act.Write]) -> None:
        """Queue a batch; the ``written`` callback runs once it is synced."""
        self._batches.put_nowait(batch)

    async def run(self) -> None:
        """Write batches until cancelled; raises DiskFailedError if the disk fails."""
        while True:
            batch = await self._batches.get()
            remaining = deque(batch)
            await self._retry_while_full(lambda: self._write(remaining))
            self._written()
            if self._batches.empty():
                # The batch has already been reported as synced. The commit note is
                # optional, so it is written only while nothing else is queued.
                await asyncio.to_thread(self._storage.write_note)

    async def _retry_while_full(self, write_batch: Callable[[], None]) -> None:
        while True:
            try:
                await asyncio.to_thread(write_batch)
                self.problem = None
                return
            except DiskFullError as exc:
                if self.problem is None:
                    logger.error(exc.problem.message)
                self.problem = exc.problem
                await asyncio.sleep(RETRY_S)

    def _write(self, remaining: deque[act.Write]) -> None:
        """Write the remaining items of a batch; after a failure they can be retried."""
        while remaining:
            self._write_item(remaining[0])
            remaining.popleft()
        self._storage.sync()

    def _write_item(self, write: act.Write) -> None:
        match write:
            case act.SaveState(state):
                self._storage.save_state(state)
            case act.Truncate(index):
                self._storage.truncate(index)
            case act.Append(entries):
                self._storage.append(entries)
            case act.NoteCommit(index):
                self._storage.note_commit(index)
            case act.SaveSnapshot(snapshot, state, entries):
                self._storage.save_snapshot(snapshot, state, entries)
