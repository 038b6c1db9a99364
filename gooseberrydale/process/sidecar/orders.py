"""Sends control's orders to the upstream, one at a time and never out of order.

While an order runs no new work starts: the order may change the weights, and with them
the root of every cache key.
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
from gooseberrydale.connection.reply_limits import MAX_ORDER_BYTES
from gooseberrydale.connection.upstream_reply import UpstreamError
from gooseberrydale.errors import ORDER_REFUSED, UNKNOWN_NAME, Problem, problem
from gooseberrydale.version.fencing import Fence, OrderDecision

FENCE_TIMEOUT_S = 1.0
REPLY_TIMEOUT_S = 0.5
# Shorter than the time after which control considers an order lost.
ORDER_TIMEOUT_S = 120.0
# An order whose connection broke may still be executed.  If the upstream does not check
# fencing numbers, the next order waits this long, so that the two can't be reordered.
LOST_ORDER_S = 10.0
OK = 200

AskControl = Callable[[ReadFenceReq, float], Awaitable[Result[FenceReply, Problem]]]


class OrderExecutor:
    """Executes orders at the upstream ``name`` at ``base_url``.

    ``ask_control`` reads the current fencing number.  ``settle`` is awaited after each
    order, before new work may start.
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
        self._wait_until = 0.0

    async def close(self) -> None:
        """Stop waiting for a running order."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def idle(self) -> None:
        """Wait until no order runs."""
        await self._idle.wait()

    async def handle(self, req: OrderReq) -> OrderReply:
        """Handle an order or its repetition; reply soon, finished or not."""
        if req.upstream != self._name:
            refusal = problem(UNKNOWN_NAME, what="upstream", name=req.upstream)
            return OrderReply(req.number, True, refusal)
        if not self._fence.learned:
            await self._learn_fence()
        refused = self._fence.refusal(req)
        if refused is not None:
            return OrderReply(req.number, True, refused)
        if self._must_wait(req):
            return OrderReply(req.number, False)
        decision = self._fence.decide(req)
        if isinstance(decision, Err):
            return OrderReply(req.number, True, decision.err_value)
        if decision.ok_value is OrderDecision.WAIT:
            return OrderReply(req.number, False)
        if decision.ok_value is OrderDecision.SEND:
            self._idle.clear()
            self._task = asyncio.create_task(self._send(req))
        return await self._reply(req)

    def _must_wait(self, req: OrderReq) -> bool:
        """Whether ``req`` must wait for the order that was sent before it.

        That order may still run, or its call failed and it may still be executed.  A
        repetition of that order itself doesn't wait; it gets the state of the order.
        """
        if self._task is not None and not self._task.done():
            return not self._fence.is_last_sent(req)
        now = asyncio.get_running_loop().time()
        return now < self._wait_until and not self._fence.is_last_sent(req)

    async def _learn_fence(self) -> None:
        reply = await self._ask_control(ReadFenceReq(self._name), FENCE_TIMEOUT_S)
        if isinstance(reply, Err):
            logger.warning(
                "control did not return the fencing number, orders wait: {}",
                reply.err_value.message,
            )
        elif reply.ok_value.problem is None:
            self._fence.learn(reply.ok_value.number)

    async def _reply(self, req: OrderReq) -> OrderReply:
        assert self._task is not None
        await asyncio.wait([self._task], timeout=REPLY_TIMEOUT_S)
        if not self._task.done() or self._task.cancelled():
            return OrderReply(req.number, False)
        return self._task.result()

    async def _send(self, req: OrderReq) -> OrderReply:
        try:
            reply = await self._call(req)
        except UpstreamError as exc:
            logger.warning(
                "order {} failed with an unknown outcome: {}", req.number, exc
            )
            self._fence.mark_undelivered(req.number)
            if exc.sent and not self._checks_fencing:
                now = asyncio.get_running_loop().time()
                self._wait_until = now + LOST_ORDER_S
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
            self._base_url,
            "POST",
            "/orders",
            body,
            max_bytes=MAX_ORDER_BYTES,
            timeout_s=ORDER_TIMEOUT_S,
        )
        logger.info(
            "order {}: the upstream answered with status {}", req.number, reply.status
        )
        if reply.status == OK:
            return OrderReply(req.number, True)
        refusal = problem(ORDER_REFUSED, status=reply.status, number=req.number)
        return OrderReply(req.number, True, refusal)
