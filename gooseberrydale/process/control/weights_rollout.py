"""Changes engines to the weights that operators have named.

Only the leading replica sends orders, with its term as fencing number, and it checks
that it still leads before each one. An order that was not answered may be executed
late, so each order states how many orders the engine has accepted before it. The engine
rejects an order that a later one has superseded.
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
from gooseberrydale.process.control.engine_poller import EnginePoller
from gooseberrydale.process.control.machine import PublishingMachine
from gooseberrydale.process.control.replica import Replica
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.order_marks import is_mark, mark
from gooseberrydale.version.rollout import (
    DEADLINE_FRACTION,
    DEADLINE_FRACTION_DEGRADED,
    EngineWeights,
    engines_to_change,
)

CHECK_INTERVAL_S = 0.1
"""Interval at which the leader checks for engines with outdated weights."""

MARK_PROPAGATION_S = 0.3
"""Delay between marking an engine and the order. Entries receive the mark within 20 ms;
the rest lets requests start that already wait in the engine. A request that hasn't
started when the order arrives is refused, costs a retry and is late at another engine.
Prompts wait some 100 to 300 ms on a busy engine. Its streams run longer than that, so
this delay doesn't prolong the change."""

MAX_KEPT_RUNS = 2
"""An engine with at most this many runs doesn't wait for them; they continue with the
new weights. Waiting for the longest streams would keep the whole engine out of service
for one or two callers."""

MAX_DRAIN_S = 1.0
"""Longest wait for an engine to drain to that many runs. The runs that are left then
continue with the new weights: they may last for as long as their routes allow, which
may be longer than the whole rollout may take."""

DRAIN_POLL_S = 0.2
"""Interval between polls of a draining engine; its report lags by as much."""

REPORT_LAG_S = 0.4
"""Delay after an accepted order before the next poll: an engine's report lags by 200
ms, and a load takes at least about this long."""

LOAD_POLL_S = 0.12
"""Interval between polls of an engine that loads weights. It is a fraction of the
loading time, because the engine stays out of service until the poll after the load."""

MAX_CHANGE_S = 6.0
"""Time limit for changing one engine, after which it is left for a later attempt.
Draining and loading take two seconds at most."""

MAX_UNANSWERED_S = 2.0
"""For so long an engine that answers no orders is kept out of service: as long as a
change takes.  It may carry out an order many seconds later, and serves until then."""

RESEND_DELAY_S = 0.1
"""Delay before an unanswered order is sent again if the engine's report shows no effect
of it. A second copy does no harm, as whichever is executed first makes the other one
void. A longer delay would keep the engine out of service longer."""


class WeightsRollout:
    """Checks for outdated engines in one task and changes each in a task of its own."""

    def __init__(
        self,
        name: str,
        machine: PublishingMachine,
        replica: Replica,
        directory: Directory,
        announcements: Announcements,
        engines: EngineOrders,
        named: NamedWeights,
        pause_s: float,
        bound_s: float,
    ) -> None:
        """Orders start ``pause_s`` after an election.

        ``named`` holds the versions of the machine's configuration and since when they
        count.  Engines may start work on outdated weights for ``bound_s`` after newer
        ones were named.
        """
        self._name = name
        self._machine = machine
        self._replica = replica
        self._directory = directory
        self._announcements = announcements
        self._engines = engines
        self._pause_s = pause_s
        self._bound_s = bound_s
        self._named = named
        self._term = 0
        self._leader_since = 0.0
        self._fenced_term = 0
        self._seq = itertools.count(1)
        self._poller = EnginePoller(directory, engines)
        self._changing: dict[str, asyncio.Task[None]] = {}
        self._unanswered_since: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the periodic check."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop; the next leader continues the rollout."""
        await stop(self._tasks)
        await stop(list(self._changing.values()))
        await self._poller.close()

    async def _run(self) -> None:
        while True:
            if self._may_order():
                for name in self._choose_engines():
                    self._start_change(name)
                self._poller.retry_silent()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _may_order(self) -> bool:
        """Return whether this replica leads and may send orders.

        After an election it waits for ``pause_s``, until late orders of the previous
        leader have arrived. Once an engine has rejected an order because of a newer
        leader, it sends no more in this term.
        """
        if not self._replica.may_lead():
            self._term = 0
            return False
        term = self._replica.status.term
        if term != self._term:
            self._term = term
            self._leader_since = _now()
        if term == self._fenced_term:
            return False
        return _now() >= self._leader_since + self._pause_s

    def _choose_engines(self) -> list[str]:
        named = self._machine.state.config.weights
        if not named:
            return []
        engines = [
            EngineWeights(
                record.name,
                record.model,
                int(record.weights_version or 0),
                record.leaving,
                self._poller.running(record.name),
            )
            for record in self._directory.records(_now())
            if record.model and not is_mark(record)
        ]
        outdated_models = {
            engine.model
            for engine in engines
            if engine.version < named.get(engine.model, 0)
        }
        members = [
            engine.name
            for engine in engines
            if engine.model in outdated_models and not engine.leaving
        ]
        if self._poller.poll(members, self._changing):
            # The reports arrive before the next check; until then it is unknown which
            # engines respond and which have the fewest requests.
            return []
        return engines_to_change(
            engines,
            named,
            self._changing,
            self._poller.unresponsive,
            self._remaining_s(engines),
            in_service={name for name in self._changing if self._is_overdue(name)},
        )

    def _is_overdue(self, name: str) -> bool:
        """Whether an engine has answered no order for too long; it serves meanwhile."""
        since = self._unanswered_since.get(name)
        return since is not None and _now() >= since + MAX_UNANSWERED_S

    def _remaining_s(self, engines: list[EngineWeights]) -> dict[str, float]:
        """Return the seconds until the engines of each model must have the newest
        weights.

        Engines that start up with weights that were outdated long ago don't shorten it.
        """
        usable_fraction = (
            DEADLINE_FRACTION_DEGRADED
            if self._poller.unresponsive
            else DEADLINE_FRACTION
        )
        allowed_s = self._bound_s * usable_fraction
        remaining: dict[str, float] = {}
        for engine in engines:
            outdated_s = self._named.outdated_for_s(
                engine.model, engine.version, _now()
            )
            if 0.0 < outdated_s < allowed_s:
                remaining_s = allowed_s - outdated_s
                remaining[engine.model] = min(
                    remaining.get(engine.model, remaining_s), remaining_s
                )
        return remaining

    def _start_change(self, name: str) -> None:
        task = spawn(self._change(name))
        self._changing[name] = task
        task.add_done_callback(lambda _: self._changing.pop(name, None))

    async def _change(self, name: str) -> None:
        """Change one engine to the newest weights, or give up at the time limit."""
        give_up_at = _now() + MAX_CHANGE_S
        drain_deadline = _now() + MARK_PROPAGATION_S + MAX_DRAIN_S
        self._mark(name, over=False)
        try:
            await asyncio.sleep(MARK_PROPAGATION_S)
            while self._may_order() and _now() < give_up_at:
                engine = self._directory.get(name, _now())
                if engine is None or engine.leaving:
                    return
                if await self._step(engine, drain_deadline):
                    return
                self._mark(name, over=self._is_overdue(name))
        finally:
            self._unanswered_since.pop(name, None)
            self._mark(name, over=True)

    async def _step(self, engine: UpstreamRecord, drain_deadline: float) -> bool:
        """Poll once and send at most one order; return whether the change has ended."""
        target = self._machine.state.config.weights.get(engine.model, 0)
        report = await self._engines.report(engine)
        if report is None:
            self._poller.mark_silent(engine.name)
            return True
        loaded = report.versions.get(engine.model, 0)
        if loaded >= target and not report.busy:
            self._announcements.record_weights(engine.name, str(loaded), report.born_ms)
            return True
        if report.busy:
            # It carries out an order, answered or not.
            self._unanswered_since.pop(engine.name, None)
        draining = report.running > MAX_KEPT_RUNS and _now() < drain_deadline
        if report.busy or draining or not self._may_order():
            await asyncio.sleep(DRAIN_POLL_S if draining else LOAD_POLL_S)
            return False
        return await self._order(engine, target, report)

    async def _order(
        self, engine: UpstreamRecord, target: int, report: EngineReport
    ) -> bool:
        order = WeightsOrder(
            model=engine.model,
            version=target,
            holder=self._name,
            number=self._term,
            after=report.accepted,
            keep_runs=report.running > 0,
        )
        answer = await self._engines.order(engine, order)
        outcome = answer.name.lower()
        emit(WeightsOrdered(engine.name, target, order.number, order.after, outcome))
        if answer is OrderAnswer.UNKNOWN:
            self._unanswered_since.setdefault(engine.name, _now())
        else:
            self._unanswered_since.pop(engine.name, None)
        match answer:
            case OrderAnswer.FENCED:
                # Another replica leads; this one learns that from the log.
                self._fenced_term = order.number
                return True
            case OrderAnswer.OTHER_INCARNATION:
                # Another incarnation has taken over its address, so this one has ended.
                self._announcements.retire(engine.name)
                return True
            case OrderAnswer.ACCEPTED:
                await asyncio.sleep(REPORT_LAG_S)
            case OrderAnswer.UNKNOWN:
                await asyncio.sleep(RESEND_DELAY_S)
            case _:
                await asyncio.sleep(LOAD_POLL_S)
        return False

    def _mark(self, name: str, *, over: bool) -> None:
        record = mark(name, self._term, next(self._seq), over=over)
        self._directory.offer(record, _now())


def _now() -> float:
    return asyncio.get_running_loop().time()
