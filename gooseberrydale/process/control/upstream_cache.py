"""Stores the announcements of upstreams on disk, to survive a process restart.

After all processes were killed at once, no process has a record of an upstream until it
announces itself again. Until then the stored records are the best available data; an
upstream that is wrongly addressed because of them refuses the request.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from pathlib import Path

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import GATEWAY_ROLE, UpstreamRecord
from gooseberrydale.process.cache_file import CacheFile
from gooseberrydale.version.directory import Directory

RESTORED_LEASE_S = 6.0
"""Lease of a restored record; a live upstream announces itself several times in it."""


@message
@dataclass(frozen=True, slots=True)
class KeptUpstreams:
    """The stored records of all upstreams that announced themselves."""

    records: tuple[UpstreamRecord, ...]


class UpstreamCache:
    """Stores the records of ``directory`` in the file at ``path`` after changes."""

    def __init__(self, path: Path, directory: Directory) -> None:
        self._directory = directory
        self._file = CacheFile(path, self._collect)

    async def start(self) -> None:
        """Restore the stored records, then store every change."""
        now = asyncio.get_running_loop().time()
        stored = self._file.read()
        if isinstance(stored, KeptUpstreams):
            for record in stored.records:
                self._directory.offer(replace(record, lease_s=RESTORED_LEASE_S), now)
        self._directory.subscribe(self._on_record)
        await self._file.start()

    async def close(self) -> None:
        """Stop writing."""
        await self._file.close()

    def _on_record(self, changed: bool) -> None:
        if changed:
            self._file.schedule_write()

    def _collect(self, now: float) -> KeptUpstreams:
        records = [
            record
            for record in self._directory.records(now)
            if _is_announcement(record)
        ]
        return KeptUpstreams(tuple(records))


def _is_announcement(record: UpstreamRecord) -> bool:
    """Return whether ``record`` is an upstream's own announcement.

    Other records are order marks and records of gateways.
    """
    announced_itself = not record.upstream_incarnation and record.kind != GATEWAY_ROLE
    return bool(record.pool) and announced_itself
