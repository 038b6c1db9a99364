"""Prefix cache of the example engine: LRU eviction, with a capacity in tokens.

Requests supply the cache keys.  Entries that were not used for the time to live are
evicted, as real engines overwrite free blocks within seconds.  The cache is pure (time
is passed in), and it is cleared when the weights change.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from gooseberrydale.errors import InvariantError


@dataclass(frozen=True, slots=True)
class KvPiece:
    """A section of a prompt: its cache key and its length in tokens."""

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Keys that were added and evicted in one step."""

    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _Entry:
    tokens: int
    root: str
    used_at: float


class PrefixCache:
    """Cached pieces, ordered from the least to the most recently used."""

    def __init__(self, capacity_tokens: int, ttl_s: float) -> None:
        self._capacity = capacity_tokens
        self._ttl_s = ttl_s
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._entries)

    def keys(self) -> tuple[str, ...]:
        """Return the cached keys, from the least to the most recently used."""
        return tuple(self._entries)

    def root_of(self, key: str) -> str | None:
        """Return the root that ``key`` was derived from; None if it is not cached."""
        entry = self._entries.get(key)
        return None if entry is None else entry.root

    def match(self, pieces: Sequence[KvPiece], now: float) -> int:
        """Return the tokens of the cached prefix, and mark its pieces as used.

        A piece counts only if all pieces before it are cached.
        """
        matched = 0
        for piece in pieces:
            if piece.key not in self._entries:
                break
            matched += 1
        self._mark_used(pieces[:matched], now)
        return sum(piece.tokens for piece in pieces[:matched])

    def store(self, pieces: Sequence[KvPiece], root: str, now: float) -> CacheChange:
        """Add the pieces of a prompt, in its order; return what changed."""
        before = set(self._entries)
        for piece in pieces:
            if piece.key in self._entries:
                continue
            self._entries[piece.key] = _Entry(piece.tokens, root, now)
            self._tokens += piece.tokens
        self._mark_used(pieces, now)
        self._evict_excess()
        after = set(self._entries)
        stored = tuple(p.key for p in pieces if p.key in after - before)
        return CacheChange(stored, tuple(sorted(before - after)))

    def expire(self, now: float) -> CacheChange:
        """Evict the entries that were not used for the time to live."""
        removed = []
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.used_at + self._ttl_s > now:
                break
            self._evict_oldest()
            removed.append(key)
        return CacheChange(removed=tuple(removed))

    def next_expiry(self) -> float | None:
        """Return when the next entry expires if it is not used again."""
        if not self._entries:
            return None
        return next(iter(self._entries.values())).used_at + self._ttl_s

    def clear(self) -> CacheChange:
        """Evict all entries."""
        removed = self.keys()
        self._entries.clear()
        self._tokens = 0
        return CacheChange(removed=removed)

    def _mark_used(self, pieces: Sequence[KvPiece], now: float) -> None:
        # The last piece is marked first and so evicted first: it is useless without the
        # pieces before it.
        for piece in reversed(pieces):
            entry = self._entries[piece.key]
            self._entries[piece.key] = _Entry(entry.tokens, entry.root, now)
            self._entries.move_to_end(piece.key)

    def _evict_excess(self) -> None:
        while self._tokens > self._capacity:
            self._evict_oldest()
        if self._tokens < 0:
            raise InvariantError(
                f"cache counts {self._tokens} tokens, which is negative"
            )

    def _evict_oldest(self) -> None:
        _key, entry = self._entries.popitem(last=False)
        self._tokens -= entry.tokens
