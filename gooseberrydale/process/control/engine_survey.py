"""Asks engines whether they live and how much they have to do, while weights change.

Lives as long as the process.  The pace of a change counts who is dead, and the idle go
first; what engines announce tells neither.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection
from functools import partial

from gooseberrydale.connection.engine_orders import EngineOrders
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.control.tasks import spawn, stop
from gooseberrydale.version.directory import Directory

SURVEY_S = 1.0
"""While a model's engines change, all of them are asked this often whether they live
and how much they have to do.  Twice a second, with the looks at engines that come down,
two days of three changes took 270 and 320 questions more; they cost 0.003 of worth."""

SURVEY_PER_S = 100.0
"""Questions a second at most: with many engines each is asked less often.  A question
costs some 0.3 ms of processor time."""

SILENT_PAUSE_S = 0.6
"""An engine that did not answer is asked again after this, beside the changes: it takes
no place from the others, and has the newest weights soon after it is back."""


class EngineSurvey:
    """What engines answered last; ``close`` it once."""

    def __init__(self, directory: Directory, engines: EngineOrders) -> None:
        self._directory = directory
        self._engines = engines
        self._next_at = -math.inf
        self._running: dict[str, int] = {}
        # When an engine that does not answer is asked again.
        self._silent: dict[str, float] = {}
        # Who was asked and has not answered yet.
        self._asking: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Ask nobody any more."""
        await stop(list(self._asking.values()))

    @property
    def away(self) -> frozenset[str]:
        """Engines that don't answer, or have not answered yet."""
        return frozenset((*self._silent, *self._asking))

    def running(self, name: str) -> int:
        """How many requests an engine had when it was asked last; 0 if it never was."""
        return self._running.get(name, 0)

    def look(self, names: Collection[str], busy: Collection[str]) -> bool:
        """Ask the engines of ``names`` if it is time, but for those that are ``busy``.

        True if this is the first time for long: what they answer is not known yet.
        """
        now = _now()
        if not names or now < self._next_at:
            return False
        pause_s = max(SURVEY_S, len(names) / SURVEY_PER_S)
        first = now > self._next_at + pause_s
        self._next_at = now + pause_s
        if first:
            self._running.clear()
        for name in names:
            if name not in busy and name not in self._silent:
                self._ask_by_name(name)
        return first

    def silent(self, name: str) -> None:
        """An engine did not answer; others shall not wait for it."""
        self._silent[name] = _now() + SILENT_PAUSE_S

    def ask_silent(self) -> None:
        """Ask engines that did not answer again; those that are gone are forgotten."""
        now = _now()
        for name, ask_at in list(self._silent.items()):
            engine = self._directory.get(name, now)
            if engine is None or engine.leaving:
                del self._silent[name]
            elif ask_at <= now:
                self._silent[name] = now + SILENT_PAUSE_S
                self._ask_by_name(name)

    def _ask_by_name(self, name: str) -> None:
        engine = self._directory.get(name, _now())
        if engine is None or name in self._asking:
            return
        task = spawn(self._ask(engine))
        self._asking[name] = task
        task.add_done_callback(partial(self._asked, name))

    def _asked(self, name: str, _: asyncio.Task[None]) -> None:
        self._asking.pop(name, None)

    async def _ask(self, engine: UpstreamRecord) -> None:
        report = await self._engines.report(engine)
        if report is None:
            self._silent.setdefault(engine.name, _now() + SILENT_PAUSE_S)
            return
        self._silent.pop(engine.name, None)
        self._running[engine.name] = report.running


def _now() -> float:
    return asyncio.get_running_loop().time()
