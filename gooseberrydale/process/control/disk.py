"""The task that owns a replica's storage.

It takes batches of writes, puts each on disk with one sync in a thread, and reports
it.  While the disk is full it tries again; nothing after the failed batch is
written or acknowledged before.  Lives as long as the replica.
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
    """Writes batches one after the other; ``problem`` is set while it is full."""

    def __init__(self, storage: Storage, written: Callable[[], None]) -> None:
        self._storage = storage
        self._written = written
        self._batches: asyncio.Queue[Sequence[act.Write]] = asyncio.Queue()
        self.problem: Problem | None = None

    def write(self, batch: Sequence[act.Write]) -> None:
        """Hand over a batch; ``written`` is called once it is synced."""
        self._batches.put_nowait(batch)

    async def run(self) -> None:
        """Write until cancelled; raises DiskFailedError if the disk fails."""
        while True:
            batch = await self._batches.get()
            rest = deque(batch)
            await self._until_space(lambda: self._write(rest))
            self._written()
            if self._batches.empty():
                # Whoever waits for the batch has been answered; the note is extra.
                await asyncio.to_thread(self._storage.write_note)

    async def _until_space(self, job: Callable[[], None]) -> None:
        while True:
            try:
                await asyncio.to_thread(job)
                self.problem = None
                return
            except DiskFullError as exc:
                if self.problem is None:
                    logger.error(exc.problem.message)
                self.problem = exc.problem
                await asyncio.sleep(RETRY_S)

    def _write(self, rest: deque[act.Write]) -> None:
        """Write what is left of a batch; after a failure the rest is still there."""
        while rest:
            self._collect(rest[0])
            rest.popleft()
        self._storage.sync()

    def _collect(self, write: act.Write) -> None:
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
