"""Builds a sidecar process from its components and connects them.

The components are the listener, the dispatcher, the watch on the upstream and its
cache, the executor of orders, and the mesh.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial

from result import Result

from gooseberrydale.connection.control_client import ControlClient
from gooseberrydale.connection.control_messages import FenceReply, ReadFenceReq
from gooseberrydale.connection.mesh import SIDECAR_ROLE, UpstreamRecord
from gooseberrydale.connection.rpc import ORDER, RpcServer
from gooseberrydale.connection.upstream_api import LoadReply, parse_backpressure
from gooseberrydale.connection.upstream_reply import Headers
from gooseberrydale.errors import Problem
from gooseberrydale.process.cfg import Cfg, SidecarCfg
from gooseberrydale.process.cfg_file import read_token
from gooseberrydale.process.instruments import Level
from gooseberrydale.process.membership import Mesh
from gooseberrydale.process.sidecar.attempt import Attempt
from gooseberrydale.process.sidecar.cache_follower import CacheFollower
from gooseberrydale.process.sidecar.dispatcher import Dispatcher, work_id
from gooseberrydale.process.sidecar.kv_transfer import KvTransfer
from gooseberrydale.process.sidecar.orders import OrderExecutor
from gooseberrydale.process.sidecar.service import SidecarService
from gooseberrydale.process.sidecar.upstream_runs import RunningAttempt, UpstreamRuns
from gooseberrydale.process.sidecar.upstream_watch import UpstreamWatch
from gooseberrydale.process.sidecar.worker import Worker
from gooseberrydale.process.tls import tls_files
from gooseberrydale.version.cache_view import CacheView
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.declarations import ProfileKind
from gooseberrydale.version.directory import Directory, new_incarnation
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import RunEnd
from gooseberrydale.version.upstream_state import UpstreamState

RPC_GRACE_S = 0.5


class Sidecar:
    """One sidecar process; ``start`` once, and ``close`` to drain and stop."""

    def __init__(self, cfg: Cfg, rng: random.Random | None = None) -> None:
        if cfg.sidecar is None:
            raise ValueError("the settings have no [sidecar] table; add one")
        self._cfg = cfg
        self._sidecar: SidecarCfg = cfg.sidecar
        rng = rng if rng is not None else random.Random()
        self.incarnation = new_incarnation(time.time_ns(), rng)
        self.store = ConfigStore()
        self.directory = Directory()
        self._view = CacheView()
        self._ended_incarnations = EndedIncarnations()
        self._runs = UpstreamRuns(
            cfg.node.name, self.incarnation, self._ended_incarnations, self._is_leaving
        )
        self._watch = UpstreamWatch(
            self._sidecar, self._on_state_changed, self._on_load, self._runs
        )
        self._follower = CacheFollower(self._sidecar.upstream, self._view)
        self._kv = KvTransfer(
            self._sidecar.upstream, self._sidecar.kv_store, self._prefill_tps
        )
        self._worker = Worker(
            self._sidecar,
            self.store,
            self._watch,
            self._view,
            self._kv,
            self._prefill_tps,
        )
        self.dispatcher = Dispatcher(
            cfg.node.name,
            self.incarnation,
            self._sidecar,
            self.store,
            self._run_attempt,
            self._worker.uncached_tokens,
            lambda: len(self._view),
        )
        token = read_token(cfg.fleet.token_file)
        self._rpc = RpcServer(self._sidecar.rpc, token, tls_files(cfg.fleet.tls))
        self._mesh = Mesh(
            cfg,
            SIDECAR_ROLE,
            self.directory,
            self.store,
            self._own_record,
            token,
            self.incarnation,
            rng=rng,
            ended_incarnations=self._ended_incarnations,
        )
        self._control = ControlClient(
            self._mesh.controls, token, tls_files(cfg.fleet.tls), rng
        )
        self._orders = OrderExecutor(
            cfg.node.name,
            self._sidecar.upstream,
            self._sidecar.checks_fencing,
            self._ask_control,
            self._watch.poll,
        )
        self._config_task: asyncio.Task[None] | None = None
        self._started = False
        self._closing = False

    @property
    def addresses(self) -> dict[str, str]:
        """The address of each listener, with its real port."""
        host = self._sidecar.rpc.rpartition(":")[0]
        return {"rpc": f"{host}:{self._rpc.port}"}

    @property
    def upstream_state(self) -> UpstreamState:
        """The state of the upstream at its last health check."""
        return self._watch.state

    def read_levels(self, level: Level) -> None:
        """Write the current values of the gauges into ``level``."""
        load = self.dispatcher.load()
        level.running = load.running
        level.queued = load.queued
        level.queue_wait = load.queue_s
        level.cached_blocks = load.cached_blocks
        level.view_complete = int(self._view.complete)
        level.cfg_revision = self.store.revision

    async def start(self) -> None:
        """Start serving; raises OSError if the listener can't be bound."""
        SidecarService(self.dispatcher, self.store, self.incarnation).register(
            self._rpc
        )
        self._rpc.unary(ORDER, self._orders.handle)
        self.directory.subscribe(self._on_announced)
        await self.dispatcher.start()
        await self._watch.start()
        if self._sidecar.kind == ProfileKind.COMPLETION:
            await self._follower.start()
            await self._kv.start()
        await self._rpc.start()
        self._started = True
        await self._mesh.start()
        self._config_task = asyncio.create_task(self._follow_config())

    async def close(self) -> None:
        """Refuse new work, let running work finish within the drain time, then stop."""
        if self._closing:
            return
        self._closing = True
        if self._started:
            self._mesh.announce()
            notice = asyncio.create_task(asyncio.sleep(self._sidecar.notice_s))
            await self.dispatcher.drain(self._sidecar.drain_s)
            await notice
        await self.dispatcher.close()
        if self._config_task is not None:
            self._config_task.cancel()
        await self._mesh.close()
        await self._rpc.close(RPC_GRACE_S)
        await self._orders.close()
        await self._control.close()
        await self._kv.close()
        await self._follower.close()
        await self._watch.close()

    # Callbacks of the mesh, the directory and the watch.

    def _own_record(self) -> UpstreamRecord | None:
        state = self._watch.state
        node = self._cfg.node
        return UpstreamRecord(
            name=node.name,
            incarnation=self.incarnation,
            seq=0,
            address=self._sidecar.advertise or self.addresses["rpc"],
            zone=node.zone,
            region=node.region,
            pool=self._sidecar.pool,
            kind=self._sidecar.kind,
            model=state.model or self._sidecar.model,
            weights_version=state.weights_version,
            upstream_incarnation=state.incarnation,
            ready=state.ready and not self._closing,
            leaving=self._is_leaving(),
            lease_s=self._sidecar.lease_s,
            software=state.software,
        )

    def _is_leaving(self) -> bool:
        """Whether the sidecar is stopping or its upstream has been marked leaving."""
        return self._closing or self._cfg.node.name in self.store.config.leaving

    def _on_announced(self, _changed: bool) -> None:
        """Give the gate the number of this sidecar's own record.

        The directory also receives the sidecar's own announcements.
        """
        now = asyncio.get_running_loop().time()
        record = self.directory.get(self._cfg.node.name, now)
        if record is not None and record.incarnation == self.incarnation:
            self.dispatcher.gate.announced(record.seq, now)

    async def _follow_config(self) -> None:
        leaving: frozenset[str] = frozenset()
        revision = 0
        while True:
            config = await self.store.wait_newer(revision)
            revision = config.revision
            for profile in config.profiles.values():
                self.dispatcher.gate.allow_deadline(profile.deadline_s)
            if config.leaving != leaving:
                leaving = config.leaving
                self._mesh.announce()
            if self._cfg.node.name in leaving:
                self.dispatcher.refuse_queued()

    def _on_state_changed(self, old: UpstreamState, new: UpstreamState) -> None:
        if self._view.begin(new.incarnation, new.weights_version):
            self._kv.reset()
            self.dispatcher.stop_running(self._ran_on_old_incarnation(old, new))
        self._mesh.announce()

    def _ran_on_old_incarnation(
        self, old: UpstreamState, new: UpstreamState
    ) -> Callable[[Attempt], bool]:
        """Return a predicate for attempts that were sent to the old incarnation.

        It is true for attempts that started before the old incarnation last answered a
        health check.  Later ones may have reached the new incarnation; if they did not,
        their connections break on their own.
        """
        replaced = bool(old.incarnation) and old.incarnation != new.incarnation
        return partial(
            _started_before, self._watch.last_answer_at if replaced else None
        )

    def _on_load(self, load: LoadReply) -> None:
        self.dispatcher.admission.observe_rate(load.prefill_tps)

    # Running attempts.

    async def _run_attempt(self, attempt: Attempt) -> None:
        await self._orders.idle()
        running = self._runs.record_start(attempt.req)
        attempt.on_head = self._on_head
        attempt.on_first_part = partial(self._on_first_part, attempt, running)
        end = RunEnd.LEFT
        try:
            await self._worker.run(attempt)
            end = RunEnd.BROKE if attempt.is_broken else RunEnd.ANSWERED
        finally:
            self._runs.record_end(running, end)
        if end is RunEnd.BROKE:
            # An upstream that has ended may have restarted before the next poll.
            self._watch.poll_soon()

    def _on_head(self, status: int, headers: Headers) -> None:
        self.dispatcher.apply_backpressure(parse_backpressure(status, headers))

    def _on_first_part(self, attempt: Attempt, running: RunningAttempt) -> None:
        running.run.answering = True
        now = asyncio.get_running_loop().time()
        self.dispatcher.admission.first_token(work_id(attempt.key), now)

    async def _ask_control(
        self, req: ReadFenceReq, timeout_s: float
    ) -> Result[FenceReply, Problem]:
        return await self._control.ask(req, timeout_s)

    def _prefill_tps(self) -> float:
        return max(1.0, self.dispatcher.load().prefill_tps)


def _started_before(limit: float | None, attempt: Attempt) -> bool:
    return limit is not None and attempt.started_at <= limit
