"""Polls engines for their load, and whether they respond, while weights change.

A rollout counts unresponsive engines against the number that may change at once, and
changes idle engines first. Announcements contain neither.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection
from functools import partial

from gooseberrydale.connection.engine_orders import EngineOrders
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.directory import Directory

POLL_INTERVAL_S = 1.0
"""Interval at which all engines of a model are polled while it changes weights. More
polls cost more than they gain: polling twice a second, and draining engines as well,
added 270 and 320 polls on two days with three changes each, which lowered the value of
all answers by 0.003."""

MAX_POLLS_PER_S = 100.0
"""Limit on the polls of all engines together: with many engines, each is polled less
often. A poll takes about 0.3 ms of processor time."""

SILENT_RETRY_S = 0.6
"""Delay before an engine that didn't answer is polled again. These polls run beside the
changes, so a silent engine delays no other one, and it receives the newest weights soon
after it has recovered."""


class EnginePoller:
    """Holds the last report of each engine; ``close`` it once."""

    def __init__(self, directory: Directory, engines: EngineOrders) -> None:
        self._directory = directory
        self._engines = engines
        self._next_at = -math.inf
        self._running: dict[str, int] = {}
        # Time of the next poll of each engine that didn't answer.
        self._silent: dict[str, float] = {}
        # Running polls by the name of the engine.
        self._polls: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Cancel the running polls."""
        await stop(list(self._polls.values()))

    @property
    def unresponsive(self) -> frozenset[str]:
        """Engines that didn't answer the last poll, or whose poll is still running."""
        return frozenset((*self._silent, *self._polls))

    def running(self, name: str) -> int:
        """Return how many requests an engine last reported; 0 without a report."""
        return self._running.get(name, 0)

    def poll(self, names: Collection[str], busy: Collection[str]) -> bool:
        """Poll the engines ``names``, except those that are ``busy``, if a poll is due.

        Return True if the last poll was long ago: no recent reports are available yet.
        """
        now = _now()
        if not names or now < self._next_at:
            return False
        interval_s = max(POLL_INTERVAL_S, len(names) / MAX_POLLS_PER_S)
        first = now > self._next_at + interval_s
        self._next_at = now + interval_s
        if first:
            self._running.clear()
        for name in names:
            if name not in busy and name not in self._silent:
                self._start_poll(name)
        return first

    def mark_silent(self, name: str) -> None:
        """Record that an engine didn't answer, so that others don't wait for it."""
        self._silent[name] = _now() + SILENT_RETRY_S

    def retry_silent(self) -> None:
        """Poll silent engines that are due; stop tracking removed and leaving ones."""
        now = _now()
        for name, poll_at in list(self._silent.items()):
            engine = self._directory.get(name, now)
            if engine is None or engine.leaving:
                del self._silent[name]
            elif poll_at <= now:
                self._silent[name] = now + SILENT_RETRY_S
                self._start_poll(name)

    def _start_poll(self, name: str) -> None:
        engine = self._directory.get(name, _now())
        if engine is None or name in self._polls:
            return
        task = spawn(self._poll(engine))
        self._polls[name] = task
        task.add_done_callback(partial(self._discard_poll, name))

    def _discard_poll(self, name: str, _: asyncio.Task[None]) -> None:
        self._polls.pop(name, None)

    async def _poll(self, engine: UpstreamRecord) -> None:
        report = await self._engines.report(engine)
        if report is None:
            self._silent.setdefault(engine.name, _now() + SILENT_RETRY_S)
            return
        self._silent.pop(engine.name, None)
        self._running[engine.name] = report.running


def _now() -> float:
    return asyncio.get_running_loop().time()
