"""Tells whether this process may know less than its peers would tell it at once.

That is so just after its start, and after a stall: while the process was frozen it
heard no renewals, so the leases that ended meanwhile say nothing.  A request may then
wait a moment for news before it is refused.  Lives as long as the process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FRESH_S = 5.0
TICK_S = 1.0
# A third of a lease; no lease that was renewed in time ends within a shorter gap.
STALL_S = 2.0
MAX_WAIT_S = 1.0
POLL_S = 0.02


class Freshness:
    """Fresh for a while after the start and after each stall; times are the loop's.

    ``tick`` is to be called each ``TICK_S`` seconds; a gap of more than ``STALL_S``
    since the last tick is a stall, whoever notices it first.
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._fresh_until = now + FRESH_S

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        if now - self._ticked_at > STALL_S:
            self._fresh_until = now + FRESH_S
        self._ticked_at = now

    def is_fresh(self, now: float) -> bool:
        """Whether news may still be on its way."""
        self.tick(now)
        return now <= self._fresh_until

    async def wait_for(self, known: Callable[[], bool]) -> None:
        """Return once ``known`` holds, or at once, or after a moment if fresh."""
        loop = asyncio.get_running_loop()
        if known() or not self.is_fresh(loop.time()):
            return
        until = loop.time() + MAX_WAIT_S
        while not known() and loop.time() < until:
            await asyncio.sleep(POLL_S)
