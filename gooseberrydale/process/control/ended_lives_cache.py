"""Keeps what ran at upstreams that ended over a restart of the process.

Lives as long as the process; the file lives as long as the disk.  After all processes
were killed at once, a request that ends its upstreams would be free to end three more.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import EndedLife
from gooseberrydale.process.control.kept_file import KeptFile
from gooseberrydale.process.control.tasks import spawn, stop
from gooseberrydale.version.ended_lives import EndedLives

GATHER_S = 0.1
"""News within this time shares a write."""


@message
@dataclass(frozen=True, slots=True)
class KeptEndedLives:
    """All lives that are known to have ended, as old as they were at the write."""

    lives: tuple[EndedLife, ...]


class EndedLivesCache:
    """Writes ``ended_lives`` to ``path`` when there is news."""

    def __init__(self, path: Path, ended_lives: EndedLives) -> None:
        self._file = KeptFile(path)
        self._ended_lives = ended_lives
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Offer what was kept, then keep what changes."""
        now = asyncio.get_running_loop().time()
        kept = self._file.read()
        if isinstance(kept, KeptEndedLives):
            for life in kept.lives:
                self._ended_lives.offer(life, now)
        self._ended_lives.subscribe(self._changed.set)
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop keeping."""
        await stop(self._tasks)

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            await asyncio.sleep(GATHER_S)
            self._changed.clear()
            now = asyncio.get_running_loop().time()
            told = KeptEndedLives(self._ended_lives.since(0, now).lives)
            await asyncio.to_thread(self._file.write, told)
