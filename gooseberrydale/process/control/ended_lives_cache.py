"""Keeps what ran at upstreams that ended over a restart of the process.

Lives as long as the process.  After all processes were killed at once, a request that
ends its upstreams would be free to end three more.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import EndedLife
from gooseberrydale.process.control.kept_file import KeptFile
from gooseberrydale.version.ended_lives import EndedLives


@message
@dataclass(frozen=True, slots=True)
class KeptEndedLives:
    """All lives that are known to have ended, as old as they were at the write."""

    lives: tuple[EndedLife, ...]


class EndedLivesCache:
    """Keeps ``ended_lives`` in a file at ``path``."""

    def __init__(self, path: Path, ended_lives: EndedLives) -> None:
        self._ended_lives = ended_lives
        self._file = KeptFile(path, self._collect)

    async def start(self) -> None:
        """Offer what was kept, then keep what changes."""
        now = asyncio.get_running_loop().time()
        kept = self._file.read()
        if isinstance(kept, KeptEndedLives):
            for life in kept.lives:
                self._ended_lives.offer(life, now)
        self._ended_lives.subscribe(self._file.changed)
        await self._file.start()

    async def close(self) -> None:
        """Stop keeping."""
        await self._file.close()

    def _collect(self, now: float) -> KeptEndedLives:
        return KeptEndedLives(self._ended_lives.since(0, now).lives)
