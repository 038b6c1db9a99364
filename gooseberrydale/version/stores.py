"""The views of all declared stores of KV cache, and which of them keeps a prefix.

Lives as long as the process; pure.  A prefix belongs to one store, which every gateway
finds by the same hash, so that the stores share its bytes and nothing is kept twice.
While that store is away the next one takes its place.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Sequence

from gooseberrydale.request.gateway_call import PromptPart
from gooseberrydale.request.prefix_source import Source, move_token_s
from gooseberrydale.version.declared import KvStoreDecl
from gooseberrydale.version.store_view import StoreView


def first_by_hash(names: Collection[str], key: str) -> list[str]:
    """``names`` in the order that everybody finds for ``key``."""
    return sorted(names, key=lambda name: _digest(f"{name}|{key}"))


class Stores:
    """One view for each declared store."""

    def __init__(self) -> None:
        self._views: dict[str, StoreView] = {}
        self._declared: dict[str, KvStoreDecl] = {}

    @property
    def addresses(self) -> Collection[str]:
        """The stores that are declared."""
        return self._views.keys()

    def declare(self, stores: Iterable[KvStoreDecl]) -> None:
        """These stores are declared now; views of others are forgotten."""
        self._declared = {store.address: store for store in stores}
        self._views = {
            address: self._views.get(address) or StoreView(address)
            for address in self._declared
        }

    def source(
        self, parts: Sequence[PromptPart], salt: str, token_bytes: float
    ) -> Source | None:
        """The store of a prefix as a source of it; None if it holds nothing of it."""
        view = self.of(parts)
        held = 0 if view is None else view.held_tokens(salt, parts)
        if view is None or not held:
            return None
        declared = self._declared[view.address]
        token_s = move_token_s(token_bytes, declared.link_bytes_per_s)
        return Source(view.address, declared.zone, held, token_s)

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
