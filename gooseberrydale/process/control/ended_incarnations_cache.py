"""Stores the records of ended incarnations on disk, to survive a process restart.

Without it, a request that ends its upstreams could end three more after all processes
were killed at once, because its quarantine would be forgotten.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import EndedIncarnation
from gooseberrydale.process.cache_file import CacheFile
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.ended_incarnations import EndedIncarnations

REWRITE_INTERVAL_S = 60.0
"""Interval between writes without a change, so that a restart loses little of the ages:
ends are dropped by age, and with them the quarantine of a request."""


@message
@dataclass(frozen=True, slots=True)
class KeptEndedIncarnations:
    """The stored incarnations, with their ages at the time of the write."""

    incarnations: tuple[EndedIncarnation, ...]


class EndedIncarnationsCache:
    """Stores ``ended_incarnations`` and their ages in the file at ``path``."""

    def __init__(self, path: Path, ended_incarnations: EndedIncarnations) -> None:
        self._ended_incarnations = ended_incarnations
        self._file = CacheFile(path, self._collect)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Restore the stored incarnations, then store every change and the ages."""
        now = asyncio.get_running_loop().time()
        stored = self._file.read()
        if isinstance(stored, KeptEndedIncarnations):
            for incarnation in stored.incarnations:
                self._ended_incarnations.offer(incarnation, now)
        self._ended_incarnations.subscribe(self._file.schedule_write)
        await self._file.start()
        self._tasks.append(spawn(self._rewrite()))

    async def close(self) -> None:
        """Stop writing."""
        await stop(self._tasks)
        await self._file.close()

    async def _rewrite(self) -> None:
        """Store the ages from time to time while there are any."""
        while True:
            await asyncio.sleep(REWRITE_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            if self._ended_incarnations.since(0, now).incarnations:
                self._file.schedule_write()

    def _collect(self, now: float) -> KeptEndedIncarnations:
        return KeptEndedIncarnations(
            self._ended_incarnations.since(0, now).incarnations
        )
