"""Logs which gateway decides about reservations at each upstream."""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.log_events import emit
from gooseberrydale.log_events.capacity import ReservationOwnerChanged
from gooseberrydale.version.capacity.owners import CapacityOwners

MAX_UPSTREAMS = 2_048
"""Upstreams whose owner is kept; names of ended ones are not reported here."""


@dataclass(frozen=True, slots=True)
class _Owner:
    """Who decides, and who is the first in the order; empty names are nobody."""

    name: str
    first: str


class ReservationOwnerLog:
    """The owner of each upstream as it was logged last; there is one per process."""

    def __init__(self, owners: CapacityOwners) -> None:
        self._owners = owners
        self._known: dict[str, _Owner] = {}

    def note(self, upstream: str, name: str) -> None:
        """Note that ``name`` decides about ``upstream``; empty if no owner answers."""
        order = self._owners.of(upstream)
        first = order[0].name if order else ""
        new, before = _Owner(name, first), self._known.pop(upstream, None)
        if before is None:
            # The first gateway in the order decides unless something else is seen.
            before = _Owner(first, first)
        while len(self._known) >= MAX_UPSTREAMS:
            del self._known[next(iter(self._known))]
        self._known[upstream] = new
        if new.name != before.name:
            reason = self._reason(before, new)
            emit(ReservationOwnerChanged(upstream, new.name, before.name, reason))

    def _reason(self, before: _Owner, new: _Owner) -> str:
        if before.name and self._owners.peer(before.name) is None:
            return "gone"
        if new.name != new.first:
            return "silent"
        return "back" if new.first == before.first else "joined"
