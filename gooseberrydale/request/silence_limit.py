"""Bounds how long a reader waits for bytes, counting only time in which it could read.

Lives as long as one read.  A process that gets no processor for a second finds all its
timers due at once, and beside them whatever arrived meanwhile.  Were the limit a single
timer, every open answer would count as silent in that moment, before a single frame
was looked at.  So the limit runs in steps, and one that ends late is not counted: the
loop had other work all the while, as it has on a machine that does more than it can.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

STEPS = 8
"""Steps of a limit; with half a second as the limit, 63 ms each."""

LATE_PART = 0.25
"""A step that ends later than this part of it is not counted; an idle loop ends steps
within a millisecond."""

MOST_STEPS = 4 * STEPS
"""Steps, counted or not, after which the limit is over in any case: also a process that
is always behind finds out who is dead."""


class SilenceLimit:
    """An async context like ``asyncio.timeout``; raises TimeoutError after ``limit_s``.

    ``until`` is a point of the loop's clock at which the wait ends in any case.
    """

    def __init__(self, limit_s: float, until: float | None = None) -> None:
        self._step_s = max(0.0, limit_s) / STEPS
        self._left = STEPS
        self._left_in_all = MOST_STEPS
        self._timeout = asyncio.timeout_at(until)
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._wait_a_step()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(kind, exc, trace)

    def _wait_a_step(self) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + self._step_s
        self._timer = loop.call_at(self._due, self._step_over)

    def _step_over(self) -> None:
        late_s = asyncio.get_running_loop().time() - self._due
        self._left_in_all -= 1
        self._left -= late_s <= self._step_s * LATE_PART
        if self._left > 0 and self._left_in_all > 0:
            self._wait_a_step()
        elif not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())
