"""The sidecar's gRPC methods for entries: dispatch, attach, cancel, configuration."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from contextlib import aclosing

from result import Err

from gooseberrydale.connection.messages import (
    AttachReq,
    CancelReply,
    CancelReq,
    ConfigAck,
    DispatchReq,
    Frame,
    PushConfig,
    ReadConfig,
    Refused,
)
from gooseberrydale.connection.rpc import (
    ATTACH,
    CANCEL,
    DISPATCH,
    PUSH_CONFIG,
    READ_CONFIG,
    RpcServer,
)
from gooseberrydale.errors import Problem
from gooseberrydale.process.sidecar.dispatcher import Dispatcher
from gooseberrydale.version.config_store import ConfigStore


class SidecarService:
    """Handlers of the gRPC methods; they call the dispatcher and the config store."""

    def __init__(
        self, dispatcher: Dispatcher, store: ConfigStore, incarnation: str
    ) -> None:
        self._dispatcher = dispatcher
        self._store = store
        self._incarnation = incarnation

    def register(self, rpc: RpcServer) -> None:
        """Register the methods on ``rpc``; call before its ``start``."""
        rpc.streaming(DISPATCH, self._dispatch)
        rpc.streaming(ATTACH, self._attach)
        rpc.unary(CANCEL, self._cancel)
        rpc.unary(PUSH_CONFIG, self._push_config)
        rpc.unary(READ_CONFIG, self._read_config)

    async def _dispatch(self, req: DispatchReq) -> AsyncGenerator[Frame, None]:
        attempt = self._dispatcher.dispatch(req)
        if isinstance(attempt, Refused):
            yield attempt
            return
        async with aclosing(attempt.frames(req.first_offset)) as frames:
            async for frame in frames:
                yield frame

    async def _attach(self, req: AttachReq) -> AsyncGenerator[Frame, None]:
        result = self._dispatcher.attach(req)
        if isinstance(result, Err):
            yield self._attach_refused(req, result.err_value)
            return
        async with aclosing(result.ok_value.frames(req.offset)) as frames:
            async for frame in frames:
                yield frame

    def _attach_refused(self, req: AttachReq, refusal: Problem) -> Refused:
        return Refused(
            req.request_id,
            req.attempt,
            req.incarnation,
            refusal,
            self._dispatcher.load(),
            self._store.revision,
        )

    async def _cancel(self, req: CancelReq) -> CancelReply:
        return self._dispatcher.cancel(req)

    async def _push_config(self, msg: PushConfig) -> ConfigAck:
        self._store.offer(msg.config)
        return ConfigAck(self._store.revision)

    async def _read_config(self, msg: ReadConfig) -> ConfigAck:
        newer = self._store.revision > msg.revision
        return ConfigAck(self._store.revision, self._store.config if newer else None)
