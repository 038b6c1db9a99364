"""Which parts of prompts a store of KV cache holds, as its events tell.

Lives as long as one incarnation of the store; pure.  Events come late, and a few never;
a part that is wrongly taken to be there costs a failed look, one that is wrongly taken
to be missing is saved once more.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

from gooseberrydale.request.gateway_call import PromptPart


class StoreEvent(msgspec.Struct, frozen=True, array_like=True):
    """A part under a salt has now ``tokens`` in the store, 0 if it was dropped."""

    salt: str
    key: str
    tokens: int


@dataclass(frozen=True, slots=True)
class StoreNews:
    """Events of one incarnation of a store.

    ``missed`` says that some before were lost, ``whole`` that they are all that it
    holds.
    """

    incarnation: str
    events: tuple[StoreEvent, ...]
    missed: bool = False
    whole: bool = False


class StoreView:
    """The parts in one store; ``up`` is whether it answers."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.up = False
        self._incarnation = ""
        self._tokens: dict[tuple[str, str], int] = {}

    def take(self, news: StoreNews) -> None:
        """Take news in; another incarnation of the store begins with nothing."""
        self.up = True
        if news.whole or news.incarnation != self._incarnation:
            self._incarnation = news.incarnation
            self._tokens.clear()
        for event in news.events:
            self._apply(event)

    def lost(self) -> None:
        """The store does not answer."""
        self.up = False

    def held_tokens(self, salt: str, parts: Iterable[PromptPart]) -> int:
        """Tokens at the beginning of a prompt that the store holds, by whole parts."""
        held = 0
        if not self.up:
            return held
        for part in parts:
            if self._tokens.get((salt, part.key), 0) < part.tokens:
                break
            held += part.tokens
        return held

    def holds(self, salt: str, parts: Sequence[PromptPart]) -> bool:
        """Whether the store is there and holds all of the parts."""
        return self.up and not self.lacks(salt, parts)

    def lacks(self, salt: str, parts: Sequence[PromptPart]) -> bool:
        """Whether the store is there and lacks one of the parts."""
        wanted = sum(part.tokens for part in parts)
        return self.up and wanted > 0 and self.held_tokens(salt, parts) < wanted

    def _apply(self, event: StoreEvent) -> None:
        key = (event.salt, event.key)
        if event.tokens > 0:
            self._tokens[key] = event.tokens
        else:
            self._tokens.pop(key, None)
