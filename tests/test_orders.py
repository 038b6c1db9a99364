"""Orders at a sidecar: outdated fencing numbers are refused.

No order is sent to the upstream before the current number was read from control.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from gooseberrydale.connection.control_messages import (
    FenceReply,
    OrderKind,
    OrderReq,
    ReadFenceReq,
)
from gooseberrydale.errors import NO_QUORUM, Problem, problem
from gooseberrydale.process.sidecar.orders import OrderExecutor
from gooseberrydale.version.fencing import Fence, OrderDecision
from tests.builders_sidecar import (
    Request,
    TinyUpstream,
    Writer,
    send_body,
    tiny_upstream,
)
from tests.sidecar_harness import run

ORDER = OrderReq(5, OrderKind.LOAD_WEIGHTS, "upstream-1", "model-a", "v2")


class Control:
    """Answers with a fencing number, or with a problem while it has none."""

    def __init__(self, number: int | None) -> None:
        self.number = number

    async def ask(
        self, _req: ReadFenceReq, _timeout_s: float
    ) -> Result[FenceReply, Problem]:
        if self.number is None:
            return Err(problem(NO_QUORUM))
        return Ok(FenceReply(self.number))


class Bench:
    """An ``OrderExecutor`` in front of a tiny upstream."""

    def __init__(self, upstream: TinyUpstream, control: Control) -> None:
        self.upstream = upstream
        self.control = control
        self.settled = 0
        self.keeper = OrderExecutor(
            "upstream-1", upstream.url, False, control.ask, self.settle
        )

    async def settle(self) -> None:
        self.settled += 1


@asynccontextmanager
async def bench(number: int | None, status: str = "200 OK") -> AsyncIterator[Bench]:
    async def answer(_req: Request, writer: Writer) -> None:
        if status == "drop":
            writer.close()
        else:
            await send_body(writer, b"{}", status)

    async with tiny_upstream(answer) as upstream:
        setup = Bench(upstream, Control(number))
        yield setup
        await setup.keeper.close()


def test_repeated_order_is_executed_once() -> None:
    async def main() -> None:
        async with bench(5) as setup:
            replies = [await setup.keeper.handle(ORDER) for _ in range(3)]
            assert all(reply.finished and not reply.problem for reply in replies)
            assert len(setup.upstream.requests) == 1
            assert b'"number":5' in setup.upstream.requests[0].body
            assert setup.settled == 1

    run(main())


def test_no_order_is_sent_before_the_fencing_number_is_known() -> None:
    async def main() -> None:
        async with bench(None) as setup:
            assert not (await setup.keeper.handle(ORDER)).finished
            assert setup.upstream.requests == []
            setup.control.number = 6
            reply = await setup.keeper.handle(ORDER)
            assert reply.problem is not None
            assert reply.problem.code == "stale_fencing_number"
            assert setup.upstream.requests == []

    run(main())


def test_older_number_and_different_order_with_the_same_number_are_refused() -> None:
    async def main() -> None:
        async with bench(0) as setup:
            await setup.keeper.handle(ORDER)
            older = replace(ORDER, number=4)
            other = replace(ORDER, version="v3")
            strange = replace(ORDER, upstream="upstream-2")
            codes = []
            for order in (older, other, strange):
                reply = await setup.keeper.handle(order)
                codes.append(reply.problem.code if reply.problem else "")
            assert codes == ["stale_fencing_number", "change_id_reused", "unknown_name"]
            assert len(setup.upstream.requests) == 1

    run(main())


def test_refusal_by_the_upstream_is_returned() -> None:
    async def main() -> None:
        async with bench(0, "409 Conflict") as setup:
            reply = await setup.keeper.handle(ORDER)
            assert reply.finished and reply.problem is not None
            assert reply.problem.code == "order_refused"

    run(main())


def test_newer_order_waits_for_one_whose_answer_was_lost() -> None:
    async def main() -> None:
        async with bench(0, "drop") as setup:
            assert not (await setup.keeper.handle(ORDER)).finished
            assert not (await setup.keeper.handle(replace(ORDER, number=6))).finished
            assert len(setup.upstream.requests) == 1

    run(main())


def test_new_work_waits_while_an_order_runs() -> None:
    go = asyncio.Event()

    async def answer(_req: Request, writer: Writer) -> None:
        await go.wait()
        await send_body(writer, b"{}")

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            setup = Bench(upstream, Control(0))
            assert not (await setup.keeper.handle(ORDER)).finished
            waiting = asyncio.create_task(setup.keeper.idle())
            await asyncio.sleep(0)
            assert not waiting.done()
            go.set()
            await waiting
            assert setup.settled == 1
            assert (await setup.keeper.handle(ORDER)).finished

    run(main())


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 6)), max_size=20))
def test_numbers_of_sent_orders_never_decrease(steps: list[tuple[bool, int]]) -> None:
    fence = Fence()
    highest = -1
    for learns, number in steps:
        if learns:
            fence.learn(number)
            highest = max(highest, number)
            continue
        decision = fence.decide(replace(ORDER, number=number))
        if decision == Ok(OrderDecision.SEND):
            assert highest >= 0, "sent before the fencing number was known"
            assert number >= highest
            highest = number
