"""The upstreams that may serve a profile, indexed for routing.

Records are renewed all the time, while the set of names seldom changes.  So the records
are replaced with each new snapshot, while the preferred upstreams of a prefix, found by
rendezvous hashing, are cached until a name is added or removed, or a weight changes.
Pure; part of the router's state.
"""

from __future__ import annotations

import hashlib
import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence
from itertools import compress
from operator import is_not

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.version.declarations import Profile

MAX_PREFERRED = 64
MAX_CACHED_PREFIXES = 4_096
FLOOR_FACTOR = 2.5
"""How many names are expected above the weight floor, per name wanted; greater than 1,
so that there are rarely too few."""
_MIX = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


class Members:
    """Eligible upstreams of one pool and model, and their ranks for prefixes."""

    def __init__(self, pool: str, model: str) -> None:
        self._pool = pool
        self._model = model
        self._source: tuple[UpstreamRecord, ...] = ()
        self._digests: dict[str, int] = {}
        self._preferred: OrderedDict[bytes, tuple[str, ...]] = OrderedDict()
        self._weights: Mapping[str, float] = {}
        self.by_name: dict[str, UpstreamRecord] = {}
        self.names: list[str] = []

    def refresh(self, upstreams: Sequence[UpstreamRecord]) -> None:
        """Take the newest records; returns at once if the tuple is the same object."""
        if upstreams is self._source:
            return
        source = tuple(upstreams)
        if not self._renew(source):
            self._rebuild(source)
        self._source = source

    def _renew(self, source: tuple[UpstreamRecord, ...]) -> bool:
        """Replace changed records.

        Returns False if the set of names or the eligibility of a record changed.
        """
        if len(source) != len(self._source):
            return False
        changed = compress(source, map(is_not, source, self._source))
        before = compress(self._source, map(is_not, source, self._source))
        renewed = {}
        for record, old in zip(changed, before):
            if record.name != old.name or not self._eligible(record):
                return False
            if record.name not in self.by_name:
                return False
            renewed[record.name] = record
        self.by_name.update(renewed)
        return True

    def _rebuild(self, source: tuple[UpstreamRecord, ...]) -> None:
        self.by_name = {r.name: r for r in source if self._eligible(r)}
        self.names = sorted(self.by_name)
        if self.by_name.keys() != self._digests.keys():
            self._digests = {name: _digest(name.encode()) for name in self.names}
            self._preferred.clear()

    def weigh(self, weights: Mapping[str, float]) -> None:
        """Prefer upstreams in proportion to ``weights``; 1 for those not listed.

        Returns at once if the mapping is the same object.
        """
        if weights is self._weights:
            return
        if weights != self._weights:
            self._preferred.clear()
        self._weights = weights

    def highest_ranked(self, names: Sequence[str], prefix: bytes) -> str:
        """Return the name with the highest rendezvous weight for ``prefix``."""
        key = _digest(prefix)
        digests = self._digests
        return max(names, key=lambda name: ((digests[name] ^ key) * _MIX) & _MASK)

    def preferred(self, prefix: bytes) -> tuple[str, ...]:
        """Return the names with the highest rendezvous weights, highest first."""
        names = self._preferred.get(prefix)
        if names is not None:
            self._preferred.move_to_end(prefix)
            return names
        names = self._rank(prefix)
        self._preferred[prefix] = names
        if len(self._preferred) > MAX_CACHED_PREFIXES:
            self._preferred.popitem(last=False)
        return names

    def _rank(self, prefix: bytes) -> tuple[str, ...]:
        if self._weights:
            return self._rank_weighted(prefix)
        # Weights are uniform, so only few members are above this floor, which saves
        # sorting the others.  If there are too few, all members are ranked.
        top_fraction = FLOOR_FACTOR * MAX_PREFERRED / max(1, len(self._digests))
        ranked = self._rank_above(prefix, int(_MASK * max(0.0, 1.0 - top_fraction)))
        if len(ranked) < min(MAX_PREFERRED, len(self._digests)):
            ranked = self._rank_above(prefix, 0)
        return ranked

    def _rank_above(self, prefix: bytes, floor: int) -> tuple[str, ...]:
        key = _digest(prefix)
        ranked = [
            (weight, name)
            for name, digest in self._digests.items()
            if (weight := ((digest ^ key) * _MIX) & _MASK) >= floor
        ]
        ranked.sort(reverse=True)
        return tuple(name for _, name in ranked[:MAX_PREFERRED])

    def _rank_weighted(self, prefix: bytes) -> tuple[str, ...]:
        """Rank by the logarithm of the hash, divided by the weight.

        The probability of being first is then proportional to the weight, and a changed
        weight changes no order of others.  Equal weights give the order of the hashes.
        """
        key, weights = _digest(prefix), self._weights
        ranked = []
        for name, digest in self._digests.items():
            hashed = ((digest ^ key) * _MIX) & _MASK
            score = math.log((hashed + 1) / (_MASK + 1)) / weights.get(name, 1.0)
            # Close hashes have equal scores; their order is that of the hashes.
            ranked.append((score, hashed, name))
        ranked.sort(reverse=True)
        return tuple(name for _, _, name in ranked[:MAX_PREFERRED])

    def _eligible(self, record: UpstreamRecord) -> bool:
        if not record.ready or record.leaving or record.pool != self._pool:
            return False
        return not self._model or record.model == self._model


class MembersByProfile:
    """The :class:`Members` of each pool and model that a profile names."""

    def __init__(self) -> None:
        self._members: dict[tuple[str, str], Members] = {}

    def get(self, profile: Profile, upstreams: Sequence[UpstreamRecord]) -> Members:
        """Return the members for ``profile``, refreshed from ``upstreams``."""
        key = (profile.pool, profile.model)
        members = self._members.get(key)
        if members is None:
            members = self._members[key] = Members(*key)
        members.refresh(upstreams)
        return members


def _digest(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
