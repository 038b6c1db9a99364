"""Fakes and builders for tests of claims."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from typing import Any

from gooseberrydale.connection.control_messages import (
    ClaimReply,
    ClaimReq,
    FinishReq,
    Holder,
    Limits,
    MoveReq,
    ReleaseReq,
)
from gooseberrydale.connection.messages import AttachReq, DispatchReq
from gooseberrydale.connection.rpc import PROPOSE, RpcServer
from gooseberrydale.errors import NO_QUORUM, NOT_LEADER, problem
from gooseberrydale.version.claims import ClaimTable
from tests.builders_entry import TOKEN, FakeSidecar, send_heartbeats

BID_BODY = b'{"bid":9}'


class FakeControl:
    """A control replica: the leader if it has a table, else it names ``leader``."""

    def __init__(self, table: ClaimTable | None, leader: str = "") -> None:
        self.table = table
        self.leader = leader
        self.has_quorum = True
        self.asked: list[Any] = []
        self._server = RpcServer("127.0.0.1:0", TOKEN)

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server.unary(PROPOSE, self._propose)
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    async def _propose(self, req: Any) -> ClaimReply:
        self.asked.append(req)
        if self.table is None:
            why = problem(NOT_LEADER, leader=self.leader)
            return ClaimReply(problem=why, leader=self.leader)
        if not self.has_quorum:
            return ClaimReply(problem=problem(NO_QUORUM))
        return self._apply(self.table, req)

    def _apply(self, table: ClaimTable, req: Any) -> ClaimReply:
        now_s = asyncio.get_running_loop().time()
        match req:
            case ClaimReq():
                return table.claim(req, now_s, Limits())
            case MoveReq():
                return table.move(req, now_s, Limits())
            case ReleaseReq():
                return table.release(req)
            case FinishReq():
                return table.finish(req, now_s, Limits())
        raise TypeError(f"not a claim request: {req!r}")


def holder_at(fake: FakeSidecar, request_id: str) -> Holder:
    """The holder of a claim for an attempt that was never sent to ``fake``."""
    record = fake.record()
    return Holder(request_id, 1, record.name, record.address, record.incarnation)


async def answer_bid(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """A service's answer in two chunks."""
    yield fake.accepted(req, status=201)
    yield fake.chunk(req, 0, BID_BODY[:4])
    yield fake.chunk(req, 1, BID_BODY[4:])
    yield fake.end(req, 2)


async def answer_bid_late(fake: FakeSidecar, req: DispatchReq) -> AsyncIterator[Any]:
    """A service's answer in two chunks, after the sidecar's ``release`` is set."""
    async for frame in send_heartbeats(fake, req):
        yield frame
    async for frame in answer_bid(fake, req):
        yield frame


def keep_bid(fake: FakeSidecar) -> None:
    """Answer attach requests to a running bid; each reader ends the previous one."""
    reader_ids = itertools.count(1)
    newest = 0

    async def read(req: DispatchReq) -> AsyncIterator[Any]:
        nonlocal newest
        reader_id = newest = next(reader_ids)
        async for frame in answer_bid_late(fake, req):
            if reader_id != newest:
                return
            yield frame

    async def attach(req: AttachReq) -> AsyncIterator[Any]:
        dispatched = [d for d in fake.dispatched if d.request_id == req.request_id]
        async for frame in (
            read(dispatched[0]) if dispatched else fake.refuse_attach(req)
        ):
            yield frame

    fake.script = lambda _, req: read(req)
    fake.on_attach = attach
