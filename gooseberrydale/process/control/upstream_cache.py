"""Keeps the announcements of upstreams over a restart of the process.

Lives as long as the process; the file lives as long as the disk.  After all processes
were killed at once, nobody knows an upstream until it announces itself again; what was
known before is the best guess, and whoever is wrong about it is told so by the
upstream.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from pathlib import Path

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import GATEWAY_ROLE, UpstreamRecord
from gooseberrydale.process.control.kept_file import KeptFile
from gooseberrydale.process.control.tasks import spawn, stop
from gooseberrydale.version.directory import Directory

GATHER_S = 0.1
"""Changes within this time share a write."""

GUESS_LEASE_S = 6.0
"""A guess ends after this; live upstreams have announced themselves several times."""


@message
@dataclass(frozen=True, slots=True)
class KeptUpstreams:
    """The records of all upstreams that announce themselves."""

    records: tuple[UpstreamRecord, ...]


class UpstreamCache:
    """Writes the records of ``directory`` to ``path`` when they change."""

    def __init__(self, path: Path, directory: Directory) -> None:
        self._file = KeptFile(path)
        self._directory = directory
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Offer what was kept, then keep what changes."""
        now = asyncio.get_running_loop().time()
        for record in self._read():
            self._directory.offer(replace(record, lease_s=GUESS_LEASE_S), now)
        self._directory.subscribe(self._on_record)
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop keeping."""
        await stop(self._tasks)

    def _on_record(self, changed: bool) -> None:
        if changed:
            self._changed.set()

    async def _run(self) -> None:
        while True:
            await self._changed.wait()
            await asyncio.sleep(GATHER_S)
            self._changed.clear()
            now = asyncio.get_running_loop().time()
            records = [r for r in self._directory.records(now) if _is_upstream(r)]
            await asyncio.to_thread(self._file.write, KeptUpstreams(tuple(records)))

    def _read(self) -> tuple[UpstreamRecord, ...]:
        kept = self._file.read()
        return kept.records if isinstance(kept, KeptUpstreams) else ()


def _is_upstream(record: UpstreamRecord) -> bool:
    """Whether an upstream announced itself, as against a mark or a process."""
    by_itself = not record.upstream_incarnation and record.kind != GATEWAY_ROLE
    return bool(record.pool) and by_itself
