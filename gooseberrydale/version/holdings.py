"""Which prefixes the engines hold in their memory, worked out from what they were sent.

Lives as long as the process; pure.  Engines tell of their cache by events, but there
are too many gateways to follow every engine.  What an engine caches follows from what
it was sent, though: each prompt that it computes, the least recently used leaving
first.  So a gateway notes its own sends and those that the others tell of, and keeps
for each engine a list like the engine's own.
"""

from __future__ import annotations

import hashlib
import itertools
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from gooseberrydale.request.gateway_call import PromptPart

KEPT_PLACES = 4_096
KEPT_PREFIXES = 4_096

LEAST_ROOM_PART = 0.1
"""Part of an engine's memory that caches in any case: what was sent a moment ago is
still being computed there, or has just been."""


@dataclass(frozen=True, slots=True)
class Level:
    """A beginning of a prompt that others may share: its key, and its tokens in all."""

    key: int
    tokens: int


@dataclass(frozen=True, slots=True)
class Place:
    """Where a prefix may be held: one engine under one version of its weights."""

    upstream: str
    weights: str


def levels_of(parts: Sequence[PromptPart], scope: str) -> tuple[Level, ...]:
    """The shared beginnings of a prompt, the shortest first.

    ``scope`` names the workspace whose prompts share with no other's.
    """
    digest = hashlib.blake2b(scope.encode(), digest_size=8)
    tokens = 0
    found = []
    for part in parts:
        digest.update(f"|{part.key}:{part.tokens}".encode())
        tokens += part.tokens
        found.append(Level(int.from_bytes(digest.digest(), "big") >> 1, tokens))
    return tuple(found)


class Holdings:
    """Prefixes by place, each list in the order of its last use."""

    def __init__(self) -> None:
        self._places: OrderedDict[Place, OrderedDict[int, int]] = OrderedDict()
        self._sums: dict[Place, int] = {}
        # Keys of what nobody looks for; those of shared beginnings are not negative.
        self._unshared = itertools.count(-1, -1)

    def sent(self, place: Place, levels: Iterable[Level], own_tokens: int) -> None:
        """A prompt went there: its shared beginnings, and ``own_tokens`` after them.

        Its own part takes room as well, until it is the least recently used.
        """
        before = 0
        for level in levels:
            self._touch(place, level.key, level.tokens - before)
            before = level.tokens
        self._touch(place, next(self._unshared), own_tokens)

    def make_room(self, place: Place, room_tokens: float) -> None:
        """The engine caches ``room_tokens`` at most now; what was used last stays."""
        kept = self._list(place)
        while kept and (self._sums[place] > room_tokens or len(kept) > KEPT_PREFIXES):
            _, tokens = kept.popitem(last=False)
            self._sums[place] -= tokens

    def held_tokens(self, place: Place, levels: Iterable[Level]) -> int:
        """Tokens at the beginning of a prompt that the engine holds."""
        kept = self._places.get(place)
        held = 0
        if kept is None:
            return held
        for level in levels:
            if level.key in kept:
                held = level.tokens
        return held

    def forget(self, upstream: str) -> None:
        """A life of an upstream is over, and what it held is gone."""
        for place in [one for one in self._places if one.upstream == upstream]:
            del self._places[place]
            del self._sums[place]

    def _list(self, place: Place) -> OrderedDict[int, int]:
        kept = self._places.get(place)
        if kept is None:
            kept = self._places[place] = OrderedDict()
            self._sums[place] = 0
            if len(self._places) > KEPT_PLACES:
                oldest, _ = self._places.popitem(last=False)
                del self._sums[oldest]
        return kept

    def _touch(self, place: Place, key: int, tokens: int) -> None:
        kept = self._list(place)
        self._sums[place] += tokens - kept.pop(key, 0)
        kept[key] = tokens
