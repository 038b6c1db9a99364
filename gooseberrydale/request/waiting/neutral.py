"""Parts of capacity sharing that leave every decision to the gateway itself. Pure."""

from __future__ import annotations

import math

from gooseberrydale.request.capacity_ports import Hold, Need, Refuse, RetryQuery


class NoReservations:
    """Lets every request be sent; knows nothing of what is free."""

    async def reserve(self, pool: str, upstream: str, need: Need, free: float) -> bool:
        """Return True."""
        return True

    def free_requests(self, pool: str, rank: int, now: float) -> float:
        """Return infinity, as nothing is known."""
        return math.inf


class AlwaysHold:
    """Lets every request wait until its time is nearly up."""

    def decide(self, query: RetryQuery, now: float) -> Hold | Refuse:
        """Return that the request may wait."""
        return Hold()

    def began(self, pool: str, rank: int, now: float) -> None:
        """Do nothing."""
