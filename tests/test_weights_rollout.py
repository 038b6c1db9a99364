"""Who is brought to new weights when, and how orders go astray."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

import pytest

from gooseberrydale.connection.engine_orders import (
    EngineReport,
    OrderAnswer,
    WeightsOrder,
)
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.control import weights_rollout
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.control.weights_rollout import (
    DRAIN_S,
    FEW_RUNS,
    MARK_SETTLE_S,
    WeightsRollout,
)
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.order_marks import mark_name
from gooseberrydale.version.rollout import EngineWeights, at_once, due
from tests.builders_gateway import record
from tests.clock import run_paused

LOAD_S = 0.4


def engines(*versions: int, leaving: bool = False) -> list[EngineWeights]:
    return [EngineWeights(f"e{n}", "m", v, leaving) for n, v in enumerate(versions)]


CASES = {
    "as many as may change at once": (engines(1, 1, 1, 1, 1), (), (), ["e0", "e1"]),
    "a third of many": (engines(*[1] * 9), (), (), ["e0", "e1", "e2"]),
    "the oldest first": (engines(2, 1, 3, 1, 2), (), (), ["e1", "e3"]),
    "only in free places": (engines(1, 1, 1, 1, 1), ("e0",), (), ["e1"]),
    "none while all places are taken": (engines(1, 1, 1), ("e0", "e1"), (), []),
    "fewer while some are silent": (engines(*[1] * 9), (), ("e0", "e1"), ["e2"]),
    "one in any case": (engines(1, 1, 1, 1), (), ("e0", "e1", "e2"), ["e3"]),
    "none that leaves": (engines(1, 1, leaving=True), (), (), []),
    "none that is up to date": (engines(4, 4, 4), (), (), []),
}


@pytest.mark.parametrize("case", CASES)
def test_which_engines_are_due(case: str) -> None:
    members, changing, silent, wanted = CASES[case]
    assert due(members, {"m": 4}, changing, silent) == wanted
    assert due(members, {"other": 9}, changing, silent) == []


PACES = [
    # engines, behind, seconds left -> away at once
    (5, 5, 6.0, 2),
    (9, 9, 6.0, 3),
    (28, 28, 7.5, 10),
    (28, 21, 7.5, 7),
    (28, 21, 3.0, 10),
    (28, 2, 7.5, 2),
    (28, 28, 0.0, 10),
    (3, 3, 6.0, 2),
]


@pytest.mark.parametrize("pace", PACES)
def test_how_many_change_at_once_by_the_time_left(
    pace: tuple[int, int, float, int],
) -> None:
    count, behind, left_s, expected = pace
    assert at_once(count, behind, left_s) == expected


def test_with_a_quarter_dead_all_others_change_in_time() -> None:
    """Each round takes as long as measured; the dead ones hold nobody up."""
    members, now = engines(*[1] * 28), 0.0
    dead = {engine.name for engine in members[:7]}
    ends: dict[str, float] = {}
    most = 0
    while any(one.version < 4 for one in members if one.name not in dead):
        begun = due(members, {"m": 4}, ends, dead, {"m": 7.5 - now})
        ends |= {name: now + 1.8 for name in begun}
        most = max(most, len(ends))
        now += 0.1
        done = {name for name, at in ends.items() if at <= now}
        members = [replace(e, version=4) if e.name in done else e for e in members]
        ends = {name: at for name, at in ends.items() if name not in done}
    assert now < 8.5 and most <= 7


@dataclass
class FakeEngine:
    """An engine that carries orders out; ``astray`` orders are kept for later."""

    version: int = 1
    accepted: int = 0
    busy_until: float = -1.0
    dead: bool = False
    running: int = 0
    astray: int = 0
    kept: list[WeightsOrder] = field(default_factory=list)
    orders: list[WeightsOrder] = field(default_factory=list)


class FakeEngines:
    """Engines by name, with a count of those that change at once."""

    def __init__(self, directory: Directory, *names: str) -> None:
        self.directory = directory
        self.by_name = {name: FakeEngine() for name in names}
        self.most_at_once = 0
        self.unmarked = 0

    async def report(self, engine: UpstreamRecord) -> EngineReport | None:
        found = self.by_name[engine.name]
        await asyncio.sleep(0.4 if found.dead else 0.001)
        if found.dead:
            return None
        busy = self.busy(found)
        return EngineReport({"m": found.version}, found.accepted, busy, found.running)

    async def order(self, engine: UpstreamRecord, order: WeightsOrder) -> OrderAnswer:
        found = self.by_name[engine.name]
        found.orders.append(order)
        if found.dead or found.astray > 0:
            found.astray -= 1
            found.kept.append(order)
            await asyncio.sleep(0.4)
            return OrderAnswer.UNKNOWN
        return self.carry_out(engine.name, order)

    def carry_out(self, name: str, order: WeightsOrder) -> OrderAnswer:
        found, now = self.by_name[name], asyncio.get_running_loop().time()
        if self.busy(found) or order.after != found.accepted:
            return OrderAnswer.CONFLICT
        marked = self.directory.get(mark_name(name), now)
        self.unmarked += marked is None or not marked.ready
        found.accepted += 1
        found.busy_until = now + LOAD_S
        found.version = order.version
        at_once = sum(self.busy(one) for one in self.by_name.values())
        self.most_at_once = max(self.most_at_once, at_once)
        return OrderAnswer.ACCEPTED

    def busy(self, engine: FakeEngine) -> bool:
        return asyncio.get_running_loop().time() < engine.busy_until

    @property
    def versions(self) -> set[int]:
        return {one.version for one in self.by_name.values()}


class FakeReplica:
    """Leads or not."""

    def __init__(self) -> None:
        self.leads = True
        self.term = 5

    def may_lead(self) -> bool:
        return self.leads

    @property
    def status(self) -> FakeReplica:
        return self


class FakeMachine:
    """The state with the named weights."""

    def __init__(self) -> None:
        self.config = Config(weights={"m": 2})

    @property
    def state(self) -> FakeMachine:
        return self


class Bench:
    """A rollout over fake engines on a paused clock."""

    def __init__(self, *names: str, pause_s: float = 0.0, bound_s: float = 8.0) -> None:
        self.directory = Directory()
        self.engines = FakeEngines(self.directory, *names)
        self.replica, self.machine = FakeReplica(), FakeMachine()
        self.rollout = WeightsRollout(
            "node",
            self.machine,  # type: ignore[arg-type]
            self.replica,  # type: ignore[arg-type]
            self.directory,
            Announcements(self.directory, 1.2),
            self.engines,
            pause_s,
            bound_s,
        )

    async def start(self) -> None:
        self.announce()
        await self.rollout.start()

    def announce(self) -> None:
        now = asyncio.get_running_loop().time()
        for name, engine in self.engines.by_name.items():
            version = str(engine.version)
            known = record(name, model="m", weights_version=version, lease_s=60.0)
            self.directory.offer(known, now)

    async def until_all(self, version: int, bound_s: float) -> float:
        """Seconds until all live engines serve ``version``."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while self.engines.versions != {version}:
            await asyncio.sleep(0.05)
            assert loop.time() < began + bound_s, self.engines.versions
        return loop.time() - began


NAMES = ("e0", "e1", "e2", "e3", "e4")


def test_all_engines_change_a_few_at_a_time_while_marked() -> None:
    async def main() -> None:
        bench = Bench(*NAMES)
        await bench.start()
        took_s = await bench.until_all(2, 8.0)
        assert took_s < 3.0
        assert (bench.engines.most_at_once, bench.engines.unmarked) == (2, 0)
        orders = [o for e in bench.engines.by_name.values() for o in e.orders]
        assert {(o.holder, o.number, o.version) for o in orders} == {("node", 5, 2)}
        assert len(orders) == len(NAMES)
        await asyncio.sleep(1.0)
        # The marks are over, and all know the new weights.
        now = asyncio.get_running_loop().time()
        for name in NAMES:
            found = bench.directory.get(name, now)
            marked = bench.directory.get(mark_name(name), now)
            assert found is not None and found.weights_version == "2"
            assert marked is None or not marked.ready
        await bench.rollout.close()

    run_paused(main())


def test_a_version_that_was_overtaken_is_skipped() -> None:
    async def main() -> None:
        bench = Bench(*NAMES)
        await bench.start()
        await asyncio.sleep(MARK_SETTLE_S + 0.25)
        bench.machine.config = Config(weights={"m": 3})
        await bench.until_all(3, 8.0)
        late = [e for e in bench.engines.by_name.values() if len(e.orders) == 1]
        assert len(late) == 3
        await bench.rollout.close()

    run_paused(main())


def test_a_dead_engine_does_not_hold_the_others_up_and_gets_its_turn() -> None:
    async def main() -> None:
        bench = Bench(*NAMES)
        dead = [bench.engines.by_name[name] for name in ("e0", "e1")]
        for engine in dead:
            engine.dead = True
        await bench.start()
        await asyncio.sleep(5.0)
        assert [e.version for e in bench.engines.by_name.values()] == [1, 1, 2, 2, 2]
        for engine in dead:
            engine.dead = False
        assert await bench.until_all(2, 8.0) < 3.0
        await bench.rollout.close()

    run_paused(main())


def test_dead_engines_are_asked_beside_the_changes_of_the_others() -> None:
    """Each question to a dead engine takes as long as a change of a live one."""

    async def main() -> None:
        names = tuple(f"e{number:02}" for number in range(16))
        bench = Bench(*names)
        dead, live = names[:5], names[5:]
        for name in dead:
            bench.engines.by_name[name].dead = True
        answer = bench.engines.report

        async def slow_if_dead(engine: UpstreamRecord) -> EngineReport | None:
            if engine.name in dead:
                await asyncio.sleep(0.5)
            return await answer(engine)

        bench.engines.report = slow_if_dead  # type: ignore[method-assign]
        await bench.start()
        await asyncio.sleep(4.0)
        assert {bench.engines.by_name[name].version for name in live} == {2}
        await bench.rollout.close()

    run_paused(main())


def test_orders_without_an_answer_are_given_again_and_void_when_late() -> None:
    async def main() -> None:
        bench = Bench(*NAMES)
        for engine in bench.engines.by_name.values():
            engine.astray = 1
        await bench.start()
        assert await bench.until_all(2, 8.0) < 5.0
        bench.machine.config = Config(weights={"m": 3})
        await bench.until_all(3, 8.0)
        await asyncio.sleep(1.0)
        for name, engine in bench.engines.by_name.items():
            for order in engine.kept:
                answer = bench.engines.carry_out(name, order)
                assert answer is OrderAnswer.CONFLICT
        assert bench.engines.versions == {3}
        await bench.rollout.close()

    run_paused(main())


def test_a_new_leader_waits_and_one_that_lost_the_lead_gives_no_orders() -> None:
    async def main() -> None:
        bench = Bench(*NAMES, pause_s=3.0)
        await bench.start()
        await asyncio.sleep(2.9)
        assert bench.engines.versions == {1}
        bench.replica.leads = False
        await asyncio.sleep(3.0)
        bench.replica.leads, bench.replica.term = True, 6
        await asyncio.sleep(2.9)
        assert bench.engines.versions == {1}
        await bench.until_all(2, 8.0)
        orders = [o for e in bench.engines.by_name.values() for o in e.orders]
        assert {o.number for o in orders} == {6}
        await bench.rollout.close()

    run_paused(main())


def test_a_fenced_holder_stays_quiet_until_it_leads_anew() -> None:
    async def main() -> None:
        bench = Bench("e0")
        engine = bench.engines.by_name["e0"]

        async def fenced(_: UpstreamRecord, order: WeightsOrder) -> OrderAnswer:
            engine.orders.append(order)
            return OrderAnswer.FENCED

        bench.engines.order = fenced  # type: ignore[method-assign]
        await bench.start()
        await asyncio.sleep(10.0)
        assert len(engine.orders) == 1
        bench.replica.term = 7
        await asyncio.sleep(1.0)
        assert [order.number for order in engine.orders] == [5, 7]
        await bench.rollout.close()

    run_paused(main())


def test_a_incarnation_whose_address_passed_on_is_retired() -> None:
    async def main() -> None:
        bench = Bench("e0")

        async def other(_: UpstreamRecord, order: WeightsOrder) -> OrderAnswer:
            bench.engines.by_name["e0"].orders.append(order)
            return OrderAnswer.OTHER_INCARNATION

        bench.engines.order = other  # type: ignore[method-assign]
        await bench.start()
        await asyncio.sleep(5.0)
        assert len(bench.engines.by_name["e0"].orders) == 1
        found = bench.directory.get("e0", asyncio.get_running_loop().time())
        assert found is not None and found.leaving
        await bench.rollout.close()

    run_paused(main())


def test_while_some_are_dead_the_others_change_one_at_a_time() -> None:
    """Two dead and two away of six would leave two for the load of six."""

    async def main() -> None:
        bench = Bench(*NAMES, "e5", bound_s=12.0)
        for name in ("e0", "e1"):
            bench.engines.by_name[name].dead = True
        await bench.start()
        await asyncio.sleep(6.0)
        assert [e.version for e in bench.engines.by_name.values()] == [1, 1, 2, 2, 2, 2]
        assert bench.engines.most_at_once == 1
        await bench.rollout.close()

    run_paused(main())


def test_the_engine_with_the_least_work_changes_first() -> None:
    async def main() -> None:
        bench = Bench(*NAMES)
        for number, engine in enumerate(bench.engines.by_name.values()):
            engine.running = 4 - number
        await bench.start()
        await asyncio.sleep(MARK_SETTLE_S + 0.3)
        changed = [n for n, e in bench.engines.by_name.items() if e.version == 2]
        assert changed == ["e3", "e4"]
        await bench.rollout.close()

    run_paused(main())


def test_an_engine_does_not_wait_for_its_last_runs() -> None:
    """Long streams that may not be moved again kept it away for two seconds more."""

    async def main() -> None:
        bench = Bench("e0")
        engine = bench.engines.by_name["e0"]
        engine.running = 15
        await bench.start()
        await asyncio.sleep(MARK_SETTLE_S + DRAIN_S / 2)
        assert engine.orders == []
        engine.running = FEW_RUNS
        await asyncio.sleep(0.3)
        assert [order.keep_runs for order in engine.orders] == [True]
        await bench.rollout.close()

    run_paused(main())


def test_an_engine_with_many_runs_waits_for_them() -> None:
    async def main() -> None:
        bench = Bench("e0")
        engine = bench.engines.by_name["e0"]
        engine.running = 15
        await bench.start()
        await asyncio.sleep(MARK_SETTLE_S + DRAIN_S + 0.4)
        assert [order.keep_runs for order in engine.orders] == [False]
        await bench.rollout.close()

    run_paused(main())


def test_the_bound_of_one_change_is_within_what_operators_expect() -> None:
    assert weights_rollout.CHANGE_BOUND_S < 8.0
