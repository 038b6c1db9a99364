"""Aborts a connection that has gone silent while its upstream answers on new ones.

There is one :class:`SilenceWatch` per call to the upstream.  The reader of the
connection calls ``expect`` when it starts to wait for bytes, and ``pause`` when it
stops.  A separate task checks for how long none arrived.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

Probe = Callable[[], Awaitable[bool]]

CHECK_INTERVAL_S = 0.5
MIN_CHECK_DELAY_S = 0.05


class SilenceWatch:
    """Watches one connection; ``abort`` closes it."""

    def __init__(self, abort: Callable[[], None]) -> None:
        self.aborted = False
        self._abort = abort
        self._alive: Probe | None = None
        self._deadline: float | None = None
        self._expect_count = 0
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
        """Start waiting for bytes; after ``limit_s`` without any, call ``alive``.

        The connection is aborted if ``alive`` returns true: the upstream works, so the
        fault is in the connection.
        """
        self._alive = alive
        self._expect_count += 1
        self._deadline = asyncio.get_running_loop().time() + limit_s

    def pause(self) -> None:
        """Stop waiting: bytes arrived, or none are expected for now."""
        self._deadline = None

    async def _run(self) -> None:
        while not self.aborted:
            await asyncio.sleep(self._check_delay_s())
            if self._is_overdue():
                await self._probe()

    def _check_delay_s(self) -> float:
        if self._deadline is None:
            return CHECK_INTERVAL_S
        remaining_s = self._deadline - asyncio.get_running_loop().time()
        return min(max(remaining_s, MIN_CHECK_DELAY_S), CHECK_INTERVAL_S)

    def _is_overdue(self) -> bool:
        if self._deadline is None:
            return False
        return asyncio.get_running_loop().time() >= self._deadline

    async def _probe(self) -> None:
        """Abort the connection if the upstream answers and no bytes arrived meanwhile.

        An upstream that doesn't answer may just be busy; the connection is then kept.
        """
        expect_count = self._expect_count
        alive = self._alive is not None and await self._alive()
        if alive and expect_count == self._expect_count and self._is_overdue():
            self.aborted = True
            self._abort()
