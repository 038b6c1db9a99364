"""Which engines change weights when, and how unanswered orders are handled."""

from __future__ import annotations

import asyncio
import random
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
    MARK_PROPAGATION_S,
    MAX_DRAIN_S,
    MAX_KEPT_RUNS,
    WeightsRollout,
)
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.order_marks import mark_name
from gooseberrydale.version.rollout import (
    EngineWeights,
    concurrent_changes,
    engines_to_change,
)
from tests.builders_gateway import record
from tests.clock import run_paused

LOAD_S = 0.4


def engines(*versions: int, leaving: bool = False) -> list[EngineWeights]:
    return [EngineWeights(f"e{n}", "m", v, leaving) for n, v in enumerate(versions)]


CASES = {
    "as many as may change at once": (engines(1, 1, 1, 1, 1), (), (), ["e0", "e1"]),
    "a third of many": (engines(*[1] * 9), (), (), ["e0", "e1", "e2"]),
    "the oldest first": (engines(2, 1, 3, 1, 2), (), (), ["e1", "e3"]),
    "only in free slots": (engines(1, 1, 1, 1, 1), ("e0",), (), ["e1"]),
    "none while all slots are taken": (engines(1, 1, 1), ("e0", "e1"), (), []),
    "fewer while some don't answer": (engines(*[1] * 9), (), ("e0", "e1"), ["e2"]),
    "at least one": (engines(1, 1, 1, 1), (), ("e0", "e1", "e2"), ["e3"]),
    "none that leaves": (engines(1, 1, leaving=True), (), (), []),
    "none that is up to date": (engines(4, 4, 4), (), (), []),
}


@pytest.mark.parametrize("case", CASES)
def test_which_engines_change_next(case: str) -> None:
    members, changing, silent, expected = CASES[case]
    assert engines_to_change(members, {"m": 4}, changing, silent) == expected
    assert engines_to_change(members, {"other": 9}, changing, silent) == []


CONCURRENCY_CASES = [
    # engines, outdated engines, seconds left -> concurrent changes
    (5, 5, 6.0, 2),
    (9, 9, 6.0, 3),
    (28, 28, 7.5, 10),
    (28, 21, 7.5, 7),
    (28, 21, 3.0, 10),
    (28, 2, 7.5, 2),
    (28, 28, 0.0, 10),
    (3, 3, 6.0, 2),
]


@pytest.mark.parametrize("case", CONCURRENCY_CASES)
def test_how_many_change_at_once_by_the_time_left(
    case: tuple[int, int, float, int],
) -> None:
    count, behind, left_s, expected = case
    assert concurrent_changes(count, behind, left_s) == expected


def test_with_a_quarter_dead_all_others_change_in_time() -> None:
    """Dead engines must not delay the others; a change takes 1.8 s here."""
    members, now = engines(*[1] * 28), 0.0
    dead = {engine.name for engine in members[:7]}
    ends: dict[str, float] = {}
    max_changing = 0
    while any(member.version < 4 for member in members if member.name not in dead):
        begun = engines_to_change(members, {"m": 4}, ends, dead, {"m": 7.5 - now})
        ends |= {name: now + 1.8 for name in begun}
        max_changing = max(max_changing, len(ends))
        now += 0.1
        done = {name for name, at in ends.items() if at <= now}
        members = [replace(e, version=4) if e.name in done else e for e in members]
        ends = {name: at for name, at in ends.items() if name not in done}
    assert now < 8.5 and max_changing <= 7


def test_engines_that_serve_until_they_carry_out_an_order_take_no_place() -> None:
    members = engines(*[1] * 9)
    changing = ("e0", "e1", "e2")
    chosen = engines_to_change(members, {"m": 4}, changing, in_service=("e0", "e2"))
    assert chosen == ["e3", "e4"]


@dataclass
class FakeEngine:
    """An engine that executes orders; the next ``unanswered`` orders are delayed
    instead.  With ``late_s`` it answers none, and executes each after between so many
    seconds."""

    version: int = 1
    accepted: int = 0
    busy_until: float = -1.0
    dead: bool = False
    running: int = 0
    unanswered: int = 0
    late_s: tuple[float, float] | None = None
    delayed: list[WeightsOrder] = field(default_factory=list)
    orders: list[WeightsOrder] = field(default_factory=list)


class FakeEngines:
    """Engines by name; counts those that change concurrently."""

    def __init__(self, directory: Directory, *names: str) -> None:
        self.directory = directory
        self.by_name = {name: FakeEngine() for name in names}
        self.max_concurrent = 0
        self.unmarked = 0
        self.rng = random.Random(1)

    async def report(self, engine: UpstreamRecord) -> EngineReport | None:
        fake = self.by_name[engine.name]
        await asyncio.sleep(0.4 if fake.dead else 0.001)
        if fake.dead:
            return None
        busy = self.busy(fake)
        return EngineReport({"m": fake.version}, fake.accepted, busy, fake.running)

    async def order(self, engine: UpstreamRecord, order: WeightsOrder) -> OrderAnswer:
        fake = self.by_name[engine.name]
        fake.orders.append(order)
        if fake.late_s is not None:
            delay_s = self.rng.uniform(*fake.late_s)
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self.execute, engine.name, order)
            await asyncio.sleep(0.4)
            return OrderAnswer.UNKNOWN
        if fake.dead or fake.unanswered > 0:
            fake.unanswered -= 1
            fake.delayed.append(order)
            await asyncio.sleep(0.4)
            return OrderAnswer.UNKNOWN
        return self.execute(engine.name, order)

    def execute(self, name: str, order: WeightsOrder) -> OrderAnswer:
        fake, now = self.by_name[name], asyncio.get_running_loop().time()
        if self.busy(fake) or order.after != fake.accepted:
            return OrderAnswer.CONFLICT
        marked = self.directory.get(mark_name(name), now)
        self.unmarked += marked is None or not marked.ready
        fake.accepted += 1
        fake.busy_until = now + LOAD_S
        fake.version = order.version
        changing = sum(self.busy(other) for other in self.by_name.values())
        self.max_concurrent = max(self.max_concurrent, changing)
        return OrderAnswer.ACCEPTED

    def busy(self, engine: FakeEngine) -> bool:
        return asyncio.get_running_loop().time() < engine.busy_until

    @property
    def versions(self) -> set[int]:
        return {engine.version for engine in self.by_name.values()}


class FakeReplica:
    """A replica whose leadership the test sets."""

    def __init__(self) -> None:
        self.leads = True
        self.term = 5

    def may_lead(self) -> bool:
        return self.leads

    @property
    def status(self) -> FakeReplica:
        return self


class FakeMachine:
    """A state machine whose state holds the named weights, which ``named`` follows."""

    def __init__(self, named: NamedWeights) -> None:
        self._named = named
        self.config = Config(weights={"m": 2})

    @property
    def state(self) -> FakeMachine:
        return self

    @property
    def config(self) -> Config:
        return self._config

    @config.setter
    def config(self, config: Config) -> None:
        self._config = config
        self._named.record(config.weights, asyncio.get_running_loop().time())


class RolloutSetup:
    """A rollout over fake engines on a paused clock."""

    def __init__(self, *names: str, pause_s: float = 0.0, bound_s: float = 8.0) -> None:
        self.directory = Directory()
        self.engines = FakeEngines(self.directory, *names)
        named = NamedWeights()
        self.replica, self.machine = FakeReplica(), FakeMachine(named)
        self._pause_s, self._bound_s = pause_s, bound_s
        self.rollout = self._rollout(named)

    def next_leader(self, known_for_s: float) -> WeightsRollout:
        """Return the rollout of another leader, which knows versions for so long."""
        self.replica.term += 1
        named = NamedWeights()
        now = asyncio.get_running_loop().time()
        named.record(self.machine.config.weights, now - known_for_s)
        return self._rollout(named)

    def _rollout(self, named: NamedWeights) -> WeightsRollout:
        return WeightsRollout(
            "node",
            self.machine,  # type: ignore[arg-type]
            self.replica,  # type: ignore[arg-type]
            self.directory,
            Announcements(self.directory, 1.2),
            self.engines,
            named,
            self._pause_s,
            self._bound_s,
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

    async def wait_until_all(self, version: int, bound_s: float) -> float:
        """Wait until all engines serve ``version``; return the seconds it took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while self.engines.versions != {version}:
            await asyncio.sleep(0.05)
            assert loop.time() < began + bound_s, self.engines.versions
        return loop.time() - began


NAMES = ("e0", "e1", "e2", "e3", "e4")


def test_all_engines_change_a_few_at_a_time_while_marked() -> None:
    async def main() -> None:
        setup = RolloutSetup(*NAMES)
        await setup.start()
        took_s = await setup.wait_until_all(2, 8.0)
        assert took_s < 3.0
        assert (setup.engines.max_concurrent, setup.engines.unmarked) == (2, 0)
        orders = [o for e in setup.engines.by_name.values() for o in e.orders]
        assert {(o.holder, o.number, o.version) for o in orders} == {("node", 5, 2)}
        assert len(orders) == len(NAMES)
        await asyncio.sleep(1.0)
        # The marks have ended, and the directory has the new weights.
        now = asyncio.get_running_loop().time()
        for name in NAMES:
            upstream = setup.directory.get(name, now)
            marked = setup.directory.get(mark_name(name), now)
            assert upstream is not None and upstream.weights_version == "2"
            assert marked is None or not marked.ready
        await setup.rollout.close()

    run_paused(main())


@pytest.mark.parametrize("seed", range(8))
def test_engines_that_answer_no_orders_have_the_newest_weights_in_time(
    seed: int,
) -> None:
    async def main() -> None:
        names = tuple(f"e{number:02}" for number in range(27))
        setup = RolloutSetup(*names, bound_s=10.0)
        setup.engines.rng = random.Random(seed)
        for engine in setup.engines.by_name.values():
            engine.late_s = (2.0, 12.0)
        await setup.start()
        await asyncio.sleep(14.0)
        outdated = [e for e in setup.engines.by_name.values() if e.version == 1]
        assert len(outdated) <= len(names) / 10
        await setup.rollout.close()

    run_paused(main())


@pytest.mark.parametrize("known_for_s", [0.0, 11.0])
def test_new_leader_after_the_bound_of_a_version_changes_what_is_left(
    known_for_s: float,
) -> None:
    """All replicas are killed; the new leader knows the version's age, or does not."""

    async def main() -> None:
        setup = RolloutSetup(*NAMES)
        for engine in setup.engines.by_name.values():
            engine.late_s = (60.0, 60.0)
        await setup.start()
        await asyncio.sleep(11.0)
        await setup.rollout.close()
        for engine in setup.engines.by_name.values():
            engine.late_s = None
        rollout = setup.next_leader(known_for_s)
        await rollout.start()
        assert await setup.wait_until_all(2, 8.0) < 4.0
        await rollout.close()

    run_paused(main())


def test_an_engine_that_answers_no_orders_is_kept_out_of_service_for_a_change() -> None:
    async def main() -> None:
        setup = RolloutSetup(*NAMES)
        for engine in setup.engines.by_name.values():
            engine.late_s = (60.0, 60.0)
        await setup.start()
        loop = asyncio.get_running_loop()
        most = 0
        for _ in range(100):
            await asyncio.sleep(0.1)
            marks = [setup.directory.get(mark_name(n), loop.time()) for n in NAMES]
            most = max(most, sum(m is not None and m.ready for m in marks))
        assert most == 2
        ordered = [name for name in NAMES if setup.engines.by_name[name].orders]
        assert ordered == list(NAMES)
        await setup.rollout.close()

    run_paused(main())


def test_a_superseded_version_is_skipped() -> None:
    async def main() -> None:
        setup = RolloutSetup(*NAMES)
        await setup.start()
        await asyncio.sleep(MARK_PROPAGATION_S + 0.25)
        setup.machine.config = Config(weights={"m": 3})
        await setup.wait_until_all(3, 8.0)
        ordered_once = [e for e in setup.engines.by_name.values() if len(e.orders) == 1]
        assert len(ordered_once) == 3
        await setup.rollout.close()

    run_paused(main())


def test_a_dead_engine_does_not_delay_the_others_and_changes_after_recovery() -> None:
    async def main() -> None:
        setup = RolloutSetup(*NAMES)
        dead = [setup.engines.by_name[name] for name in ("e0", "e1")]
        for engine in dead:
            engine.dead = True
        await setup.start()
        await asyncio.sleep(5.0)
        assert [e.version for e in setup.engines.by_name.values()] == [1, 1, 2, 2, 2]
        for engine in dead:
            engine.dead = False
        assert await setup.wait_until_all(2, 8.0) < 3.0
        await setup.rollout.close()

    run_paused(main())


def test_polls_of_dead_engines_do_not_delay_other_changes() -> None:
    """Polls of dead engines must not delay the changes of live ones.

    Each poll of a dead engine takes as long as a change of a live one.
    """

    async def main() -> None:
        names = tuple(f"e{number:02}" for number in range(16))
        setup = RolloutSetup(*names)
        dead, live = names[:5], names[5:]
        for name in dead:
            setup.engines.by_name[name].dead = True
        answer = setup.engines.report

        async def slow_if_dead(engine: UpstreamRecord) -> EngineReport | None:
            if engine.name in dead:
                await asyncio.sleep(0.5)
            return await answer(engine)

        setup.engines.report = slow_if_dead  # type: ignore[method-assign]
        await setup.start()
        await asyncio.sleep(4.0)
        assert {setup.engines.by_name[name].version for name in live} == {2}
        await setup.rollout.close()

    run_paused(main())


def test_unanswered_orders_are_resent_and_void_when_executed_late() -> None:
    async def main() -> None:
        setup = RolloutSetup(*NAMES)
        for engine in setup.engines.by_name.values():
            engine.unanswered = 1
        await setup.start()
        assert await setup.wait_until_all(2, 8.0) < 5.0
        setup.machine.config = Config(weights={"m": 3})
        await setup.wait_until_all(3, 8.0)
        await asyncio.sleep(1.0)
        for name, engine in setup.engines.by_name.items():
            for order in engine.delayed:
                answer = setup.engines.execute(name, order)
                assert answer is OrderAnswer.CONFLICT
        assert setup.engines.versions == {3}
        await setup.rollout.close()

    run_paused(main())


def test_a_new_leader_waits_and_a_former_leader_sends_no_orders() -> None:
    async def main() -> None:
        setup = RolloutSetup(*NAMES, pause_s=3.0)
        await setup.start()
        await asyncio.sleep(2.9)
        assert setup.engines.versions == {1}
        setup.replica.leads = False
        await asyncio.sleep(3.0)
        setup.replica.leads, setup.replica.term = True, 6
        await asyncio.sleep(2.9)
        assert setup.engines.versions == {1}
        await setup.wait_until_all(2, 8.0)
        orders = [o for e in setup.engines.by_name.values() for o in e.orders]
        assert {o.number for o in orders} == {6}
        await setup.rollout.close()

    run_paused(main())


def test_a_fenced_leader_sends_no_orders_until_its_next_term() -> None:
    async def main() -> None:
        setup = RolloutSetup("e0")
        engine = setup.engines.by_name["e0"]

        async def fenced(_: UpstreamRecord, order: WeightsOrder) -> OrderAnswer:
            engine.orders.append(order)
            return OrderAnswer.FENCED

        setup.engines.order = fenced  # type: ignore[method-assign]
        await setup.start()
        await asyncio.sleep(10.0)
        assert len(engine.orders) == 1
        setup.replica.term = 7
        await asyncio.sleep(1.0)
        assert [order.number for order in engine.orders] == [5, 7]
        await setup.rollout.close()

    run_paused(main())


def test_an_incarnation_whose_address_was_taken_over_is_retired() -> None:
    async def main() -> None:
        setup = RolloutSetup("e0")

        async def other(_: UpstreamRecord, order: WeightsOrder) -> OrderAnswer:
            setup.engines.by_name["e0"].orders.append(order)
            return OrderAnswer.OTHER_INCARNATION

        setup.engines.order = other  # type: ignore[method-assign]
        await setup.start()
        await asyncio.sleep(5.0)
        assert len(setup.engines.by_name["e0"].orders) == 1
        upstream = setup.directory.get("e0", asyncio.get_running_loop().time())
        assert upstream is not None and upstream.leaving
        await setup.rollout.close()

    run_paused(main())


def test_while_some_are_dead_the_others_change_one_at_a_time() -> None:
    """With two of six engines dead, two more out of service would leave only two for
    the load of six."""

    async def main() -> None:
        setup = RolloutSetup(*NAMES, "e5", bound_s=12.0)
        for name in ("e0", "e1"):
            setup.engines.by_name[name].dead = True
        await setup.start()
        await asyncio.sleep(6.0)
        assert [e.version for e in setup.engines.by_name.values()] == [1, 1, 2, 2, 2, 2]
        assert setup.engines.max_concurrent == 1
        await setup.rollout.close()

    run_paused(main())


def test_the_engine_with_the_least_work_changes_first() -> None:
    async def main() -> None:
        setup = RolloutSetup(*NAMES)
        for number, engine in enumerate(setup.engines.by_name.values()):
            engine.running = 4 - number
        await setup.start()
        await asyncio.sleep(MARK_PROPAGATION_S + 0.3)
        changed = [n for n, e in setup.engines.by_name.items() if e.version == 2]
        assert changed == ["e3", "e4"]
        await setup.rollout.close()

    run_paused(main())


def test_an_engine_does_not_wait_for_its_last_runs() -> None:
    """Waiting for long streams kept an engine out of service for two more seconds."""

    async def main() -> None:
        setup = RolloutSetup("e0")
        engine = setup.engines.by_name["e0"]
        engine.running = 15
        await setup.start()
        await asyncio.sleep(MARK_PROPAGATION_S + MAX_DRAIN_S / 2)
        assert engine.orders == []
        engine.running = MAX_KEPT_RUNS
        await asyncio.sleep(0.3)
        assert [order.keep_runs for order in engine.orders] == [True]
        await setup.rollout.close()

    run_paused(main())


def test_an_engine_with_many_runs_waits_for_them_a_limited_time() -> None:
    """Guards against a rollout that waits for as long as streams may last."""

    async def main() -> None:
        setup = RolloutSetup("e0")
        engine = setup.engines.by_name["e0"]
        engine.running = 15
        await setup.start()
        await asyncio.sleep(MARK_PROPAGATION_S + MAX_DRAIN_S - 0.1)
        assert engine.orders == []
        await asyncio.sleep(0.5)
        assert [order.keep_runs for order in engine.orders] == [True]
        await setup.rollout.close()

    run_paused(main())


def test_one_change_ends_within_the_time_that_operators_expect() -> None:
    assert weights_rollout.MAX_CHANGE_S < 8.0
