"""The order in which a gateway sends waiting requests, on a paused clock."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any

import msgspec

from gooseberrydale.process.gateway.request_queue import TIMER_S, WAKE_INTERVAL_S
from gooseberrydale.request.waiting.backlog import REPORT_TTL_S
from gooseberrydale.request.waiting.pace import name_hash
from gooseberrydale.version.upstream_load import Load
from tests.builders_waiting import (
    CHAT,
    DEADLINES_S,
    ENGINE,
    FULL,
    LIGHT,
    OBJECTIVES_S,
    POOL,
    VERDICT,
    Engines,
    ScriptedPlan,
    ScriptedReservations,
    WaitingGateway,
    sharing,
)
from tests.clock import run_paused

RANK_ONE_WAITS = msgspec.msgpack.encode([(name_hash(POOL), [(4, 15, 138_000, 30)])])


def play(*coros: Coroutine[Any, Any, None]) -> None:
    async def main() -> None:
        await asyncio.wait_for(asyncio.gather(*coros), 60.0)

    run_paused(main())


async def later(delay_s: float, coro: Coroutine[Any, Any, None]) -> None:
    await asyncio.sleep(delay_s)
    await coro


def full_until(at: float) -> Engines:
    return Engines(lambda now: FULL if now < at else LIGHT)


def test_waiting_requests_are_sent_in_order_of_rank() -> None:
    gateway = WaitingGateway(Engines(lambda now: FULL if now < 0.2 else LIGHT, slots=1))
    names = [f"{kind}{n}" for n in range(4) for kind in ("chat", "verdict")]
    play(
        *(
            gateway.request(name, *((CHAT,) if rank else (VERDICT,)), rank=rank)
            for name, rank in zip(names, itertools.cycle((2, 0)), strict=False)
        )
    )
    assert [name[:-1] for name in gateway.order] == ["verdict"] * 4 + ["chat"] * 4


def test_small_request_of_a_lower_rank_does_not_overtake_a_waiting_one() -> None:
    """Small prompts were never held and filled the engines before rank 0 work."""
    gateway = WaitingGateway(full_until(0.3))
    play(
        gateway.request("verdict"),
        later(0.1, gateway.request("chat", CHAT, rank=2)),
        later(0.1, gateway.request("urgent chat", CHAT, rank=0)),
    )
    assert gateway.order == ["verdict", "urgent chat", "chat"]
    assert gateway.outcomes["chat"][1] >= 0.3


def test_request_waits_for_more_urgent_ones_elsewhere_while_they_are_reported() -> None:
    """A gateway that was killed, cut off or frozen must not hold back the others."""
    gateway = WaitingGateway(Engines())
    gateway.queue.backlog.merge_own("other", RANK_ONE_WAITS, 0.0)
    play(
        gateway.request("chat", CHAT, rank=2),
        gateway.request("urgent", CHAT, rank=0),
    )
    assert gateway.outcomes["urgent"][1] == 0.0
    sent_at = gateway.outcomes["chat"][1]
    assert 0.8 * REPORT_TTL_S <= sent_at <= REPORT_TTL_S + 2 * TIMER_S


def test_request_passes_others_elsewhere_if_there_is_capacity_for_all() -> None:
    gateway = WaitingGateway(Engines())
    one = msgspec.msgpack.encode([(name_hash(POOL), [(0, 1, 900, 30)])])
    gateway.queue.backlog.merge_own("other", one, 0.0)
    play(gateway.request("chat", CHAT, rank=2))
    assert gateway.outcomes["chat"] == ("sent", 0.0)


def test_late_request_waits_until_its_deadline_and_is_served_after_those_in_time() -> (
    None
):
    """A late chat is worth three quarters of one in time, a refused one nothing."""
    free_at = OBJECTIVES_S[2] + 1.0
    gateway = WaitingGateway(Engines(lambda now: FULL if now < free_at else LIGHT, 1))
    play(
        gateway.request("early", CHAT, rank=2),
        later(free_at - 0.1, gateway.request("new", CHAT, rank=2)),
    )
    assert gateway.order == ["new", "early"]
    assert gateway.outcomes["early"][0] == "late"


def test_request_leaves_the_queue_before_its_deadline() -> None:
    gateway = WaitingGateway(full_until(100.0))
    play(gateway.request("verdict"))
    kind, at = gateway.outcomes["verdict"]
    assert kind == "refused" and gateway.queue.waiting(POOL) == 0
    assert DEADLINES_S[0] - 0.2 <= at < DEADLINES_S[0]


def test_request_whose_caller_left_does_not_hold_back_others() -> None:
    gateway = WaitingGateway(full_until(0.2))

    async def main() -> None:
        left = asyncio.ensure_future(gateway.request("left"))
        chat = asyncio.ensure_future(gateway.request("chat", CHAT, rank=2))
        await asyncio.sleep(0.1)
        left.cancel()
        await asyncio.gather(left, chat, return_exceptions=True)

    run_paused(main())
    assert gateway.order == ["chat"] and gateway.queue.waiting(POOL) == 0


def test_retry_plan_is_asked_whenever_a_request_waits_and_told_when_it_is_sent() -> (
    None
):
    plan = ScriptedPlan(lambda query: query.waited_s > 0.3)
    gateway = WaitingGateway(full_until(0.2), plan=plan)
    play(gateway.request("served"))
    assert gateway.order == ["served"] and plan.began_ranks == [0]
    gateway = WaitingGateway(full_until(9.0), plan=plan)
    play(gateway.request("refused"))
    assert gateway.outcomes["refused"][1] <= 0.3 + 2 * TIMER_S
    assert gateway.refused_after_s["refused"] == 0.7
    assert plan.queries[0].waited_s == 0.0


def test_retry_plan_is_not_asked_if_retries_are_not_planned() -> None:
    plan = ScriptedPlan(lambda query: True)
    engines = full_until(0.2)
    engines.sharing = sharing(plan_retries=False)
    gateway = WaitingGateway(engines, plan=plan)
    play(gateway.request("served"))
    assert gateway.order == ["served"]


def test_request_without_a_reservation_waits_also_if_it_is_small() -> None:
    reservations = ScriptedReservations(granted_at=0.2, delay_s=0.01)
    gateway = WaitingGateway(Engines(), reservations)
    play(gateway.request("chat", CHAT, rank=2))
    assert 0.2 <= gateway.outcomes["chat"][1] <= 0.25
    assert reservations.needs[0].rank == 2 and reservations.needs[0].kv_tokens > 600


def test_upstream_that_failed_during_the_reservation_is_not_used() -> None:
    gateway = WaitingGateway(Engines(), ScriptedReservations(delay_s=0.05))
    engines = gateway.engines

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, setattr, engines, "usable", False)
        loop.call_later(0.30, setattr, engines, "usable", True)
        await gateway.request("verdict")

    run_paused(main())
    assert gateway.outcomes["verdict"][1] >= 0.3


def test_continued_stream_is_sent_past_the_queue() -> None:
    gateway = WaitingGateway(full_until(1.0))
    play(
        gateway.request("first"),
        later(0.1, gateway.request("continued", CHAT, rank=2, last="7")),
    )
    assert gateway.outcomes["continued"][1] == 0.1


def test_plain_requests_wait_in_the_same_order() -> None:
    crowded = Load(ENGINE.slots + 4.0, 0.0, 0.0)
    gateway = WaitingGateway(Engines(lambda now: crowded if now < 0.1 else LIGHT))
    play(
        gateway.request("low", None, rank=2),
        gateway.request("high", None, rank=0),
    )
    assert gateway.order == ["high", "low"]


def test_only_the_first_requests_look_for_an_upstream_while_none_has_capacity() -> None:
    """Gateways have a third of a core; each look takes a fraction of a millisecond."""
    waiting, seconds = 200, 1.0
    gateway = WaitingGateway(full_until(9.0))

    async def main() -> None:
        loop = asyncio.get_running_loop()
        tasks = [asyncio.ensure_future(gateway.request(str(n))) for n in range(waiting)]
        while loop.time() < seconds:
            await asyncio.sleep(0.001)
            gateway.queue.capacity_changed()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_paused(main())
    assert 0 < gateway.engines.polls <= 1.2 * seconds / WAKE_INTERVAL_S


def test_nothing_waits_where_the_operator_switched_the_queue_off() -> None:
    engines = full_until(0.2)
    engines.sharing = sharing(queue_requests=False)
    gateway = WaitingGateway(engines)
    play(gateway.request("verdict"), gateway.request("chat", CHAT, rank=2))
    assert gateway.outcomes["chat"][1] == 0.0 and gateway.reports == 0
