"""Views of all declared KV cache stores, and the selection of the store for a prefix.

One object per process; no I/O.  All gateways select the same store for a prefix by
rendezvous hashing, which divides the prefixes among the stores and stores none of them
twice.  While that store does not answer, the next one in hash order is used.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Sequence

from gooseberrydale.request.gateway_call import PromptPart
from gooseberrydale.version.store_view import StoreView


def first_by_hash(names: Collection[str], key: str) -> list[str]:
    """Return ``names`` in rendezvous hash order for ``key``, the same everywhere."""
    return sorted(names, key=lambda name: _digest(f"{name}|{key}"))


class Stores:
    """One view for each declared store."""

    def __init__(self) -> None:
        self._views: dict[str, StoreView] = {}

    @property
    def addresses(self) -> Collection[str]:
        """Addresses of the declared stores."""
        return self._views.keys()

    def declare(self, addresses: Collection[str]) -> None:
        """Set the declared stores; the views of all others are dropped."""
        self._views = {
            address: self._views.get(address) or StoreView(address)
            for address in addresses
        }

    def view(self, address: str) -> StoreView | None:
        """Return the view of one store, None if it is not declared."""
        return self._views.get(address)

    def store_for(self, parts: Sequence[PromptPart]) -> StoreView | None:
        """Return the store for the prefix of ``parts``, None if no store answers."""
        up = [name for name, view in self._views.items() if view.up]
        if not parts or not up:
            return None
        if len(up) == 1:
            return self._views[up[0]]
        return self._views[first_by_hash(up, parts[-1].key)[0]]


def _digest(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
