"""Background tasks of the process, which may outlive the request that starts them."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class Background:
    """Runs short tasks, logs their errors, and waits for them on shutdown."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``work`` as a task; an exception that it raises is logged."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    async def run_at_most(
        self, work: Coroutine[Any, Any, Any], timeout_s: float
    ) -> None:
        """Wait up to ``timeout_s`` for ``work``; it continues after that."""
        await asyncio.wait({self.spawn(work)}, timeout=timeout_s)

    async def close(self, grace_s: float) -> None:
        """Wait ``grace_s`` seconds for the tasks to finish, then cancel the others."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=grace_s)
        unfinished = set(self._tasks)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("background task failed")
