"""Limits how long a reader waits for bytes, counting only time when it could read.

One per read. After a process got no CPU for a second, all its timers are due at once,
although bytes have arrived meanwhile. With a single timer, every open answer would
count as silent then, before a single frame was read. So the limit consists of steps,
and a step that ends late does not count: the event loop was busy with other work all
the time, as it is on an overloaded machine.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

STEPS = 8
"""Steps of a limit; with a limit of half a second, each takes 63 ms."""

LATE_FRACTION = 0.25
"""A step that ends later than this fraction of its length does not count; an idle loop
ends steps within a millisecond."""

MAX_STEPS = 4 * STEPS
"""Steps, counted or not, after which the limit ends in any case, so that an always
overloaded process also detects failed peers."""


class SilenceLimit:
    """An async context like ``asyncio.timeout``; raises TimeoutError after ``limit_s``.

    ``until`` is a time of the loop's clock at which the wait ends in any case.
    """

    def __init__(self, limit_s: float, until: float | None = None) -> None:
        self._step_s = max(0.0, limit_s) / STEPS
        self._left = STEPS
        self._total_left = MAX_STEPS
        self._timeout = asyncio.timeout_at(until)
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._start_step()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(kind, exc, trace)

    def _start_step(self) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + self._step_s
        self._timer = loop.call_at(self._due, self._step_ended)

    def _step_ended(self) -> None:
        late_s = asyncio.get_running_loop().time() - self._due
        self._total_left -= 1
        self._left -= late_s <= self._step_s * LATE_FRACTION
        if self._left > 0 and self._total_left > 0:
            self._start_step()
        elif not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())
