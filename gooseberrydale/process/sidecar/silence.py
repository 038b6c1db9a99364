"""Gives a connection up that went silent while its upstream answers on new ones.

Lives as long as one call to the upstream.  The reader of the connection says when
it expects bytes; a task beside it checks how long none came.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

Probe = Callable[[], Awaitable[bool]]

CHECK_S = 0.5
MIN_NAP_S = 0.05


class SilenceWatch:
    """Watches one connection; ``abort`` breaks it."""

    def __init__(self, abort: Callable[[], None]) -> None:
        self.gave_up = False
        self._abort = abort
        self._alive: Probe | None = None
        self._due: float | None = None
        self._waits = 0
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start watching."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def expect(self, limit_s: float, alive: Probe) -> None:
        """Bytes are awaited from now on; ``limit_s`` is the longest silence.

        ``alive`` asks whether the upstream works and the connection is to blame.
        """
        self._alive = alive
        self._waits += 1
        self._due = asyncio.get_running_loop().time() + limit_s

    def pause(self) -> None:
        """Bytes came, or none are awaited for now."""
        self._due = None

    async def _run(self) -> None:
        while not self.gave_up:
            await asyncio.sleep(self._nap_s())
            if self._overdue():
                await self._judge()

    def _nap_s(self) -> float:
        if self._due is None:
            return CHECK_S
        left_s = self._due - asyncio.get_running_loop().time()
        return min(max(left_s, MIN_NAP_S), CHECK_S)

    def _overdue(self) -> bool:
        if self._due is None:
            return False
        return asyncio.get_running_loop().time() >= self._due

    async def _judge(self) -> None:
        """The upstream may be busy as a whole; then the connection is not at fault."""
        wait = self._waits
        alive = self._alive is not None and await self._alive()
        if alive and wait == self._waits and self._overdue():
            self.gave_up = True
            self._abort()
