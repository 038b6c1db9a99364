"""Prefix cache of the example engine: bounded in tokens, least recently used first.

Entries are keyed by the keys that requests bring along.  Entries not used for the
time to live are dropped, as real engines overwrite free blocks within seconds.
Pure: time is passed in.  Lives as long as one set of weights in one engine.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from gooseberrydale.errors import InvariantError


@dataclass(frozen=True, slots=True)
class KvPiece:
    """A stretch of a prompt: its cache key and its tokens."""

    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheChange:
    """Keys that came and went in one step."""

    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _Entry:
    tokens: int
    root: str
    used_at: float


class PrefixCache:
    """Cached pieces, the least recently used first."""

    def __init__(self, capacity_tokens: int, ttl_s: float) -> None:
        self._capacity = capacity_tokens
        self._ttl_s = ttl_s
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._entries)

    def keys(self) -> tuple[str, ...]:
        """Return the cached keys, the least recently used first."""
        return tuple(self._entries)

    def root_of(self, key: str) -> str | None:
        """Return the root that ``key`` was computed under; None if not cached."""
        entry = self._entries.get(key)
        return None if entry is None else entry.root

    def match(self, pieces: Sequence[KvPiece], now: float) -> int:
        """Return the cached tokens at the start of a prompt and mark them used.

        A piece counts only if all pieces before it are cached.
        """
        held = 0
        for piece in pieces:
            if piece.key not in self._entries:
                break
            held += 1
        self._touch(pieces[:held], now)
        return sum(piece.tokens for piece in pieces[:held])

    def store(self, pieces: Sequence[KvPiece], root: str, now: float) -> CacheChange:
        """Add the pieces of a prompt, outermost first; return what changed."""
        before = set(self._entries)
        for piece in pieces:
            if piece.key in self._entries:
                continue
            self._entries[piece.key] = _Entry(piece.tokens, root, now)
            self._tokens += piece.tokens
        self._touch(pieces, now)
        self._shrink()
        after = set(self._entries)
        stored = tuple(p.key for p in pieces if p.key in after - before)
        return CacheChange(stored, tuple(sorted(before - after)))

    def expire(self, now: float) -> CacheChange:
        """Drop what was not used for the time to live."""
        removed = []
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.used_at + self._ttl_s > now:
                break
            self._drop_oldest()
            removed.append(key)
        return CacheChange(removed=tuple(removed))

    def next_expiry(self) -> float | None:
        """Return when the next entry expires if it is not used again."""
        if not self._entries:
            return None
        return next(iter(self._entries.values())).used_at + self._ttl_s

    def clear(self) -> CacheChange:
        """Drop everything."""
        removed = self.keys()
        self._entries.clear()
        self._tokens = 0
        return CacheChange(removed=removed)

    def _touch(self, pieces: Sequence[KvPiece], now: float) -> None:
        # The innermost piece comes first, so that a prefix outlives what needs it.
        for piece in reversed(pieces):
            entry = self._entries[piece.key]
            self._entries[piece.key] = _Entry(entry.tokens, entry.root, now)
            self._entries.move_to_end(piece.key)

    def _shrink(self) -> None:
        while self._tokens > self._capacity:
            self._drop_oldest()
        if self._tokens < 0:
            raise InvariantError(f"cache holds {self._tokens} tokens")

    def _drop_oldest(self) -> None:
        _key, entry = self._entries.popitem(last=False)
        self._tokens -= entry.tokens
