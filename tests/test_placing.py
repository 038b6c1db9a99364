"""Requests that wait for a usable upstream, on a simulated clock."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.process.gateway.placer import (
    NoCapacityError,
    ObservedStats,
    Placement,
    Placer,
    QuarantinedError,
)
from gooseberrydale.process.gateway.routed_request import RoutedRequest
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery
from gooseberrydale.request.gateway_call import CallerRequest, Prompt
from gooseberrydale.request.hold_policy import LATE_HOLD_S, POLL_INTERVAL_S
from gooseberrydale.request.placement import Candidate, Demand, gap_excess_s
from gooseberrydale.request.retry_after import NO_CAPACITY_AFTER_S, after_no_capacity_s
from gooseberrydale.version.declared import EngineSize, Pool
from gooseberrydale.version.ended_incarnations import (
    QUARANTINE_AFTER,
    EndedIncarnations,
)
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.run_times import RunTimes
from gooseberrydale.version.speeds.speed import Speed
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from gooseberrydale.version.upstream_limits import UpstreamLimits
from gooseberrydale.version.upstream_load import Load
from gooseberrydale.version.wait_limits import WaitLimits
from tests import builders_incarnations as incarnations
from tests.builders_gateway import no_limits, no_scope, prompt, record, route
from tests.clock import run_paused

OBJECTIVE_S = 0.4
TIMEOUT_S = 5.0
ENGINE = EngineSize(slots=24, kv_tokens=70_000)
FULL = Load(8.0, 0.0, 69_000.0)
LIGHT = Load(1.0, 0.0, 9_000.0)
LARGE = prompt(("guide", 2_500), ("lot", 3_800), own=2_900, new=13)
SMALL = prompt(("guide", 120), ("lot", 80), own=600, new=70)


@dataclass
class FakeUpstreams:
    """A single engine whose load is a function of the time."""

    load_at: Callable[[float], Load]
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    polls: int = 0
    ended_incarnations: EndedIncarnations = field(default_factory=EndedIncarnations)
    limits: UpstreamLimits = field(default_factory=no_limits)
    sharing: CapacitySharing = field(
        default_factory=lambda: CapacitySharing(GatewayCfg(), UpstreamSpeeds())
    )

    def next_permit_s(self, query: UpstreamQuery, now: float) -> float | None:
        return None

    def candidates(
        self, query: UpstreamQuery, now: float
    ) -> list[tuple[UpstreamRecord, Candidate]]:
        self.polls += 1
        size = query.pool.engine
        assert size is not None
        candidate = Candidate("u1", self.load_at(now), "1", size.slots, size.kv_tokens)
        return [(record("u1", model="m"), candidate)]


def job(
    body: Prompt, *, now: float, left_s: float = TIMEOUT_S, last: str | None = None
) -> RoutedRequest:
    call = CallerRequest(
        "r", "POST", "/x", "h", (), wait_s=left_s, prompt=body, last_event_id=last
    )
    declared = replace(route(), objective_s=OBJECTIVE_S, timeout_s=TIMEOUT_S)
    pool = Pool("p", 100, ENGINE)
    return RoutedRequest(call, declared, pool, b"", now, now + left_s, None, no_scope)


def observed_stats() -> ObservedStats:
    """Return the statistics of large prompts from callers with equal wait limits."""
    stats = ObservedStats(RunTimes(), MeanWork(), WaitLimits())
    for _ in range(100):
        stats.mean_work.sent("p", 2_900)
        stats.patience.prior_wait_s(route().name, TIMEOUT_S)
    return stats


async def outcome(req: RoutedRequest, upstreams: FakeUpstreams) -> tuple[str, float]:
    loop = asyncio.get_running_loop()
    began = loop.time()
    placer = Placer(req, upstreams, observed_stats())  # type: ignore[arg-type]
    try:
        placed = await placer.place()
    except NoCapacityError:
        return "refused", loop.time() - began
    except QuarantinedError:
        return "quarantined", loop.time() - began
    assert isinstance(placed, Placement) and placer.tried == ["u1"]
    name = "late" if placer.demand.spare_only else "sent"
    return name, loop.time() - began


def always(load: Load) -> Callable[[float], Load]:
    return lambda now: load


CASES = {
    "capacity": (LARGE, always(LIGHT), TIMEOUT_S, None, "sent", 0.0, 0.0),
    "never capacity": (
        LARGE,
        always(FULL),
        TIMEOUT_S,
        None,
        "refused",
        0.2,
        OBJECTIVE_S,
    ),
    "capacity soon": (
        *(LARGE, lambda now: FULL if now < 0.1 else LIGHT, TIMEOUT_S, None),
        *("sent", 0.1, 0.1 + 1.5 * POLL_INTERVAL_S),
    ),
    "small prompts don't wait": (
        SMALL,
        always(FULL),
        TIMEOUT_S,
        None,
        "sent",
        0.0,
        0.0,
    ),
    "a resumed stream doesn't wait": (
        LARGE,
        always(FULL),
        TIMEOUT_S,
        "7",
        "sent",
        0.0,
        0.0,
    ),
    "retry after a second, capacity": (
        LARGE,
        always(LIGHT),
        4.0,
        None,
        "late",
        0.0,
        0.0,
    ),
    "retry after a second, none": (
        *(LARGE, always(FULL), 4.0, None),
        *("refused", LATE_HOLD_S, LATE_HOLD_S + 1.5 * POLL_INTERVAL_S),
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_how_long_a_request_waits_and_its_outcome(case: str) -> None:
    body, load_at, left_s, last, expected, min_s, max_s = CASES[case]

    async def main() -> tuple[str, float]:
        now = asyncio.get_running_loop().time()
        req = job(body, now=now, left_s=left_s, last=last)
        return await outcome(req, FakeUpstreams(load_at))

    name, took_s = run_paused(main())
    assert name == expected
    assert min_s <= took_s <= max_s


def test_waiting_request_is_refused_as_soon_as_it_is_quarantined() -> None:
    async def main() -> tuple[str, float]:
        loop = asyncio.get_running_loop()
        req = replace(job(LARGE, now=loop.time()), fingerprint=incarnations.request(1))
        upstreams = FakeUpstreams(always(FULL))
        for number in range(QUARANTINE_AFTER):
            ended = f"u{number}", incarnations.lost(1)
            at = 0.1 + number / 100
            loop.call_at(at, upstreams.ended_incarnations.report, *ended, at)
        return await outcome(req, upstreams)

    name, took_s = run_paused(main())
    assert name == "quarantined"
    assert 0.12 <= took_s <= 0.12 + 1.5 * POLL_INTERVAL_S


def test_waiting_request_polls_no_more_often_than_gateways_exchange_work() -> None:
    async def main() -> int:
        upstreams = FakeUpstreams(always(FULL))
        await outcome(job(LARGE, now=0.0), upstreams)
        return upstreams.polls

    assert run_paused(main()) <= 2 + OBJECTIVE_S / (POLL_INTERVAL_S / 2)


def test_retry_times_are_spread_and_within_the_remaining_time() -> None:
    rng = random.Random(2)
    after_s = [after_no_capacity_s(5.0, rng) for _ in range(200)]
    assert (
        min(after_s) < 0.7 * NO_CAPACITY_AFTER_S
        and max(after_s) > 1.3 * NO_CAPACITY_AFTER_S
    )
    assert all(after_no_capacity_s(0.6, rng) <= 0.2 for _ in range(50))


WAIT_LIMITS = [
    # wait limits of earlier callers, limit of this one -> its time on refused attempts
    ([5.0] * 30, 5.0, 0.0),
    ([5.0] * 30, 4.95, 0.0),
    ([5.0] * 30, 3.5, 1.5),
    ([5.0, 3.5] * 30, 3.5, 0.0),
    ([5.0, 4.0, 3.0, 2.0, 1.0] * 10, 1.0, 0.0),
    ([60.0] + [5.0] * 200, 4.0, 1.0),
    ([5.0] * 30, 6.0, 0.0),
    ([], 5.0, 0.0),
]


@pytest.mark.parametrize("row", WAIT_LIMITS)
def test_prior_wait_is_derived_from_the_wait_limits_of_other_callers(
    row: tuple[list[float], float, float],
) -> None:
    before, wait_s, expected = row
    patience = WaitLimits()
    for limit_s in before:
        patience.prior_wait_s("r", limit_s)
    assert patience.prior_wait_s("r", wait_s) == pytest.approx(expected)
    assert patience.prior_wait_s("r", None) == 0.0


@pytest.mark.parametrize(
    ("slowness", "prefill_tokens", "new_tokens", "late"),
    [
        (1.0, 0, 60, False),
        (2.5, 0, 60, True),  # a large prompt would stop the stream for too long
        (2.5, 0, 10, False),
        (1.0, 40_000, 10, True),
    ],
)
def test_streams_avoid_engines_whose_prompts_would_stretch_their_gaps(
    slowness: float, prefill_tokens: int, new_tokens: int, late: bool
) -> None:
    candidate = Candidate(
        "u1",
        Load(1.0, 0.0, 0.0),
        all_prefill_tokens=float(prefill_tokens),
        speed=Speed(slowness=slowness),
    )
    demand = Demand(own_tokens=600, new_tokens=new_tokens, gap_s=0.5)
    demand = replace(demand, mean_prefill_tokens=2_200.0)
    assert (gap_excess_s(candidate, demand) > 0.0) == late
    assert gap_excess_s(candidate, replace(demand, gap_s=0.0)) == 0.0
