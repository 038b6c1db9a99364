"""Decides whose requests are refused while clients make a process hold too much.  Pure.

Each connection holds bytes: a head, a body in pieces, requests sent ahead, an answer
that is not read.  Refusing its request frees the refusable part of them; what belongs
to a request that the application may have passed on is not refusable.

A connection's cost is what it has held, summed over the time since its request began.
So clients that stop short of the end of a large body are refused first, and a request
that is small or arrives at once is refused last.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

SMALL_BYTES = 64 * 1024
"""What a connection may hold and still count as small."""

LARGE_FRACTION = 0.75
"""Fraction of the limit that large holdings may use together, so that there is always
room for small ones."""

RELIEF_FRACTION = 0.9
"""Fraction of a limit down to which holdings are refused once it is exceeded, so that
they are not ordered again for each piece that arrives."""

MIN_AGE_S = 0.05
"""Added to the time for which bytes were held: of those that have just arrived, the
largest holding is refused first."""

K = TypeVar("K", bound=Hashable)


@dataclass(slots=True)
class _Holding:
    """What one connection holds, in bytes; ``cost`` is in byte-seconds."""

    size: int
    refusable: int
    cost: float
    updated_at: float

    @property
    def is_large(self) -> bool:
        """Whether it counts against the limit of large holdings."""
        return self.size > SMALL_BYTES

    def cost_at(self, now: float) -> float:
        """Return the cost that refusing this holding would end."""
        return self.cost + self.refusable * (now - self.updated_at + MIN_AGE_S)


class HeldBytes(Generic[K]):
    """The bytes that all connections of a process hold, by connection.

    They may hold ``max_bytes`` together.  A single large holding may exceed that: one
    body of the largest size that is allowed is read if there is no other.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total = 0
        self._refusable = 0
        self._large = 0
        self._large_count = 0
        # Large holdings of which nothing or only a part can be refused.
        self._kept_large = 0
        self._holdings: dict[K, _Holding] = {}

    @property
    def is_exceeded(self) -> bool:
        """Whether a limit is exceeded."""
        if self._large_count == 1:
            return self.total - self._large > self.max_bytes
        return (
            self.total > self.max_bytes or self._large > self.max_bytes * LARGE_FRACTION
        )

    def has_room(self, size: int) -> bool:
        """Whether a request of ``size`` bytes fits beside what can't be refused.

        A small one may use all that is allowed, and a large one is read if there is no
        other.
        """
        kept = self.total - self._refusable
        if size <= SMALL_BYTES:
            return kept + size <= self.max_bytes
        if not self._kept_large:
            return True
        return kept + size <= self.max_bytes * LARGE_FRACTION

    def hold(self, key: K, size: int, refusable: int, now: float) -> None:
        """Set what a connection holds, and how much of it a refusal would free."""
        if not size:
            self.release(key)
            return
        known = self._holdings.get(key)
        cost = 0.0
        if known is not None:
            cost = known.cost + known.refusable * (now - known.updated_at)
            self._count(known, -1)
        holding = _Holding(size, refusable, cost, now)
        self._holdings[key] = holding
        self._count(holding, 1)

    def release(self, key: K) -> None:
        """Forget a connection that holds nothing: its next request begins anew."""
        known = self._holdings.pop(key, None)
        if known is not None:
            self._count(known, -1)

    def to_refuse(self, now: float) -> list[K]:
        """Return the connections whose requests to refuse, the costliest first.

        It is empty while no limit is exceeded.
        """
        if not self.is_exceeded:
            return []
        refused: list[K] = []
        excess: float = self.total - self.max_bytes
        large_excess = self._large - self.max_bytes * LARGE_FRACTION
        relief = self.max_bytes * (1.0 - RELIEF_FRACTION)
        if excess > 0:
            excess += relief
        if large_excess > 0:
            large_excess += relief
        for key in self._by_cost(now):
            if excess <= 0 and large_excess <= 0:
                break
            known = self._holdings[key]
            if excess > 0 or known.is_large:
                refused.append(key)
                excess -= known.refusable
                large_excess -= known.refusable if known.is_large else 0
        return refused

    def _by_cost(self, now: float) -> list[K]:
        costs = {
            key: known.cost_at(now)
            for key, known in self._holdings.items()
            if known.refusable
        }
        return sorted(costs, key=costs.__getitem__, reverse=True)

    def _count(self, holding: _Holding, sign: int) -> None:
        self.total += sign * holding.size
        self._refusable += sign * holding.refusable
        if holding.is_large:
            self._large += sign * holding.size
            self._large_count += sign
            self._kept_large += sign * (holding.refusable < holding.size)
