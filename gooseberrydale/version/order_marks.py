"""Directory records that mark the upstreams which are executing an order.

A mark is a leased record like that of an upstream, so it reaches all processes in the
same way and expires when its writer stops renewing it.  Entries avoid marked upstreams
for new work as long as another upstream can serve it.
"""

from __future__ import annotations

from gooseberrydale.connection.mesh import UpstreamRecord

MARK_LEASE_S = 3.0
"""Longer than a change of weights takes; a dead writer's mark expires after it."""

_SUFFIX = "/order"
_KIND = "order"


def mark_name(upstream: str) -> str:
    """Name of the record that marks ``upstream``."""
    return upstream + _SUFFIX


def mark(upstream: str, term: int, seq: int, *, over: bool = False) -> UpstreamRecord:
    """Make the mark that the leader of ``term`` announces; ``over`` ends it.

    ``seq`` must increase with each mark of a term.
    """
    return UpstreamRecord(
        name=mark_name(upstream),
        incarnation=f"{term:016x}",
        seq=seq,
        address="",
        zone="",
        region="",
        pool="",
        kind=_KIND,
        ready=not over,
        lease_s=MARK_LEASE_S,
    )


def is_mark_name(name: str) -> bool:
    """Whether ``name`` is the name of a mark."""
    return name.endswith(_SUFFIX)


def is_mark(record: UpstreamRecord) -> bool:
    """Whether ``record`` is a mark, not the record of an upstream."""
    return record.kind == _KIND
