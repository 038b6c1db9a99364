"""Orders: an older number never passes, and none before the number is learned."""

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
from gooseberrydale.process.sidecar.orders import OrderKeeper
from gooseberrydale.version.fencing import Fence, Passage
from tests.builders_sidecar import (
    Request,
    TinyUpstream,
    Writer,
    send_body,
    tiny_upstream,
)
from tests.sidecar_bench import run

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
    """A keeper of orders before a tiny upstream."""

    def __init__(self, upstream: TinyUpstream, control: Control) -> None:
        self.upstream = upstream
        self.control = control
        self.settled = 0
        self.keeper = OrderKeeper(
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
        made = Bench(upstream, Control(number))
        yield made
        await made.keeper.close()


def test_an_order_is_carried_out_once_however_often_it_comes() -> None:
    async def main() -> None:
        async with bench(5) as made:
            replies = [await made.keeper.handle(ORDER) for _ in range(3)]
            assert all(reply.finished and not reply.problem for reply in replies)
            assert len(made.upstream.requests) == 1
            assert b'"number":5' in made.upstream.requests[0].body
            assert made.settled == 1

    run(main())


def test_nothing_passes_before_the_number_is_learned() -> None:
    async def main() -> None:
        async with bench(None) as made:
            assert not (await made.keeper.handle(ORDER)).finished
            assert made.upstream.requests == []
            made.control.number = 6
            reply = await made.keeper.handle(ORDER)
            assert reply.problem is not None
            assert reply.problem.code == "stale_fencing_number"
            assert made.upstream.requests == []

    run(main())


def test_an_older_number_or_another_order_under_the_same_one_is_refused() -> None:
    async def main() -> None:
        async with bench(0) as made:
            await made.keeper.handle(ORDER)
            older = replace(ORDER, number=4)
            other = replace(ORDER, version="v3")
            strange = replace(ORDER, upstream="upstream-2")
            codes = []
            for order in (older, other, strange):
                reply = await made.keeper.handle(order)
                codes.append(reply.problem.code if reply.problem else "")
            assert codes == ["stale_fencing_number", "change_id_reused", "unknown_name"]
            assert len(made.upstream.requests) == 1

    run(main())


def test_a_refusal_of_the_upstream_is_passed_on() -> None:
    async def main() -> None:
        async with bench(0, "409 Conflict") as made:
            reply = await made.keeper.handle(ORDER)
            assert reply.finished and reply.problem is not None
            assert reply.problem.code == "order_refused"

    run(main())


def test_a_newer_order_waits_for_one_that_was_lost_on_the_way() -> None:
    async def main() -> None:
        async with bench(0, "drop") as made:
            assert not (await made.keeper.handle(ORDER)).finished
            assert not (await made.keeper.handle(replace(ORDER, number=6))).finished
            assert len(made.upstream.requests) == 1

    run(main())


def test_work_waits_while_an_order_runs() -> None:
    go = asyncio.Event()

    async def answer(_req: Request, writer: Writer) -> None:
        await go.wait()
        await send_body(writer, b"{}")

    async def main() -> None:
        async with tiny_upstream(answer) as upstream:
            made = Bench(upstream, Control(0))
            assert not (await made.keeper.handle(ORDER)).finished
            waiting = asyncio.create_task(made.keeper.idle())
            await asyncio.sleep(0)
            assert not waiting.done()
            go.set()
            await waiting
            assert made.settled == 1
            assert (await made.keeper.handle(ORDER)).finished

    run(main())


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 6)), max_size=20))
def test_numbers_given_never_fall(steps: list[tuple[bool, int]]) -> None:
    fence = Fence()
    floor = -1
    for learns, number in steps:
        if learns:
            fence.learn(number)
            floor = max(floor, number)
            continue
        passage = fence.take(replace(ORDER, number=number))
        if passage == Ok(Passage.GIVE):
            assert floor >= 0, "given before the number was learned"
            assert number >= floor
            floor = number
