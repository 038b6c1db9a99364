"""Wires the sidecar: its listener, its gate, its view of the upstream, the mesh.

Lives as long as the process.
"""

from __future__ import annotations

import random
import time
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
    TlsFiles,
)
from gooseberrydale.errors import Problem
from gooseberrydale.process.cfg import Cfg, SidecarCfg, TlsCfg
from gooseberrydale.process.sidecar.attempt import Attempt
from gooseberrydale.process.sidecar.calls import CallBuilder
from gooseberrydale.process.sidecar.dispatcher import Dispatcher
from gooseberrydale.process.sidecar.upstream_run import run_upstream
from gooseberrydale.process.sidecar.upstream_watch import UpstreamWatch
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.directory import new_incarnation

RPC_GRACE_S = 0.5


class Sidecar:
    """One sidecar process.  ``start`` serves, ``close`` drains and stops."""

    def __init__(self, cfg: Cfg, rng: random.Random | None = None) -> None:
        if cfg.sidecar is None:
            raise ValueError("the settings have no [sidecar] table; add one")
        self._cfg = cfg
        self._sidecar: SidecarCfg = cfg.sidecar
        rng = rng if rng is not None else random.Random()
        self.incarnation = new_incarnation(time.time_ns(), rng)
        self.store = ConfigStore()
        self._token = cfg.fleet.token_file.read_text().strip()
        self._watch = UpstreamWatch(self._sidecar)
        self._calls = CallBuilder(
            self._sidecar, self.store, lambda: self._watch.state, self._watch.alive
        )
        self.dispatcher = Dispatcher(
            cfg.node.name,
            self.incarnation,
            self._sidecar,
            self.store,
            self._run_attempt,
            self._uncached_tokens,
        )
        self._rpc = RpcServer(self._sidecar.rpc, self._token, _tls(cfg.fleet.tls))
        self._closing = False

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of the listeners, with their real ports."""
        host = self._sidecar.rpc.rpartition(":")[0]
        return {"rpc": f"{host}:{self._rpc.port}"}

    async def start(self) -> None:
        """Serve; raises OSError if the listener can't be bound."""
        self._rpc.streaming(DISPATCH, self._dispatch)
        self._rpc.streaming(ATTACH, self._attach)
        self._rpc.unary(CANCEL, self._cancel)
        self._rpc.unary(PUSH_CONFIG, self._push_config)
        self._rpc.unary(READ_CONFIG, self._read_config)
        await self.dispatcher.start()
        await self._watch.start()
        await self._rpc.start()

    async def close(self) -> None:
        """Refuse new work, finish what runs within the bound, then stop."""
        if self._closing:
            return
        self._closing = True
        await self.dispatcher.drain(self._sidecar.drain_s)
        await self.dispatcher.close()
        await self._rpc.close(RPC_GRACE_S)
        await self._watch.close()

    # Handlers.

    async def _dispatch(self, req: DispatchReq) -> AsyncGenerator[Frame, None]:
        taken = self.dispatcher.dispatch(req)
        if isinstance(taken, Refused):
            yield taken
            return
        async with aclosing(taken.frames(req.first_offset)) as frames:
            async for frame in frames:
                yield frame

    async def _attach(self, req: AttachReq) -> AsyncGenerator[Frame, None]:
        found = self.dispatcher.attach(req)
        if isinstance(found, Err):
            yield self._attach_refused(req, found.err_value)
            return
        async with aclosing(found.ok_value.frames(req.offset)) as frames:
            async for frame in frames:
                yield frame

    def _attach_refused(self, req: AttachReq, refusal: Problem) -> Refused:
        return Refused(
            req.request_id,
            req.attempt,
            req.incarnation,
            refusal,
            self.dispatcher.load(),
            self.store.revision,
        )

    async def _cancel(self, req: CancelReq) -> CancelReply:
        return self.dispatcher.cancel(req)

    async def _push_config(self, msg: PushConfig) -> ConfigAck:
        self.store.offer(msg.config)
        return ConfigAck(self.store.revision)

    async def _read_config(self, msg: ReadConfig) -> ConfigAck:
        newer = self.store.revision > msg.revision
        return ConfigAck(self.store.revision, self.store.config if newer else None)

    # Work.

    def _uncached_tokens(self, req: DispatchReq) -> int:
        return sum(piece.tokens for piece in req.pieces)

    async def _run_attempt(self, attempt: Attempt) -> None:
        tokens = self._uncached_tokens(attempt.req)
        call = self._calls.build(attempt.req, tokens / self._prefill_tps())
        if isinstance(call, Err):
            attempt.end(call.err_value)
            return
        await run_upstream(attempt, call.ok_value, self._sidecar.upstream)

    def _prefill_tps(self) -> float:
        return max(1.0, self.dispatcher.load().prefill_tps)


def _tls(cfg: TlsCfg) -> TlsFiles | None:
    if not cfg.cert_file:
        return None
    return TlsFiles(cfg.cert_file, cfg.key_file, cfg.ca_file)
