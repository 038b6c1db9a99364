"""A sidecar in this process with a channel to it, for tests on real sockets."""

from __future__ import annotations

import asyncio
import pathlib
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import grpc.aio

from gooseberrydale.connection.messages import (
    AttachReq,
    CancelReply,
    CancelReq,
    Chunk,
    Heartbeat,
)
from gooseberrydale.connection.rpc import ATTACH, CANCEL, DISPATCH, RpcChannel
from gooseberrydale.process.sidecar import Sidecar
from tests.builders_sidecar import TOKEN, TinyUpstream, dispatch_req, sidecar_cfg

BOUND_S = 20.0


def run(main: Coroutine[Any, Any, None]) -> None:
    """Run a test's body within a generous bound."""
    asyncio.run(asyncio.wait_for(main, BOUND_S))


class Bench:
    """A sidecar and a channel to it; ``upstream`` if the test has a tiny one."""

    upstream: TinyUpstream

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar
        self.channel = RpcChannel(sidecar.addresses["rpc"], TOKEN)

    def dispatch(self, **fields: Any) -> Any:
        """Start a dispatch; ``incarnation`` is this sidecar's unless given."""
        incarnation = fields.pop("incarnation", self.sidecar.incarnation)
        return self.channel.call(DISPATCH, dispatch_req(incarnation, **fields))

    def attach(self, offset: int, workspace: str = "workspace-a") -> Any:
        """Ask for the answer to ``req-1`` again."""
        req = AttachReq("req-1", self.sidecar.incarnation, workspace, offset)
        return self.channel.call(ATTACH, req)

    async def cancel(self, request_id: str = "req-1") -> CancelReply:
        """Cancel the first attempt of a request."""
        req = CancelReq(request_id, 1, self.sidecar.incarnation, "workspace-a")
        reply = await self.channel.call(CANCEL, req)
        assert isinstance(reply, CancelReply)
        return reply


@asynccontextmanager
async def bench(
    folder: pathlib.Path, upstream: str, **settings: Any
) -> AsyncIterator[Bench]:
    """A running sidecar before the upstream at that address."""
    sidecar = Sidecar(sidecar_cfg(folder, upstream, **settings))
    await sidecar.start()
    made = Bench(sidecar)
    try:
        yield made
    finally:
        await made.channel.close()
        await sidecar.close()


async def frames_of(call: Any) -> list[Any]:
    """All frames to come but heartbeats."""
    frames = []
    while (frame := await call.read()) is not grpc.aio.EOF:
        if not isinstance(frame, Heartbeat):
            frames.append(frame)
    return frames


async def frames_until(call: Any, count: int) -> list[bytes]:
    """The first ``count`` events."""
    events: list[bytes] = []
    while len(events) < count:
        frame = await call.read()
        if isinstance(frame, Chunk):
            events.extend(frame.events)
    return events


def events_of(frames: list[Any]) -> list[bytes]:
    """The events of all chunks."""
    return [e for frame in frames if isinstance(frame, Chunk) for e in frame.events]
