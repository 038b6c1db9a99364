"""View of the prompt parts in a KV cache store, built from the store's events.

One object per store; no I/O.  The contents are reset when the store restarts.  Events
arrive late, and a few are lost.  A part that the view lists wrongly costs a failed
lookup; a part that it misses is saved once more.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

from gooseberrydale.request.gateway_call import PromptPart


class StoreEvent(msgspec.Struct, frozen=True, array_like=True):
    """The store now has ``tokens`` of the part ``key`` under a cache salt.

    0 if the part was dropped.
    """

    salt: str
    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class StoreUpdate:
    """Events of one incarnation of a store.

    ``missed`` is True if earlier events were lost, ``whole`` if ``events`` list all
    parts in the store.
    """

    incarnation: str
    events: tuple[StoreEvent, ...]
    missed: bool = False
    whole: bool = False


class StoreView:
    """The prompt parts in one store; ``up`` is whether the store answers."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.up = False
        self._incarnation = ""
        self._tokens: dict[tuple[str, str], int] = {}

    def take(self, update: StoreUpdate) -> None:
        """Apply events; drop all parts first if the store has restarted."""
        self.up = True
        if update.whole or update.incarnation != self._incarnation:
            self._incarnation = update.incarnation
            self._tokens.clear()
        for event in update.events:
            self._apply(event)

    def lost(self) -> None:
        """Record that the store does not answer."""
        self.up = False

    def held_tokens(self, salt: str, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of the leading parts of a prompt that the store holds."""
        held = 0
        if not self.up:
            return held
        for part in parts:
            if self._tokens.get((salt, part.key), 0) < part.tokens:
                break
            held += part.tokens
        return held

    def holds(self, salt: str, parts: Sequence[PromptPart]) -> bool:
        """Return whether the store answers and holds all of the parts."""
        return self.up and not self.lacks(salt, parts)

    def lacks(self, salt: str, parts: Sequence[PromptPart]) -> bool:
        """Return whether the store answers and lacks one of the parts."""
        wanted = sum(part.tokens for part in parts)
        return self.up and wanted > 0 and self.held_tokens(salt, parts) < wanted

    def _apply(self, event: StoreEvent) -> None:
        key = (event.salt, event.key)
        if event.tokens > 0:
            self._tokens[key] = event.tokens
        else:
            self._tokens.pop(key, None)
