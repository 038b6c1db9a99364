"""Keeps what ran at upstreams that ended over a restart of the process.

Lives as long as the process.  After all processes were killed at once, a request that
ends its upstreams would be free to end three more.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import EndedIncarnation
from gooseberrydale.process.control.kept_file import KeptFile
from gooseberrydale.version.ended_incarnations import EndedIncarnations


@message
@dataclass(frozen=True, slots=True)
class KeptEndedIncarnations:
    """All incarnations that are known to have ended, as old as they were at the
    write."""

    incarnations: tuple[EndedIncarnation, ...]


class EndedIncarnationsCache:
    """Keeps ``ended_incarnations`` in a file at ``path``."""

    def __init__(self, path: Path, ended_incarnations: EndedIncarnations) -> None:
        self._ended_incarnations = ended_incarnations
        self._file = KeptFile(path, self._collect)

    async def start(self) -> None:
        """Offer what was kept, then keep what changes."""
        now = asyncio.get_running_loop().time()
        kept = self._file.read()
        if isinstance(kept, KeptEndedIncarnations):
            for incarnation in kept.incarnations:
                self._ended_incarnations.offer(incarnation, now)
        self._ended_incarnations.subscribe(self._file.changed)
        await self._file.start()

    async def close(self) -> None:
        """Stop keeping."""
        await self._file.close()

    def _collect(self, now: float) -> KeptEndedIncarnations:
        return KeptEndedIncarnations(
            self._ended_incarnations.since(0, now).incarnations
        )
