"""Sends issued orders to the sidecars of their upstreams and commits the outcome.

Only the leader sends orders, and it checks that it still leads before each attempt. An
order is resent until its outcome is known or its deadline has passed; the sidecar
recognizes a repeated order by its fencing number.
"""

from __future__ import annotations

import asyncio

import grpc
from loguru import logger

from gooseberrydale.connection.control_messages import (
    Order,
    OrderReply,
    OrderReq,
    ReportOrderReq,
)
from gooseberrydale.connection.rpc import ORDER, RpcChannel, TlsFiles
from gooseberrydale.process.control.group_commit import GroupCommit
from gooseberrydale.process.control.machine import PublishingMachine
from gooseberrydale.process.control.proposer import Proposer
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.directory import Directory

RETRY_S = 0.5
CALL_TIMEOUT_S = 2.0


class OrderSender:
    """Runs one task per issued order while this process leads."""

    def __init__(
        self,
        machine: PublishingMachine,
        proposer: Proposer,
        commit: GroupCommit,
        directory: Directory,
        token: str,
        tls: TlsFiles | None,
    ) -> None:
        self._machine = machine
        self._proposer = proposer
        self._commit = commit
        self._directory = directory
        self._token = token
        self._tls = tls
        self._tasks: list[asyncio.Task[None]] = []
        self._sending: dict[int, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start sending orders."""
        self._tasks.append(spawn(self._run()))

    async def close(self) -> None:
        """Stop; the next leader continues with the open orders."""
        await stop(self._tasks)
        await stop(list(self._sending.values()))

    async def _run(self) -> None:
        while True:
            for order in self._machine.state.orders.issued():
                if self._proposer.leads and order.number not in self._sending:
                    self._start_sending(order)
            await self._machine.wait_change(RETRY_S)

    def _start_sending(self, order: Order) -> None:
        task = spawn(self._send(order))
        self._sending[order.number] = task
        task.add_done_callback(lambda _: self._sending.pop(order.number, None))

    async def _send(self, order: Order) -> None:
        while self._is_issued(order) and self._proposer.leads:
            reply = await self._send_once(order)
            if reply is not None and reply.finished:
                await self._report(order, reply)
            else:
                await asyncio.sleep(RETRY_S)

    def _is_issued(self, order: Order) -> bool:
        return order in self._machine.state.orders.issued()

    async def _send_once(self, order: Order) -> OrderReply | None:
        """Send the order once; return None if no answer arrived."""
        now = asyncio.get_running_loop().time()
        record = self._directory.get(order.upstream, now)
        if record is None:
            return None
        req = OrderReq(
            number=order.number,
            kind=order.kind,
            upstream=order.upstream,
            model=order.model,
            version=order.version,
        )
        channel = RpcChannel(record.address, self._token, self._tls)
        try:
            reply = await channel.call(ORDER, req, timeout_s=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as exc:
            logger.warning(
                "order {} was not answered and is sent again: {}",
                order.number,
                exc.details(),
            )
            return None
        finally:
            await channel.close()
        return reply if isinstance(reply, OrderReply) else None

    async def _report(self, order: Order, reply: OrderReply) -> None:
        refused = reply.problem
        report = ReportOrderReq(
            number=order.number,
            upstream=order.upstream,
            done=refused is None,
            detail="" if refused is None else refused.message,
        )
        outcome = await self._commit.submit(report)
        if outcome.is_err():
            await asyncio.sleep(RETRY_S)
