"""The requests of one pool that wait at this gateway, and their order. Pure.

More urgent ranks come first.  Within a rank, workspaces within their share come ahead
of those over it, and requests that can still meet their objective ahead of late ones,
which lose nothing by waiting.  Then the start tags of ``request/fair_queue.py`` decide
between workspaces, and then the time at which a request is due.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from gooseberrydale.request.fair_queue import StartTags

IsOver = Callable[[str], bool]
"""Whether a workspace is over its share now."""


class WaitClass(NamedTuple):
    """Requests that are served alike; a lower one is served first."""

    rank: int
    over_share: bool = False
    late: bool = False


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that may have to wait; ``id`` is unique within the process.

    ``since`` is when its caller first asked, at any gateway; it can't meet its
    objective if it is sent after ``due_at``.  ``weight`` is that of its workspace;
    an infinite one makes its start tag depend on nothing that it sent before.
    """

    id: int
    rank: int
    workspace: str
    tokens: int
    since: float
    due_at: float = math.inf
    weight: float = 1.0

    @property
    def cost(self) -> float:
        """What the request costs its workspace in the order of start tags."""
        return max(1, self.tokens) / self.weight

    def class_at(self, now: float, is_over: IsOver) -> WaitClass:
        """Return the class that the request belongs to now."""
        return WaitClass(self.rank, is_over(self.workspace), now > self.due_at)


@dataclass(frozen=True, slots=True)
class Waiting:
    """Requests of one class that wait; ``oldest_s`` is the longest wait of them."""

    requests: int
    tokens: int
    oldest_s: float

    def __add__(self, other: Waiting) -> Waiting:
        return Waiting(
            self.requests + other.requests,
            self.tokens + other.tokens,
            max(self.oldest_s, other.oldest_s),
        )


@dataclass(frozen=True, slots=True)
class _Place:
    ticket: Ticket
    start_tag: float
    seq: int


_Order = tuple[WaitClass, float, float, int]


@dataclass(slots=True)
class _Rank:
    """The waiting requests of one rank by their ids."""

    places: dict[int, _Place] = field(default_factory=dict)
    tags: StartTags = field(default_factory=StartTags)


class WaitQueue:
    """The waiting requests of one pool.  The caller limits how long they wait."""

    def __init__(self) -> None:
        self._ranks: dict[int, _Rank] = {}
        self._seq = 0
        self._tokens: dict[str, int] = {}

    def __len__(self) -> int:
        return sum(len(rank.places) for rank in self._ranks.values())

    def __contains__(self, ticket: Ticket) -> bool:
        rank = self._ranks.get(ticket.rank)
        return rank is not None and ticket.id in rank.places

    @property
    def tokens(self) -> dict[str, int]:
        """Tokens of the waiting requests of each workspace."""
        return self._tokens

    def join(self, ticket: Ticket) -> None:
        """Add a request that has to wait."""
        if ticket in self:
            return
        rank = self._ranks.setdefault(ticket.rank, _Rank())
        start_tag = rank.tags.offered(ticket.workspace, ticket.cost)
        self._seq += 1
        rank.places[ticket.id] = _Place(ticket, start_tag, self._seq)
        self._count(ticket, 1)

    def leave(self, ticket: Ticket, *, sent: bool) -> None:
        """Remove a request, which was ``sent`` to an upstream or not."""
        rank = self._ranks.get(ticket.rank)
        place = rank.places.pop(ticket.id, None) if rank is not None else None
        if rank is None or place is None:
            return
        self._count(ticket, -1)
        if sent:
            rank.tags.started(place.start_tag)
        else:
            rank.tags.refund(ticket.workspace, ticket.cost)
        if not rank.places:
            # No earlier wait affects the order once nothing waits.
            del self._ranks[ticket.rank]

    def first(self, count: int, now: float, is_over: IsOver) -> list[Ticket]:
        """Return the ``count`` requests that come first, in order."""
        found: list[Ticket] = []
        for rank in sorted(self._ranks):
            places = self._ranks[rank].places.values()
            some = heapq.nsmallest(
                count - len(found), places, key=lambda p: _order(p, now, is_over)
            )
            found += [place.ticket for place in some]
            if len(found) == count:
                break
        return found

    def is_first(self, ticket: Ticket, now: float, is_over: IsOver) -> bool:
        """Return whether no request comes before ``ticket``, waiting or not."""
        first = self.first(1, now, is_over)
        if not first or first[0].id == ticket.id:
            return True
        if ticket in self or first[0].rank != ticket.rank:
            return ticket.rank < first[0].rank
        rank = self._ranks[ticket.rank]
        start_tag = rank.tags.next_tag(ticket.workspace)
        newcomer = _Place(ticket, start_tag, self._seq + 1)
        best = rank.places[first[0].id]
        return _order(newcomer, now, is_over) < _order(best, now, is_over)

    def classes(self, now: float, is_over: IsOver) -> dict[WaitClass, Waiting]:
        """Return the sums of what waits, by class."""
        sums: dict[WaitClass, Waiting] = {}
        for ticket in self._tickets():
            one = Waiting(1, ticket.tokens, max(0.0, now - ticket.since))
            key = ticket.class_at(now, is_over)
            sums[key] = sums[key] + one if key in sums else one
        return sums

    def _tickets(self) -> Iterator[Ticket]:
        for rank in self._ranks.values():
            for place in rank.places.values():
                yield place.ticket

    def _count(self, ticket: Ticket, sign: int) -> None:
        tokens = self._tokens.get(ticket.workspace, 0)
        tokens += sign * max(1, ticket.tokens)
        if tokens > 0:
            self._tokens[ticket.workspace] = tokens
        else:
            self._tokens.pop(ticket.workspace, None)


def _order(place: _Place, now: float, is_over: IsOver) -> _Order:
    ticket = place.ticket
    return ticket.class_at(now, is_over), place.start_tag, ticket.due_at, place.seq
