"""Brings the engines to the weights that operators have named.

Lives as long as the process; only the replica that leads gives orders, under its term
as fencing number, and asks whether it still leads before each one.  An order without
an answer may be carried out late; it names how many orders came before it, so that
one that was overtaken is void.
"""

from __future__ import annotations

import asyncio
import itertools

from gooseberrydale.connection.engine_orders import (
    EngineOrders,
    EngineReport,
    OrderAnswer,
    WeightsOrder,
)
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.log_events import WeightsOrdered, emit
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.control.engine_survey import EngineSurvey
from gooseberrydale.process.control.machine import PublishingMachine
from gooseberrydale.process.control.replica import Replica
from gooseberrydale.process.control.tasks import spawn, stop
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.order_marks import is_mark, mark
from gooseberrydale.version.rollout import (
    USED_PART,
    USED_PART_SHORT,
    EngineWeights,
    due,
)

LOOK_S = 0.1
"""How often the leader looks for engines that are behind."""

MARK_SETTLE_S = 0.3
"""Between a mark and the order.  The mark reaches the entries within 20 ms; the rest is
for what waits inside the engine: a request that has not begun when the order comes is
refused, costs a retry and is late elsewhere.  Prompts wait for some 100 to 300 ms on a
busy engine; its streams run on for longer, so that the change ends no later."""

FEW_RUNS = 2
"""With this many runs left, an engine does not wait for their end: they go on with the
new weights.  Those are the longest streams, which were moved before and may not be
moved again; for one or two of them an engine was away for two seconds of the three that
a change took, a third of what six engines carry while two change."""

DRAIN_S = 1.0
"""How long an engine is given to come down to so few; most of its streams have been
moved or have ended after 0.7 s."""

DRAIN_POLL_S = 0.2
"""Between two looks at an engine that comes down: its report lags by as much."""

REPORT_LAG_S = 0.4
"""After an accepted order: an engine's report lags by 200 ms, and a load takes about
this long in any case."""

POLL_S = 0.12
"""Between two looks at an engine that changes: a part of the time that a load takes,
as long as which the engine stays out of service for nothing."""

CHANGE_BOUND_S = 6.0
"""After this the engine is left for another try; runs and load take two at most."""

RESEND_AFTER_S = 0.1
"""An engine that shows no sign of an unanswered order after this is given it again: the
order that is carried out first makes the other one void, and meanwhile the engine is
out of service."""


class WeightsRollout:
    """One task looks for engines that are behind; one task changes each of them."""

    def __init__(
        self,
        name: str,
        machine: PublishingMachine,
        replica: Replica,
        directory: Directory,
        announcements: Announcements,
        engines: EngineOrders,
        pause_s: float,
        bound_s: float,
    ) -> None:
        """Orders wait ``pause_s`` after an election; work may start on overtaken
        weights for ``bound_s`` after newer ones were named.
        """
        self._name = name
        self._machine = machine
        self._replica = replica
        self._directory = directory
        self._announcements = announcements
        self._engines = engines
        self._pause_s = pause_s
        self._bound_s = bound_s
        self._named = NamedWeights()
        self._term = 0
        self._led_since = 0.0
        self._fenced_term = 0
        self._seq = itertools.count(1)
        self._survey = EngineSurvey(directory, engines)
        self._changing: dict[str, asyncio.Task[None]] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to look."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop; the next leader goes on."""
        await stop(self._tasks)
        await stop(list(self._changing.values()))
        await self._survey.close()

    async def _run(self) -> None:
        while True:
            self._named.note(self._machine.state.config.weights, _now())
            if self._may_order():
                for name in self._due():
                    self._begin(name)
                self._survey.ask_silent()
            await asyncio.sleep(LOOK_S)

    def _may_order(self) -> bool:
        """Whether this replica leads, and orders of an earlier leader have arrived."""
        if not self._replica.may_lead():
            self._term = 0
            return False
        term = self._replica.status.term
        if term != self._term:
            self._term = term
            self._led_since = _now()
        if term == self._fenced_term:
            return False
        return _now() >= self._led_since + self._pause_s

    def _due(self) -> list[str]:
        named = self._machine.state.config.weights
        if not named:
            return []
        engines = [
            EngineWeights(
                record.name,
                record.model,
                int(record.weights_version or 0),
                record.leaving,
                self._survey.running(record.name),
            )
            for record in self._directory.records(_now())
            if record.model and not is_mark(record)
        ]
        behind = {e.model for e in engines if e.version < named.get(e.model, 0)}
        members = [e.name for e in engines if e.model in behind and not e.leaving]
        if self._survey.look(members, self._changing):
            # Who is dead, and who has the least to do, is known at the next look.
            return []
        left_s = self._left_s(engines)
        return due(engines, named, self._changing, self._survey.away, left_s)

    def _left_s(self, engines: list[EngineWeights]) -> dict[str, float]:
        """Seconds by model until its engines shall have the newest weights.

        Engines that come back with weights overtaken long ago don't hurry the others.
        """
        used = USED_PART_SHORT if self._survey.away else USED_PART
        allowed_s = self._bound_s * used
        left: dict[str, float] = {}
        for engine in engines:
            old_s = self._named.old_for_s(engine.model, engine.version, _now())
            if 0.0 < old_s < allowed_s:
                left_s = allowed_s - old_s
                left[engine.model] = min(left.get(engine.model, left_s), left_s)
        return left

    def _begin(self, name: str) -> None:
        task = spawn(self._change(name))
        self._changing[name] = task
        task.add_done_callback(lambda _: self._changing.pop(name, None))

    async def _change(self, name: str) -> None:
        """Bring one engine to the newest weights, or leave it after a bound."""
        until = _now() + CHANGE_BOUND_S
        drained_by = _now() + MARK_SETTLE_S + DRAIN_S
        self._mark(name, over=False)
        try:
            await asyncio.sleep(MARK_SETTLE_S)
            while self._may_order() and _now() < until:
                engine = self._directory.get(name, _now())
                if engine is None or engine.leaving:
                    return
                if await self._step(engine, drained_by):
                    return
                self._mark(name, over=False)
        finally:
            self._mark(name, over=True)

    async def _step(self, engine: UpstreamRecord, drained_by: float) -> bool:
        """One report and at most one order; say whether the engine is done with."""
        wanted = self._machine.state.config.weights.get(engine.model, 0)
        report = await self._engines.report(engine)
        if report is None:
            self._survey.silent(engine.name)
            return True
        held = report.versions.get(engine.model, 0)
        if held >= wanted and not report.busy:
            self._announcements.has_weights(engine.name, str(held), report.born_ms)
            return True
        draining = report.running > FEW_RUNS and _now() < drained_by
        if report.busy or draining or not self._may_order():
            await asyncio.sleep(DRAIN_POLL_S if draining else POLL_S)
            return False
        return await self._order(engine, wanted, report)

    async def _order(
        self, engine: UpstreamRecord, wanted: int, report: EngineReport
    ) -> bool:
        order = WeightsOrder(
            model=engine.model,
            version=wanted,
            holder=self._name,
            number=self._term,
            after=report.accepted,
            keep_runs=0 < report.running <= FEW_RUNS,
        )
        answer = await self._engines.order(engine, order)
        outcome = answer.name.lower()
        emit(WeightsOrdered(engine.name, wanted, order.number, order.after, outcome))
        match answer:
            case OrderAnswer.FENCED:
                # Another replica leads; this one learns of it from the log.
                self._fenced_term = order.number
                return True
            case OrderAnswer.OTHER_INCARNATION:
                # Its address has passed on, so this incarnation has ended.
                self._announcements.retire(engine.name)
                return True
            case OrderAnswer.ACCEPTED:
                await asyncio.sleep(REPORT_LAG_S)
            case OrderAnswer.UNKNOWN:
                await asyncio.sleep(RESEND_AFTER_S)
            case _:
                await asyncio.sleep(POLL_S)
        return False

    def _mark(self, name: str, *, over: bool) -> None:
        record = mark(name, self._term, next(self._seq), over=over)
        self._directory.offer(record, _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
