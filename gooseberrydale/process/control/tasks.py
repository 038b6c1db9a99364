"""Tasks that live as long as the role: a failure of one must not go unseen."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


def spawn(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run ``coroutine`` as a task; its failure goes to the loop's handler.

    The process ends on a broken invariant, which would otherwise be noticed only
    when the task is collected.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_report)
    return task


async def stop(tasks: list[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    tasks.clear()


def _report(task: asyncio.Task[None]) -> None:
    if task.cancelled() or task.exception() is None:
        return
    task.get_loop().call_exception_handler(
        {"message": "a task of control failed", "exception": task.exception()}
    )
