"""Tasks that outlive the request that started them; lives as long as the process."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class Background:
    """Runs short pieces of work and sees them to their end."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``work``; what it raises is logged."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def run_at_most(
        self, work: Coroutine[Any, Any, Any], timeout_s: float
    ) -> None:
        """Wait for ``work`` so long; it goes on after that."""
        await asyncio.wait({self.spawn(work)}, timeout=timeout_s)

    async def close(self, grace_s: float) -> None:
        """Let the tasks finish for ``grace_s`` seconds, then cancel them."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=grace_s)
        left = set(self._tasks)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("background task failed")
