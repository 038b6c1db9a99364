"""Checks of a decoded document; all faults are reported, not only the first."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator

from gooseberrydale.version.declared import Declared, Route
from gooseberrydale.version.quotas.quota import QUOTA_REMEDY, quota_faults


def declared_faults(declared: Declared) -> Iterator[str]:
    """Yield a message for each reason why a document can't be put in force."""
    if declared.number < 1:
        yield f"its number is {declared.number}; use 1 or more"
    stores = {store.name for store in declared.stores}
    for route in declared.routes:
        yield from _route_faults(route, declared.pools.keys() | stores)
    yield from _duplicate_routes(declared)
    yield from _shared_keys(declared)
    for holder in declared.workspaces or ():
        if holder.quota is not None:
            for name, value in quota_faults(holder.quota):
                yield (
                    f"the quota of workspace {holder.name!r} has {name} {value};"
                    f" {QUOTA_REMEDY}"
                )


def _route_faults(route: Route, pool_names: set[str]) -> Iterator[str]:
    key = f"route {route.name!r}"
    for share in route.shares:
        if share.pool not in pool_names:
            yield f"{key} names the unknown service {share.pool!r}"
        if not math.isfinite(share.weight) or share.weight < 0:
            yield (
                f"{key} gives {share.pool!r} the weight {share.weight};"
                " use a finite number of 0 or more"
            )
    if not sum(share.weight for share in route.shares) > 0:
        yield f"{key} has weights that add up to 0; give a pool a weight above 0"
    if not route.timeout_s > 0:
        yield f"{key} has a timeout of 0 or less; set a timeout above 0"


def _duplicate_routes(declared: Declared) -> Iterator[str]:
    routes_by_address = Counter(
        (route.host, route.path_prefix) for route in declared.routes
    )
    for (host, prefix), count in routes_by_address.items():
        if count > 1:
            yield f"{count} routes share host {host!r} and prefix {prefix!r}"


def _shared_keys(declared: Declared) -> Iterator[str]:
    owners: dict[str, str] = {}
    for holder in declared.workspaces or ():
        for key in holder.keys:
            owner = owners.setdefault(key, holder.name)
            if owner != holder.name:
                yield f"workspaces {owner!r} and {holder.name!r} share a key"
