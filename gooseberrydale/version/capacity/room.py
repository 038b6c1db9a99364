"""What an upstream may hold and what it holds, for requests of one rank. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from gooseberrydale.request.capacity_ports import Need

NEAR_SHARE = 0.75
NEAR_REQUESTS_PER_GATEWAY = 2
"""Sends are reserved if at most this share of the limit is free, and no more requests
for each gateway, or a burst of one gateway.  What gateways send within the delay of
reports, about a tenth of a second, does not fill the rest."""

MIN_NEAR_REQUESTS = 50
"""Requests for which the number of gateways makes no difference: three gateways send as
many in a burst as thirty do."""


class Amount(NamedTuple):
    """Capacity: requests, tokens of memory, and those that no other request shares."""

    requests: float = 0.0
    kv_tokens: float = 0.0
    unshared_tokens: float = 0.0

    def plus(self, other: Amount) -> Amount:
        """Return the sum of both."""
        return Amount(
            self.requests + other.requests,
            self.kv_tokens + other.kv_tokens,
            self.unshared_tokens + other.unshared_tokens,
        )


@dataclass(frozen=True, slots=True)
class Room:
    """What an upstream may hold, what it holds, and what of it this gateway sent.

    Requests and memory of less urgent ranks than that of the request are left out, as
    the upstream starts them later.
    """

    limit: Amount
    used: Amount
    own: Amount = Amount()

    def fits(self, need: Amount, reserved: Amount = Amount()) -> bool:
        """Return whether ``need`` fits beside what is ``reserved``."""
        after = self.used.plus(reserved).plus(need)
        return all(n <= limit for n, limit in zip(after, self.limit))

    def count(self, need: Amount) -> float:
        """Return how many requests that need as much still fit."""
        return max(0.0, _ratio(self.limit, self.used, need))

    def total(self, need: Amount) -> float:
        """Return how many requests that need as much fit if nothing is in use."""
        return _ratio(self.limit, Amount(), need)

    def part(self, fraction: float) -> Room:
        """Return the same with a fraction of the limit."""
        limit = Amount(*(most * fraction for most in self.limit))
        return Room(limit, self.used, self.own)

    def half(self) -> Room:
        """Return the same with half of the free capacity."""
        limit = Amount(
            *(
                used + max(0.0, limit - used) / 2.0
                for limit, used in zip(self.limit, self.used)
            )
        )
        return Room(limit, self.used, self.own)


def amount_of(need: Need) -> Amount:
    """Return what a request needs."""
    unshared = need.unshared_tokens
    if unshared is None:
        unshared = min(need.prefill_tokens, need.kv_tokens)
    return Amount(need.requests, need.kv_tokens, unshared)


def is_near(room: Room, need: Amount, free: float, gateways: int) -> bool:
    """Return whether an upstream is so near its limit that a send must be reserved.

    ``free`` is how many such requests still fit.
    """
    if free > max(NEAR_REQUESTS_PER_GATEWAY * gateways, MIN_NEAR_REQUESTS):
        return False
    return free <= NEAR_SHARE * room.total(need)


def equal_part(room: Room, need: Amount, position: int, gateways: int) -> int:
    """Return how many such requests a gateway may have at an upstream on its own.

    The places of the upstream are dealt to all gateways in the order of ``position``,
    so the parts add up to the limit.
    """
    total = room.total(need)
    if math.isinf(total):
        return 0
    places = int(total)
    return (position + 1) * places // gateways - position * places // gateways


def own_count(room: Room, need: Amount) -> float:
    """Return how many such requests would be as much as this gateway's own work."""
    pairs = zip(room.own, need)
    return max((own / each for own, each in pairs if each > 0.0), default=0.0)


def _ratio(limit: Amount, used: Amount, need: Amount) -> float:
    triples = zip(limit, used, need)
    return min(
        ((most - held) / each for most, held, each in triples if each > 0.0),
        default=math.inf,
    )
