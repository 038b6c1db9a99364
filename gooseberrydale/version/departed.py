"""The upstreams whose departure was committed, each with its record.

Part of the replicated control state.  A departure is kept for as long as the
directories of other processes remember its upstream; by then no earlier announcement is
under lease anywhere.  Pure: ``now_s`` is committed time in Unix seconds.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, replace

from gooseberrydale.connection.codec import message
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.version.directory import MAX_LEASE_S

KEPT_S = 2 * MAX_LEASE_S
"""How long a departure is kept: its own lease, and as long as a directory remembers the
end of a lease."""

MAX_KEPT = 4_096
"""Most departures that are kept; beyond that the oldest are dropped.  All upstreams of
the largest fleet may be replaced several times while a departure is kept."""


@message
@dataclass(frozen=True, slots=True)
class Departure:
    """An upstream's announcement that it leaves, kept until ``until_s``."""

    record: UpstreamRecord
    until_s: float


class Departed:
    """An immutable set of departures, at most one of each upstream, oldest first."""

    def __init__(self, departures: Iterable[Departure] = ()) -> None:
        self._by_name = {departure.record.name: departure for departure in departures}

    @property
    def departures(self) -> tuple[Departure, ...]:
        """All departures, oldest first."""
        return tuple(self._by_name.values())

    @property
    def records(self) -> Collection[UpstreamRecord]:
        """The records of all departures."""
        return tuple(departure.record for departure in self._by_name.values())

    def knows(self, record: UpstreamRecord) -> bool:
        """Whether this incarnation of the upstream, or a later one, has departed."""
        known = self._by_name.get(record.name)
        return known is not None and known.record.incarnation >= record.incarnation

    def contains(self, record: UpstreamRecord) -> bool:
        """Whether this departure, or a later one of the upstream, is known."""
        known = self._by_name.get(record.name)
        return known is not None and _order(known.record) >= _order(record)

    def since(self, known: Iterable[UpstreamRecord]) -> Iterator[UpstreamRecord]:
        """Return the records that are not in ``known``."""
        before = {record.name: record for record in known}
        for record in self.records:
            if before.get(record.name) != record:
                yield record

    def add(self, record: UpstreamRecord, now_s: float) -> Departed:
        """Return the departures with that of ``record``, unless it is known."""
        if self.contains(record):
            return self
        kept = [d for d in self.departures if d.record.name != record.name]
        leased = replace(record, lease_s=MAX_LEASE_S)
        kept.append(Departure(leased, now_s + KEPT_S))
        return Departed(kept[-MAX_KEPT:])

    def expire(self, now_s: float) -> Departed:
        """Return the departures without those that need not be kept any more."""
        kept = [d for d in self.departures if d.until_s > now_s]
        return self if len(kept) == len(self._by_name) else Departed(kept)


def _order(record: UpstreamRecord) -> tuple[str, int]:
    return record.incarnation, record.seq
