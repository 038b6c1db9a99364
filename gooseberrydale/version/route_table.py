"""Finds the route and the workspace of a request in the document in force.

A table is built once per document.  The cost of a lookup depends on the number of path
segments, not on the number of routes.
"""

from __future__ import annotations

from gooseberrydale.version.declared import Declared, KeyHolder, Route


class RouteTable:
    """Routes of one document by host and path prefix, and workspaces by key.

    ``cache_epoch`` is the epoch of the prefixes that workspaces share.
    """

    def __init__(self, declared: Declared, cache_epoch: int = 0) -> None:
        self.declared = declared
        # Not what an isolated workspace gets, whatever its name.
        self._shared_scope = f"/{cache_epoch}" if cache_epoch else ""
        self._by_name = {holder.name: holder for holder in declared.workspaces or ()}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in declared.routes:
            by_prefix = self._by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route
        self._depth = max(
            (r.path_prefix.count("/") for r in declared.routes), default=0
        )
        self.quotas = {
            holder.name: holder.quota
            for holder in declared.workspaces or ()
            if holder.quota is not None
        }
        self._by_key: dict[str, KeyHolder] = {}
        for holder in declared.workspaces or ():
            self._by_key.update((key, holder) for key in holder.keys)
        self._ranks = _ranks(declared)

    @property
    def needs_keys(self) -> bool:
        """Whether callers need a key, except on public routes."""
        return self.declared.workspaces is not None

    def route(self, host: str, path: str) -> Route | None:
        """The route of ``host`` with the longest path prefix that matches ``path``."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        for prefix in reversed(_slash_prefixes(path, self._depth)):
            if prefix in by_prefix:
                return by_prefix[prefix]
        return None

    def workspace(self, key: str | None) -> KeyHolder | None:
        """The workspace that holds ``key``."""
        return None if key is None else self._by_key.get(key)

    def cache_scope(self, holder: KeyHolder | None) -> str:
        """Return what separates the cached prefixes that a workspace may use.

        A workspace that was removed since ``holder`` was read is as isolated as before.
        """
        if holder is not None and self._by_name.get(holder.name, holder).isolated:
            return f".{holder.name}"
        return self._shared_scope

    def rank(self, route: Route, holder: KeyHolder | None) -> int:
        """The rank of a request among all that are declared, 0 for the most urgent.

        The priority of its workspace comes first, or of its route if the workspace has
        none.  The priority of the route divides requests of equal workspaces.
        """
        return self._ranks[_priorities(route, holder)]


def _ranks(declared: Declared) -> dict[tuple[int, int], int]:
    pairs = {
        _priorities(route, holder)
        for route in declared.routes
        for holder in (None if route.public else declared.workspaces) or (None,)
    }
    return {pair: rank for rank, pair in enumerate(sorted(pairs))}


def _priorities(route: Route, holder: KeyHolder | None) -> tuple[int, int]:
    if holder is None or holder.priority is None:
        return route.priority, route.priority
    return holder.priority, route.priority


def _slash_prefixes(path: str, max_count: int) -> list[str]:
    """The ``max_count`` shortest prefixes of ``path`` that end with a slash."""
    prefixes: list[str] = []
    end = path.find("/")
    while end >= 0 and len(prefixes) < max_count:
        prefixes.append(path[: end + 1])
        end = path.find("/", end + 1)
    return prefixes
