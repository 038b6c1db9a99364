"""Runs a sidecar in the test's process, with a channel to it over real sockets."""

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

TEST_TIMEOUT_S = 20.0


def run(main: Coroutine[Any, Any, None], timeout_s: float = TEST_TIMEOUT_S) -> None:
    """Run the body of a test; fail if it takes longer than a generous limit."""
    asyncio.run(asyncio.wait_for(main, timeout_s))


class SidecarHarness:
    """A sidecar and a channel to it.

    ``upstream`` is set if the test uses a :class:`TinyUpstream`.
    """

    upstream: TinyUpstream

    def __init__(self, sidecar: Sidecar) -> None:
        self.sidecar = sidecar
        self.channel = RpcChannel(sidecar.addresses["rpc"], TOKEN)

    def dispatch(self, **fields: Any) -> Any:
        """Start a dispatch; ``incarnation`` defaults to that of this sidecar."""
        incarnation = fields.pop("incarnation", self.sidecar.incarnation)
        return self.channel.call(DISPATCH, dispatch_req(incarnation, **fields))

    def attach(self, offset: int, workspace: str = "workspace-a") -> Any:
        """Attach to the answer to ``req-1`` at ``offset``."""
        req = AttachReq("req-1", self.sidecar.incarnation, workspace, offset)
        return self.channel.call(ATTACH, req)

    async def cancel(self, request_id: str = "req-1") -> CancelReply:
        """Cancel the first attempt of a request."""
        req = CancelReq(request_id, 1, self.sidecar.incarnation, "workspace-a")
        reply = await self.channel.call(CANCEL, req)
        assert isinstance(reply, CancelReply)
        return reply


@asynccontextmanager
async def running_sidecar(
    folder: pathlib.Path, upstream: str, **settings: Any
) -> AsyncIterator[SidecarHarness]:
    """Run a sidecar in front of the upstream at the address ``upstream``."""
    sidecar = Sidecar(sidecar_cfg(folder, upstream, **settings))
    await sidecar.start()
    harness = SidecarHarness(sidecar)
    try:
        yield harness
    finally:
        await harness.channel.close()
        await sidecar.close()


async def read_frames(call: Any) -> list[Any]:
    """Read all remaining frames of a call but heartbeats."""
    frames = []
    while (frame := await call.read()) is not grpc.aio.EOF:
        if not isinstance(frame, Heartbeat):
            frames.append(frame)
    return frames


async def read_events(call: Any, count: int) -> list[bytes]:
    """Read the next ``count`` events of a call, or a few more from the same chunk."""
    events: list[bytes] = []
    while len(events) < count:
        frame = await call.read()
        if isinstance(frame, Chunk):
            events.extend(frame.events)
    return events


def events_of(frames: list[Any]) -> list[bytes]:
    """The events of all chunks among ``frames``."""
    return [e for frame in frames if isinstance(frame, Chunk) for e in frame.events]
