"""Tracks which configuration revision each process has acknowledged.

The state is kept in memory and rebuilt from the mesh after a restart.  A process
that stops reporting stays listed for ``STATUS_RETENTION_S``, because it may still be
running an old revision; after that it is assumed to have ended.  The module reads
no clock: ``now`` is loop time in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

STATUS_RETENTION_S = 300.0
STARTUP_GRACE_S = 3.0


@dataclass(frozen=True, slots=True)
class RevisionStatus:
    """The last status that a process reported, and when it was received."""

    role: str
    name: str
    incarnation: str
    zone: str
    revision: int
    received_at: float


class Acknowledgements:
    """The latest revision status of each process."""

    def __init__(self) -> None:
        self._statuses: dict[tuple[str, str], RevisionStatus] = {}
        self._grace_ends_at = math.inf

    def start(self, now: float) -> None:
        """Start the grace period in which processes connect and the list is partial."""
        self._grace_ends_at = now + STARTUP_GRACE_S

    def in_force_everywhere(self, revision: int, now: float) -> bool:
        """Whether every listed process has ``revision`` or a higher one in force.

        Always False during the grace period after :meth:`start`.
        """
        return now >= self._grace_ends_at and not self.behind(revision, now)

    def record_status(self, status: RevisionStatus) -> None:
        """Record a status; statuses of an earlier incarnation are ignored."""
        key = (status.role, status.name)
        previous = self._statuses.get(key)
        if previous is not None and status.incarnation < previous.incarnation:
            return
        self._statuses[key] = status

    def all(self, now: float) -> list[RevisionStatus]:
        """All statuses that have not expired, sorted by role and name."""
        expired = [
            key
            for key, status in self._statuses.items()
            if status.received_at + STATUS_RETENTION_S <= now
        ]
        for key in expired:
            del self._statuses[key]
        return [status for _, status in sorted(self._statuses.items())]

    def behind(self, revision: int, now: float) -> list[RevisionStatus]:
        """The processes whose last reported revision is below ``revision``."""
        return [status for status in self.all(now) if status.revision < revision]
