"""Gives orders to the upstream, one at a time and never an older one.

Lives as long as the sidecar.  While an order runs no new work starts: the weights,
and with them the root of every cache key, may be about to change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from loguru import logger
from result import Err, Result

from gooseberrydale.connection import upstream_api
from gooseberrydale.connection.control_messages import (
    FenceReply,
    OrderReply,
    OrderReq,
    ReadFenceReq,
)
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.errors import ORDER_REFUSED, UNKNOWN_NAME, Problem, problem
from gooseberrydale.version.fencing import Fence, Passage

LEARN_TIMEOUT_S = 1.0
ANSWER_WITHIN_S = 0.5
# Below the time after which control counts an order as lost.
ORDER_TIMEOUT_S = 120.0
# An order whose connection broke may still be carried out.  Where the upstream does
# not check numbers, a newer one waits for so long that it can't be overtaken.
LOST_ORDER_S = 10.0
OK = 200

AskControl = Callable[[ReadFenceReq, float], Awaitable[Result[FenceReply, Problem]]]


class OrderKeeper:
    """Orders to the upstream ``name`` at ``base_url``.

    ``settle`` is awaited after each order, before new work may start.
    """

    def __init__(
        self,
        name: str,
        base_url: str,
        checks_fencing: bool,
        ask_control: AskControl,
        settle: Callable[[], Awaitable[None]],
    ) -> None:
        self._name = name
        self._base_url = base_url
        self._checks_fencing = checks_fencing
        self._ask_control = ask_control
        self._settle = settle
        self._fence = Fence()
        self._task: asyncio.Task[OrderReply] | None = None
        self._idle = asyncio.Event()
        self._idle.set()
        self._lost_until = 0.0

    async def close(self) -> None:
        """Stop waiting for an order that runs."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def idle(self) -> None:
        """Return once no order runs."""
        await self._idle.wait()

    async def handle(self, req: OrderReq) -> OrderReply:
        """Take one order or its repetition; answer soon, finished or not."""
        if req.upstream != self._name:
            refusal = problem(UNKNOWN_NAME, what="upstream", name=req.upstream)
            return OrderReply(req.number, True, refusal)
        if not self._fence.learned:
            await self._learn()
        refused = self._fence.refusal(req)
        if refused is not None:
            return OrderReply(req.number, True, refused)
        if self._must_wait(req):
            return OrderReply(req.number, False)
        passage = self._fence.take(req)
        if isinstance(passage, Err):
            return OrderReply(req.number, True, passage.err_value)
        if passage.ok_value is Passage.WAIT:
            return OrderReply(req.number, False)
        if passage.ok_value is Passage.GIVE:
            self._idle.clear()
            self._task = asyncio.create_task(self._give(req))
        return await self._state(req)

    def _must_wait(self, req: OrderReq) -> bool:
        """One order at a time; the repetition of the one that runs may ask."""
        if self._task is not None and not self._task.done():
            return not self._fence.is_given(req)
        now = asyncio.get_running_loop().time()
        return now < self._lost_until and not self._fence.is_given(req)

    async def _learn(self) -> None:
        reply = await self._ask_control(ReadFenceReq(self._name), LEARN_TIMEOUT_S)
        if isinstance(reply, Err):
            logger.warning("fencing number not learned: {}", reply.err_value.message)
        elif reply.ok_value.problem is None:
            self._fence.learn(reply.ok_value.number)

    async def _state(self, req: OrderReq) -> OrderReply:
        assert self._task is not None
        await asyncio.wait([self._task], timeout=ANSWER_WITHIN_S)
        if not self._task.done() or self._task.cancelled():
            return OrderReply(req.number, False)
        return self._task.result()

    async def _give(self, req: OrderReq) -> OrderReply:
        try:
            reply = await self._call(req)
        except UpstreamError as exc:
            logger.warning("order {} has no outcome: {}", req.number, exc)
            self._fence.forget(req.number)
            if exc.sent and not self._checks_fencing:
                now = asyncio.get_running_loop().time()
                self._lost_until = now + LOST_ORDER_S
            return OrderReply(req.number, False)
        finally:
            await self._settle()
            self._idle.set()
        return reply

    async def _call(self, req: OrderReq) -> OrderReply:
        body = {
            "number": req.number,
            "kind": req.kind,
            "model": req.model,
            "version": req.version,
        }
        reply = await upstream_api.call(
            self._base_url, "POST", "/orders", body, timeout_s=ORDER_TIMEOUT_S
        )
        logger.info("order {} answered with {}", req.number, reply.status)
        if reply.status == OK:
            return OrderReply(req.number, True)
        refusal = problem(ORDER_REFUSED, status=reply.status, number=req.number)
        return OrderReply(req.number, True, refusal)
