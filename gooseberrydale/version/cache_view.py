"""View of the pieces in the cache of an upstream, built from its events.

The view covers one incarnation of the upstream under one weights version; ``begin``
drops the contents when either changes.  Events arrive late, repeated, out of order and
with gaps.  While one is missing, the view is incomplete and every piece counts as
absent; a snapshot makes it complete again.  This module does no I/O.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

from gooseberrydale.connection.upstream_api import CacheEvent, CacheSnapshot
from gooseberrydale.errors import InvariantError

MAX_PENDING = 1_024


class CacheView:
    """Keys of the cached pieces of one upstream; exact whenever it is complete."""

    def __init__(self) -> None:
        self._incarnation: tuple[str, str] = ("", "")
        self._keys: set[str] = set()
        self._seq: int | None = None
        self._pending: dict[int, CacheEvent] = {}
        self.ignored = 0

    def __len__(self) -> int:
        return len(self._keys) if self.complete else 0

    @property
    def complete(self) -> bool:
        """Whether all events up to the newest one received have been applied."""
        return self._seq is not None and not self._pending

    @property
    def seq(self) -> int:
        """Sequence number of the last event applied, -1 if there is none."""
        return -1 if self._seq is None else self._seq

    def begin(self, incarnation: str, weights_version: str) -> bool:
        """Start with an empty view if the incarnation or the weights have changed.

        Return whether they have.
        """
        if self._incarnation == (incarnation, weights_version):
            return False
        self._incarnation = (incarnation, weights_version)
        self.interrupt()
        return True

    def interrupt(self) -> None:
        """Mark the view incomplete until the next snapshot, as events may be lost."""
        self._keys = set()
        self._seq = None
        self._pending = {}

    def apply(self, event: CacheEvent) -> None:
        """Apply an event, or store it until the events before it have arrived."""
        if event.incarnation != self._incarnation[0]:
            self.ignored += 1
            return
        if self._seq is not None and event.seq <= self._seq:
            return
        self._pending[event.seq] = event
        if len(self._pending) > MAX_PENDING:
            self._drop_oldest()
        self._catch_up()

    def load(self, snapshot: CacheSnapshot) -> None:
        """Replace the view by a snapshot unless the view is newer."""
        if snapshot.incarnation != self._incarnation[0]:
            self.ignored += 1
            return
        if self._seq is not None and snapshot.seq < self._seq:
            return
        self._keys = set(snapshot.keys)
        self._seq = snapshot.seq
        self._pending = {s: e for s, e in self._pending.items() if s > snapshot.seq}
        self._catch_up()

    def cached_tokens(self, pieces: Sequence[tuple[str, int]]) -> int:
        """Return the number of tokens at the start of a prompt that are cached.

        ``pieces`` are full keys with their tokens, from the start of the prompt.  A
        piece counts only if all pieces before it are cached.
        """
        return sum(size for _, size in pieces[: self.prefix_length(pieces)])

    def prefix_length(self, pieces: Sequence[tuple[str, int]]) -> int:
        """Return the number of pieces at the start of a prompt that are cached."""
        if not self.complete:
            return 0
        hits = itertools.takewhile(lambda piece: piece[0] in self._keys, pieces)
        return sum(1 for _ in hits)

    def missing(self, pieces: Iterable[tuple[str, int]]) -> list[tuple[str, int]]:
        """Return the pieces that are not cached, or all if the view is incomplete."""
        if not self.complete:
            return list(pieces)
        return [piece for piece in pieces if piece[0] not in self._keys]

    def _catch_up(self) -> None:
        if self._seq is None:
            return
        while (event := self._pending.pop(self._seq + 1, None)) is not None:
            if event.seq != self._seq + 1:
                raise InvariantError(
                    f"cache event {event.seq} applied after {self._seq}"
                )
            self._keys.difference_update(event.removed)
            self._keys.update(event.stored)
            self._seq = event.seq

    def _drop_oldest(self) -> None:
        """Discard all pending events but the newest, which forces a snapshot.

        An event before them must be lost, as too many wait for it.
        """
        newest = max(self._pending)
        kept = {newest: self._pending[newest]}
        self.interrupt()
        self._pending = kept
