"""Which cached prefixes workspaces that are not isolated may still use.

All workspaces that are not isolated share cached prefixes.  Once one of them becomes
isolated, the others must not use what it has made, and nobody can tell which of the
shared prefixes that is: engines and stores keep them for as long as they have room.  So
the others begin a new epoch, whose prefixes nobody has made yet.  Epochs are part of
the replicated control state, since a process that has just started doesn't know which
workspaces shared before.  Pure.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_SHARING = 16_384
"""Most names that an epoch remembers.  Workspaces that were removed are remembered too,
as they may be declared again; with more names than this a new epoch begins."""


@dataclass(frozen=True, slots=True)
class CacheEpoch:
    """The epoch that is shared now.

    ``number`` is the revision at which it began, 0 for the first one.  ``sharing`` are
    the workspaces that may have made prefixes in it; None if that is unknown.
    """

    number: int = 0
    sharing: frozenset[str] | None = frozenset()

    def after(
        self, isolated: Iterable[str] | None, sharing: Iterable[str], revision: int
    ) -> CacheEpoch:
        """Return the epoch of a document with these isolated and sharing workspaces.

        ``isolated`` is None if that is unknown; ``revision`` is the document's.

        Only a workspace that shared before and becomes isolated begins a new epoch.
        One that is isolated from the start has made nothing that others use, and one
        that is isolated no more shares only what it makes from then on.
        """
        if isolated is None:
            return CacheEpoch(self.number, None)
        now = frozenset(sharing)
        if self.sharing is None or not self.sharing.isdisjoint(isolated):
            return CacheEpoch(revision, now)
        known = self.sharing | now
        if len(known) > MAX_SHARING:
            return CacheEpoch(revision, now)
        return CacheEpoch(self.number, known)
