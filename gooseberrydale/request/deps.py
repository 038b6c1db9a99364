"""What the process lends to each request."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from gooseberrydale.connection.channels import ChannelPool
from gooseberrydale.process.cfg import EntryCfg
from gooseberrydale.request.stand_in import RetryBudget, Router
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.directory import Directory


class Background:
    """Tasks that outlive the request that started them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run ``work``; what it raises is logged."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._done)

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


@dataclass(slots=True)
class Counters:
    """Counts since the process started."""

    dropped_frames: int = 0
    attached: int = 0
    retried: int = 0
    resumed: int = 0


@dataclass(frozen=True, slots=True)
class Deps:
    """Shared parts that a request uses but does not own.

    Until ``fresh_until`` (loop time) a request may wait a moment for the first
    records of configuration and upstreams.
    """

    cfg: EntryCfg
    store: ConfigStore
    directory: Directory
    pool: ChannelPool
    router: Router
    budget: RetryBudget
    background: Background
    fresh_until: float = 0.0
    counters: Counters = field(default_factory=Counters)
