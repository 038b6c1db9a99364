"""Says whether this process may lack records that all others have.

Lives as long as the process.  After its start, and after it stood still (a paused
instance, a machine under load), leases have run out here that others still see; the
records come back within a moment.  Only then may a request wait for them; at any
other time what is not known does not exist, and the request is refused at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

FRESH_S = 5.0
STALL_S = 2.5
MAX_WAIT_S = 1.0
POLL_S = 0.02


class Freshness:
    """State of the process's records; all times are the loop's, in seconds.

    ``tick`` must be called about once a second: a missing tick shows a stall.
    """

    def __init__(self, now: float) -> None:
        self._fresh_until = now + FRESH_S
        self._ticked_at = now

    def tick(self, now: float) -> None:
        """Take note that the process runs."""
        if now - self._ticked_at > STALL_S:
            self._fresh_until = now + FRESH_S
        self._ticked_at = now

    def may_wait(self, now: float) -> bool:
        """Whether a request may wait a moment for records."""
        return now < self._fresh_until or now - self._ticked_at > STALL_S

    async def wait_for(self, known: Callable[[], bool]) -> None:
        """Return once ``known`` holds, or at once, or after a moment."""
        loop = asyncio.get_running_loop()
        if known() or not self.may_wait(loop.time()):
            return
        until = loop.time() + MAX_WAIT_S
        while not known() and loop.time() < until:
            await asyncio.sleep(POLL_S)
