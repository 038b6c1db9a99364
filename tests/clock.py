"""An event loop with a simulated clock, which jumps to the next timer when idle.

For tests without real input and output only: the clock doesn't wait for a socket, so
timeouts would expire before data arrives.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Advances the simulated clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return ready events; if there are none, advance the clock by ``timeout``."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: all tasks are waiting and no timer is set")
        self.now += max(timeout, 0.0)
        return []


class PausedClockLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances only while every task is waiting."""

    def __init__(self) -> None:
        self._clock_selector = _JumpingSelector()
        super().__init__(self._clock_selector)

    def time(self) -> float:
        """Return the simulated seconds since the loop was created."""
        return self._clock_selector.now

    def stall(self, seconds: float) -> None:
        """Advance the clock as if the process had been suspended for ``seconds``."""
        self._clock_selector.now += seconds


def run_paused(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to completion on a new :class:`PausedClockLoop`."""
    with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
        return runner.run(main)
