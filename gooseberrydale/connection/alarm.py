"""A wake-up time for one task, which others can move to an earlier time."""

from __future__ import annotations

import asyncio
import math


class Alarm:
    """Lets one task sleep until the earliest of the requested wake-up times."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._wake_at = math.inf
        self._timer: asyncio.TimerHandle | None = None

    def wake_by(self, at: float) -> None:
        """Wake the task no later than ``at`` (loop clock, seconds)."""
        if at >= self._wake_at:
            return
        self.cancel()
        self._wake_at = at
        self._timer = asyncio.get_running_loop().call_at(at, self._event.set)

    async def wait(self) -> None:
        """Sleep until the earliest requested time, then clear all requests."""
        await self._event.wait()
        self._event.clear()
        self._wake_at = math.inf
        self._timer = None

    def cancel(self) -> None:
        """Clear the requested time; ``wait`` then sleeps until the next request."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._wake_at = math.inf
