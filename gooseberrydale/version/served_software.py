"""The software versions that upstreams of each pool run, or ran until recently.

Part of the replicated control state.  A version is committed before any process learns
of an upstream that runs it, so whoever has the newest configuration knows all versions
that may have begun a stream.  Pure.
"""

from __future__ import annotations

from collections.abc import Mapping

KEPT_S = 60.0
"""A version is kept for at least so long after its last upstream left service. Callers
of routes that take longer may have streams of versions that are dropped by then."""

MAX_VERSIONS = 16
"""Most versions of a pool that are told apart. With as many, the version of a stream
does not follow from its pool anyway."""

MAX_POOLS = 256
"""Most pools that are listed.  Streams of others go on only by their records."""

Served = Mapping[str, tuple[str, ...]]
"""Versions by pool, in the order in which they were first announced."""


def knows(served: Served, pool: str, software: str) -> bool:
    """Whether an upstream of this version may be put in service."""
    if pool not in served:
        return len(served) >= MAX_POOLS
    versions = served[pool]
    return software in versions or len(versions) >= MAX_VERSIONS


def with_version(
    served: Served, pool: str, software: str
) -> dict[str, tuple[str, ...]]:
    """Return the versions with one more."""
    if knows(served, pool, software):
        return dict(served)
    return {**served, pool: (*served.get(pool, ()), software)}


def without_version(
    served: Served, pool: str, software: str
) -> dict[str, tuple[str, ...]]:
    """Return the versions without one; the last one of a pool stays."""
    kept = tuple(v for v in served.get(pool, ()) if v != software)
    return {**served, pool: kept} if kept else dict(served)
