"""Starts and stops background tasks, and reports their failures."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


def spawn(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Run ``coroutine`` as a task; failures go to the event loop's exception handler.

    A broken invariant must end the process. Without the handler it would be noticed
    only when the task is garbage-collected.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(_report_failure)
    return task


async def stop(tasks: list[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    tasks.clear()


def _report_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled() or task.exception() is None:
        return
    task.get_loop().call_exception_handler(
        {
            "message": "a background task failed",
            "exception": task.exception(),
        }
    )
