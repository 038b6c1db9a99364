"""Stores the members of the control log on disk, for the next start of the process.

The settings of a process that is started again may list only replicas that were
replaced in the meantime.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from gooseberrydale.process.cache_file import CacheFile
from gooseberrydale.version.known_controls import ControlMembers, KnownControls


class ControlMembersFile:
    """Stores the members of ``controls`` in the file at ``path`` after changes."""

    def __init__(self, path: Path, controls: KnownControls) -> None:
        self._controls = controls
        self._file = CacheFile(path, lambda _: controls.members)
        self._unsubscribe: Callable[[], None] | None = None

    async def start(self) -> None:
        """Restore the stored members, then store every change."""
        stored = self._file.read()
        if isinstance(stored, ControlMembers):
            self._controls.restore(stored)
        self._unsubscribe = self._controls.subscribe(self._file.schedule_write)
        await self._file.start()

    async def close(self) -> None:
        """Stop writing."""
        if self._unsubscribe is not None:
            self._unsubscribe()
            self._unsubscribe = None
        await self._file.close()
