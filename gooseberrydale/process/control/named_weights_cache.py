"""Stores the ages of named weights on disk, to survive a process restart.

Without it, all versions would count as new after all processes were killed at once, and
engines could start work on outdated weights for as long again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import NamedVersion
from gooseberrydale.process.cache_file import CacheFile
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.named_weights import NamedWeights

WRITE_INTERVAL_S = 1.0
"""Interval between writes while ages matter; a killed process loses as much of them."""


@message
@dataclass(frozen=True, slots=True)
class KeptNamedWeights:
    """The stored versions, with their ages at the time of the write."""

    versions: tuple[NamedVersion, ...]


class NamedWeightsCache:
    """Stores ``named`` in the file at ``path`` while a version is recent.

    A version is recent for ``bound_s``, after which no work may start on older weights.
    ``restore`` receives the stored versions and the time.
    """

    def __init__(
        self,
        path: Path,
        named: NamedWeights,
        bound_s: float,
        restore: Callable[[Iterable[NamedVersion], float], None],
    ) -> None:
        self._named = named
        self._bound_s = bound_s
        self._restore = restore
        self._file = CacheFile(path, self._collect)
        self._tasks: list[asyncio.Task[None]] = []
        self._written_changes = 0
        self._was_recent = False

    async def start(self) -> None:
        """Restore the stored versions, then store them and their ages."""
        stored = self._file.read()
        if isinstance(stored, KeptNamedWeights):
            self._restore(stored.versions, _now())
        self._written_changes = self._named.changes
        await self._file.start()
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Store the current ages, if they matter, and stop writing."""
        await stop(self._tasks)
        await self._file.close()
        if self._is_write_due():
            await self._file.write()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            if self._is_write_due():
                self._file.schedule_write()

    def _is_write_due(self) -> bool:
        """Whether ages changed or matter, or did at the last call.

        The write after the last recent one stores that the bound has passed.
        """
        is_recent = bool(self._named.report(_now(), self._bound_s))
        has_changed = self._written_changes != self._named.changes
        is_due = is_recent or self._was_recent or has_changed
        self._was_recent, self._written_changes = is_recent, self._named.changes
        return is_due

    def _collect(self, now: float) -> KeptNamedWeights:
        return KeptNamedWeights(self._named.report(now))


def _now() -> float:
    return asyncio.get_running_loop().time()
