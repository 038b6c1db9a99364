"""An event loop whose clock stands still and jumps to the next timer.

For pure and in-memory tests only: nothing may wait for a socket, since time would
run past it.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Instead of waiting, moves the clock forward by the time to wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Report what is ready; if nothing is, jump over ``timeout`` seconds."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("all tasks wait and no timer is set; nothing can happen")
        self.now += max(timeout, 0.0)
        return []


class PausedClockLoop(asyncio.SelectorEventLoop):
    """Event loop with a clock that only moves when every task waits."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Seconds since the loop was made."""
        return self._jumping.now

    def stall(self, seconds: float) -> None:
        """Move the clock as if the process had been frozen for ``seconds``."""
        self._jumping.now += seconds


def run_paused(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` to its end on a fresh loop with a paused clock."""
    with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
        return runner.run(main)
