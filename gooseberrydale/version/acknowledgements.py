"""Which revision is in force at which process, by what the processes tell.

Lives as long as the process and is rebuilt from the mesh after a restart.  A
process that fell silent stays on the list for a while, since nobody knows what it
has in force; after that it counts as gone.  The module reads no clock: ``now`` is
loop time in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

FORGET_AFTER_S = 300.0
SETTLE_S = 3.0


@dataclass(frozen=True, slots=True)
class Standing:
    """What one process told last, and when."""

    role: str
    name: str
    incarnation: str
    zone: str
    revision: int
    heard_at: float


class Acknowledgements:
    """The newest word of each process."""

    def __init__(self) -> None:
        self._standings: dict[tuple[str, str], Standing] = {}
        self._complete_at = math.inf

    def start(self, now: float) -> None:
        """Begin to listen; until processes had time to join, the list is partial."""
        self._complete_at = now + SETTLE_S

    def in_force_everywhere(self, revision: int, now: float) -> bool:
        """Whether every process has told ``revision``, as far as can be known."""
        return now >= self._complete_at and not self.behind(revision, now)

    def heard(self, standing: Standing) -> None:
        """Take in what a process told; a word of an earlier incarnation is dropped."""
        key = (standing.role, standing.name)
        known = self._standings.get(key)
        if known is not None and standing.incarnation < known.incarnation:
            return
        self._standings[key] = standing

    def all(self, now: float) -> list[Standing]:
        """Every process that is not known to be gone, by role and name."""
        gone = [
            key
            for key, standing in self._standings.items()
            if standing.heard_at + FORGET_AFTER_S <= now
        ]
        for key in gone:
            del self._standings[key]
        return [standing for _, standing in sorted(self._standings.items())]

    def behind(self, revision: int, now: float) -> list[Standing]:
        """The processes that have not told ``revision`` or a higher one."""
        return [known for known in self.all(now) if known.revision < revision]
