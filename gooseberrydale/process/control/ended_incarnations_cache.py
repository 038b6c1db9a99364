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
from gooseberrydale.process.control.cache_file import CacheFile
from gooseberrydale.version.ended_incarnations import EndedIncarnations


@message
@dataclass(frozen=True, slots=True)
class KeptEndedIncarnations:
    """The stored incarnations, with their ages at the time of the write."""

    incarnations: tuple[EndedIncarnation, ...]


class EndedIncarnationsCache:
    """Stores ``ended_incarnations`` in the file at ``path`` whenever they change."""

    def __init__(self, path: Path, ended_incarnations: EndedIncarnations) -> None:
        self._ended_incarnations = ended_incarnations
        self._file = CacheFile(path, self._collect)

    async def start(self) -> None:
        """Restore the stored incarnations, then store every change."""
        now = asyncio.get_running_loop().time()
        stored = self._file.read()
        if isinstance(stored, KeptEndedIncarnations):
            for incarnation in stored.incarnations:
                self._ended_incarnations.offer(incarnation, now)
        self._ended_incarnations.subscribe(self._file.schedule_write)
        await self._file.start()

    async def close(self) -> None:
        """Stop writing."""
        await self._file.close()

    def _collect(self, now: float) -> KeptEndedIncarnations:
        return KeptEndedIncarnations(
            self._ended_incarnations.since(0, now).incarnations
        )
