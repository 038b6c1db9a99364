"""Lets requests wait briefly while this process may lack data that its peers have.

This is so just after its start, and after a stall: a frozen process receives no lease
renewals, so leases that have expired meanwhile don't mean that their owners have
failed. A request may then wait a moment for updates before it is refused. One per
process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

GRACE_PERIOD_S = 5.0
TICK_S = 1.0
# A third of a lease: a lease that was renewed in time does not expire within a shorter
# gap.
STALL_S = 2.0
MAX_WAIT_S = 1.0
POLL_INTERVAL_S = 0.02


class StartupGrace:
    """Active for a while after the start and after each stall; times are the loop's.

    ``tick`` must be called every ``TICK_S`` seconds. A gap of more than ``STALL_S``
    since the last tick is a stall, whether the next tick or a request detects it.
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._active_until = now + GRACE_PERIOD_S

    def tick(self, now: float) -> None:
        """Record that the process runs, and detect a stall."""
        if now - self._ticked_at > STALL_S:
            self._active_until = now + GRACE_PERIOD_S
        self._ticked_at = now

    def is_active(self, now: float) -> bool:
        """Whether updates from peers may still be missing."""
        self.tick(now)
        return now <= self._active_until

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Return once ``condition`` holds, or when no update is expected any more.

        Returns at once outside the grace period, and after ``MAX_WAIT_S`` at the
        latest.
        """
        loop = asyncio.get_running_loop()
        if condition() or not self.is_active(loop.time()):
            return
        until = loop.time() + MAX_WAIT_S
        while not condition() and loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
