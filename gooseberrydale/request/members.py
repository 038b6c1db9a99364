"""Upstreams that may serve one profile's pool, prepared for choosing.

Records renew all the time, while names seldom change.  So the records are replaced
with each new snapshot, but rendezvous homes are computed once per prefix and kept
until a name comes or goes.  Pure; a part of the router's state.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Sequence

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.version.declarations import Profile

RANKED_HOMES = 16
KEPT_PREFIXES = 4_096
_MIX = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


class Members:
    """Eligible upstreams of one pool and model, and the homes of prefixes there."""

    def __init__(self, pool: str, model: str) -> None:
        self._pool = pool
        self._model = model
        self._source: tuple[UpstreamRecord, ...] = ()
        self._digests: dict[str, int] = {}
        self._homes: OrderedDict[bytes, tuple[str, ...]] = OrderedDict()
        self.by_name: dict[str, UpstreamRecord] = {}
        self.records: list[UpstreamRecord] = []

    def refresh(self, upstreams: Sequence[UpstreamRecord]) -> None:
        """Take the newest records; costs nothing for the tuple of last time."""
        if upstreams is self._source:
            return
        self._source = tuple(upstreams)
        self.records = [r for r in self._source if self._eligible(r)]
        self.by_name = {r.name: r for r in self.records}
        if self.by_name.keys() != self._digests.keys():
            self._digests = {n: _member_digest(n) for n in sorted(self.by_name)}
            self._homes.clear()

    def homes(self, prefix: bytes) -> tuple[str, ...]:
        """Return the names with the highest rendezvous weights, highest first."""
        found = self._homes.get(prefix)
        if found is not None:
            self._homes.move_to_end(prefix)
            return found
        found = self._rank(prefix)
        self._homes[prefix] = found
        if len(self._homes) > KEPT_PREFIXES:
            self._homes.popitem(last=False)
        return found

    def _rank(self, prefix: bytes) -> tuple[str, ...]:
        key = int.from_bytes(prefix[-8:], "big")
        weights = [((d ^ key) * _MIX) & _MASK for d in self._digests.values()]
        best = heapq.nlargest(RANKED_HOMES, zip(weights, self._digests))
        return tuple(name for _, name in best)

    def _eligible(self, record: UpstreamRecord) -> bool:
        if not record.ready or record.leaving or record.pool != self._pool:
            return False
        return not self._model or record.model == self._model


class MembersByProfile:
    """One :class:`Members` for each pool and model that profiles name."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, str], Members] = {}

    def get(self, profile: Profile, upstreams: Sequence[UpstreamRecord]) -> Members:
        """Return the members that may serve ``profile``, up to date."""
        key = (profile.pool, profile.model)
        members = self._members.get(key)
        if members is None:
            members = self._members[key] = Members(*key)
        members.refresh(upstreams)
        return members


def _member_digest(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")
