"""The views of all declared stores of KV cache, and which of them keeps a prefix.

Lives as long as the process; pure.  A prefix belongs to one store, which every gateway
finds by the same hash, so that the stores share its bytes and nothing is kept twice.
While that store is away the next one takes its place.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Sequence

from gooseberrydale.request.gateway_call import PromptPart
from gooseberrydale.version.store_view import StoreView


def first_by_hash(names: Collection[str], key: str) -> list[str]:
    """``names`` in the order that everybody finds for ``key``."""
    return sorted(names, key=lambda name: _digest(f"{name}|{key}"))


class Stores:
    """One view for each declared store."""

    def __init__(self) -> None:
        self._views: dict[str, StoreView] = {}

    @property
    def addresses(self) -> Collection[str]:
        """The stores that are declared."""
        return self._views.keys()

    def declare(self, addresses: Collection[str]) -> None:
        """These stores are declared now; views of others are forgotten."""
        self._views = {
            address: self._views.get(address) or StoreView(address)
            for address in addresses
        }

    def view(self, address: str) -> StoreView | None:
        """The view of one store, if it is declared."""
        return self._views.get(address)

    def of(self, parts: Sequence[PromptPart]) -> StoreView | None:
        """The store that keeps the prefix of ``parts``; None if none answers."""
        up = [name for name, view in self._views.items() if view.up]
        if not parts or not up:
            return None
        if len(up) == 1:
            return self._views[up[0]]
        return self._views[first_by_hash(up, parts[-1].key)[0]]


def _digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
