"""A wake-up time that can be moved forward; lives as long as its task."""

from __future__ import annotations

import asyncio
import math


class Alarm:
    """Lets one task wait until the earliest of the times that others ask for."""

    def __init__(self) -> None:
        self._event = asyncio.Event()
        self._at = math.inf
        self._timer: asyncio.TimerHandle | None = None

    def by(self, at: float) -> None:
        """Wake the task no later than ``at`` (loop clock, seconds)."""
        if at >= self._at:
            return
        self.cancel()
        self._at = at
        self._timer = asyncio.get_running_loop().call_at(at, self._event.set)

    async def wait(self) -> None:
        """Return at the time asked for; what was asked for is then forgotten."""
        await self._event.wait()
        self._event.clear()
        self._at = math.inf
        self._timer = None

    def cancel(self) -> None:
        """Forget the time asked for."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._at = math.inf
