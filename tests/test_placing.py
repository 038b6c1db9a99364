"""Requests that wait for an upstream that takes them, on a paused clock."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.assignment import Assignment
from gooseberrydale.process.gateway.placing import (
    Learned,
    NoRoomError,
    Placed,
    Placing,
    QuarantinedError,
)
from gooseberrydale.process.gateway.upstreams import Sought
from gooseberrydale.request.comeback import NO_ROOM_AFTER_S, no_room_s
from gooseberrydale.request.gateway_call import CallerCall, Prompt
from gooseberrydale.request.placement import Candidate
from gooseberrydale.request.timeliness import LATE_WAIT_S, LOOK_S
from gooseberrydale.version.declared import EngineSize, Pool
from gooseberrydale.version.ended_incarnations import (
    QUARANTINE_AFTER,
    EndedIncarnations,
)
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.patience import Patience
from gooseberrydale.version.run_times import RunTimes
from gooseberrydale.version.upstream_limits import UpstreamLimits
from gooseberrydale.version.upstream_load import Load
from tests import builders_incarnations as incarnations
from tests.builders_gateway import no_limits, prompt, record, route
from tests.clock import run_paused

OBJECTIVE_S = 0.4
TIMEOUT_S = 5.0
ENGINE = EngineSize(slots=24, kv_tokens=70_000)
FULL = Load(8.0, 0.0, 69_000.0)
ROOMY = Load(1.0, 0.0, 9_000.0)
LARGE = prompt(("guide", 2_500), ("lot", 3_800), own=2_900, new=13)
SMALL = prompt(("guide", 120), ("lot", 80), own=600, new=70)


@dataclass
class FakeUpstreams:
    """One engine whose load follows from the time."""

    load_at: Callable[[float], Load]
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    asked: int = 0
    ended_incarnations: EndedIncarnations = field(default_factory=EndedIncarnations)
    limits: UpstreamLimits = field(default_factory=no_limits)

    def next_turn_s(self, sought: Sought, now: float) -> float | None:
        return None

    def candidates(
        self, sought: Sought, now: float
    ) -> list[tuple[UpstreamRecord, Candidate]]:
        self.asked += 1
        size = sought.pool.engine
        assert size is not None
        one = Candidate("u1", self.load_at(now), "1", size.slots, size.kv_tokens)
        return [(record("u1", model="m"), one)]


def job(
    body: Prompt, *, now: float, left_s: float = TIMEOUT_S, last: str | None = None
) -> Assignment:
    call = CallerCall(
        "r", "POST", "/x", "h", (), wait_s=left_s, prompt=body, last_event_id=last
    )
    declared = replace(route(), objective_s=OBJECTIVE_S, timeout_s=TIMEOUT_S)
    pool = Pool("p", 100, ENGINE)
    return Assignment(call, declared, pool, b"", now, now + left_s, None)


def learned() -> Learned:
    """Of a gateway that large prompts come to, from callers with equal patience."""
    found = Learned(RunTimes(), MeanWork(), Patience())
    for _ in range(100):
        found.mean_work.sent("p", 2_900)
        found.patience.waited_before_s(route().name, TIMEOUT_S)
    return found


async def outcome(one: Assignment, upstreams: FakeUpstreams) -> tuple[str, float]:
    loop = asyncio.get_running_loop()
    began = loop.time()
    placing = Placing(one, upstreams, learned())  # type: ignore[arg-type]
    try:
        placed = await placing.place()
    except NoRoomError:
        return "told", loop.time() - began
    except QuarantinedError:
        return "quarantined", loop.time() - began
    assert isinstance(placed, Placed) and placing.tried == ["u1"]
    name = "late" if placing.demand.spare_only else "sent"
    return name, loop.time() - began


def always(load: Load) -> Callable[[float], Load]:
    return lambda now: load


CASES = {
    "room": (LARGE, always(ROOMY), TIMEOUT_S, None, "sent", 0.0, 0.0),
    "no room ever": (LARGE, always(FULL), TIMEOUT_S, None, "told", 0.2, OBJECTIVE_S),
    "room soon": (
        *(LARGE, lambda now: FULL if now < 0.1 else ROOMY, TIMEOUT_S, None),
        *("sent", 0.1, 0.1 + 1.5 * LOOK_S),
    ),
    "small ones don't wait": (SMALL, always(FULL), TIMEOUT_S, None, "sent", 0.0, 0.0),
    "a stream goes on": (LARGE, always(FULL), TIMEOUT_S, "7", "sent", 0.0, 0.0),
    "back after a second, room": (LARGE, always(ROOMY), 4.0, None, "late", 0.0, 0.0),
    "back after a second, none": (
        *(LARGE, always(FULL), 4.0, None),
        *("told", LATE_WAIT_S, LATE_WAIT_S + 1.5 * LOOK_S),
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_how_long_a_request_waits_and_what_then(case: str) -> None:
    body, load_at, left_s, last, expected, least_s, most_s = CASES[case]

    async def main() -> tuple[str, float]:
        now = asyncio.get_running_loop().time()
        one = job(body, now=now, left_s=left_s, last=last)
        return await outcome(one, FakeUpstreams(load_at))

    found, took_s = run_paused(main())
    assert found == expected
    assert least_s <= took_s <= most_s


def test_who_waits_is_refused_as_soon_as_it_is_known_to_end_its_upstreams() -> None:
    async def main() -> tuple[str, float]:
        loop = asyncio.get_running_loop()
        one = replace(job(LARGE, now=loop.time()), fingerprint=incarnations.request(1))
        upstreams = FakeUpstreams(always(FULL))
        for number in range(QUARANTINE_AFTER):
            ended = f"u{number}", incarnations.lost(1)
            at = 0.1 + number / 100
            loop.call_at(at, upstreams.ended_incarnations.report, *ended, at)
        return await outcome(one, upstreams)

    found, took_s = run_paused(main())
    assert found == "quarantined"
    assert 0.12 <= took_s <= 0.12 + 1.5 * LOOK_S


def test_who_waits_looks_no_more_often_than_gateways_hear_of_each_other() -> None:
    async def main() -> int:
        upstreams = FakeUpstreams(always(FULL))
        await outcome(job(LARGE, now=0.0), upstreams)
        return upstreams.asked

    assert run_paused(main()) <= 2 + OBJECTIVE_S / (LOOK_S / 2)


def test_callers_are_told_spread_times_within_what_they_have_left() -> None:
    rng = random.Random(2)
    found = [no_room_s(5.0, rng) for _ in range(200)]
    assert min(found) < 0.7 * NO_ROOM_AFTER_S and max(found) > 1.3 * NO_ROOM_AFTER_S
    assert all(no_room_s(0.6, rng) <= 0.2 for _ in range(50))


PATIENCES = [
    # what callers said before, what this one says -> for how long it has waited
    ([5.0] * 30, 5.0, 0.0),
    ([5.0] * 30, 4.95, 0.0),
    ([5.0] * 30, 3.5, 1.5),
    ([5.0, 3.5] * 30, 3.5, 0.0),
    ([5.0, 4.0, 3.0, 2.0, 1.0] * 10, 1.0, 0.0),
    ([60.0] + [5.0] * 200, 4.0, 1.0),
    ([5.0] * 30, 6.0, 0.0),
    ([], 5.0, 0.0),
]


@pytest.mark.parametrize("row", PATIENCES)
def test_who_has_waited_before_is_told_from_the_patience_of_others(
    row: tuple[list[float], float, float],
) -> None:
    before, wait_s, expected = row
    patience = Patience()
    for one in before:
        patience.waited_before_s("r", one)
    assert patience.waited_before_s("r", wait_s) == pytest.approx(expected)
    assert patience.waited_before_s("r", None) == 0.0
