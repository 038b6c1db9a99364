"""Keeps the announcements of upstreams over a restart of the process.

Lives as long as the process.  After all processes were killed at once, nobody knows an
upstream until it announces itself again; what was known before is the best guess, and
whoever is wrong about it is told so by the upstream.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from pathlib import Path

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import GATEWAY_ROLE, UpstreamRecord
from gooseberrydale.process.control.kept_file import KeptFile
from gooseberrydale.version.directory import Directory

GUESS_LEASE_S = 6.0
"""A guess ends after this; live upstreams have announced themselves several times."""


@message
@dataclass(frozen=True, slots=True)
class KeptUpstreams:
    """The records of all upstreams that announce themselves."""

    records: tuple[UpstreamRecord, ...]


class UpstreamCache:
    """Keeps the records of ``directory`` in a file at ``path``."""

    def __init__(self, path: Path, directory: Directory) -> None:
        self._directory = directory
        self._file = KeptFile(path, self._collect)

    async def start(self) -> None:
        """Offer what was kept, then keep what changes."""
        now = asyncio.get_running_loop().time()
        kept = self._file.read()
        if isinstance(kept, KeptUpstreams):
            for record in kept.records:
                self._directory.offer(replace(record, lease_s=GUESS_LEASE_S), now)
        self._directory.subscribe(self._on_record)
        await self._file.start()

    async def close(self) -> None:
        """Stop keeping."""
        await self._file.close()

    def _on_record(self, changed: bool) -> None:
        if changed:
            self._file.changed()

    def _collect(self, now: float) -> KeptUpstreams:
        records = [r for r in self._directory.records(now) if _is_upstream(r)]
        return KeptUpstreams(tuple(records))


def _is_upstream(record: UpstreamRecord) -> bool:
    """Whether an upstream announced itself, as against a mark or a process."""
    by_itself = not record.upstream_incarnation and record.kind != GATEWAY_ROLE
    return bool(record.pool) and by_itself
