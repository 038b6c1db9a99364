"""Marks in the directory that say which upstreams carry an order out.

A mark is a record under a lease like an upstream's own, so that it reaches all
processes in the same way and ends by itself with its writer.  Entries send no new work
to a marked upstream while another one will do.
"""

from __future__ import annotations

from gooseberrydale.connection.mesh import UpstreamRecord

MARK_LEASE_S = 3.0
"""Longer than a change of weights takes; a mark whose writer has died ends then."""

_SUFFIX = "/order"
_KIND = "order"


def mark_name(upstream: str) -> str:
    """Name of the record that marks ``upstream``."""
    return upstream + _SUFFIX


def mark(upstream: str, term: int, seq: int, *, over: bool = False) -> UpstreamRecord:
    """The mark that the leader of ``term`` sets, or ends with ``over``.

    ``seq`` rises with each mark of a term.
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
    """Whether a record under this name is a mark."""
    return name.endswith(_SUFFIX)


def is_mark(record: UpstreamRecord) -> bool:
    """Whether a record is a mark and no upstream's own."""
    return record.kind == _KIND
