"""Interfaces between the parts that share the capacity of a pool.

The placer of a request waits in a :class:`RequestQueue`, asks the :class:`RetryPlan`
whether waiting is worthwhile, and makes a reservation before it sends.  The parts know
each other only by these types.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Need:
    """What one request needs of an upstream; ``rank`` 0 is the most urgent.

    ``unshared_tokens`` are the tokens of memory that no other request shares; None
    takes those to compute.
    """

    rank: int
    kv_tokens: int
    prefill_tokens: int
    requests: int = 1
    unshared_tokens: int | None = None


class Reservations(Protocol):
    """Divides what is left of upstreams among the gateways of the fleet."""

    async def reserve(self, pool: str, upstream: str, need: Need, free: float) -> bool:
        """Return whether ``need`` may be sent to ``upstream`` now.

        ``free`` is how many requests like it fit there by this gateway's own view.  It
        returns at once unless the upstream is nearly full.
        """

    def free_requests(self, pool: str, rank: int, now: float) -> float:
        """Return how many mean requests of ``rank`` fit in the pool now."""


@dataclass(frozen=True, slots=True)
class Ahead:
    """Waiting work of the fleet that is served before a request."""

    requests: float = 0.0
    tokens: float = 0.0


class Backlog(Protocol):
    """The requests that wait for capacity of a pool, at all gateways."""

    def ahead_of(
        self, pool: str, rank: int, over_share: bool, waited_s: float, now: float
    ) -> Ahead:
        """Return the waiting work that is served before such a request."""


@dataclass(frozen=True, slots=True)
class RetryQuery:
    """A request that finds no capacity now; times in seconds.

    ``waited_s`` is how long it has waited here, ``prior_wait_s`` what its caller spent
    on earlier attempts, ``own_s`` the time from its start to its first event.
    ``deadline_s`` is what is left until its caller gives up.
    """

    pool: str
    rank: int
    over_share: bool
    waited_s: float
    prior_wait_s: float
    own_s: float
    objective_s: float
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Hold:
    """Let the request wait for capacity."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request; its caller may retry after ``after_s`` seconds."""

    after_s: float


class RetryPlan(Protocol):
    """Decides who waits for capacity, and when a refused caller may retry."""

    def decide(self, query: RetryQuery, now: float) -> Hold | Refuse:
        """Decide about a request that finds no capacity now."""

    def began(self, pool: str, rank: int, now: float) -> None:
        """Record that a request of this gateway was sent to an upstream."""
