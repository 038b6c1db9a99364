"""Incarnations of a sidecar, an entry and control, built from the product's own parts.

Without listeners, the mesh and the health check of the upstream: instead, the fleet
distributes announcements and configurations, and upstreams break their connections.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from gooseberrydale.connection.channels import ChannelPool
from gooseberrydale.connection.codec import decode, encode
from gooseberrydale.connection.control_messages import Command, CommandReply
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import (
    DispatchReq,
    Refused,
)
from gooseberrydale.errors import CLAIM_UNAVAILABLE, Problem, problem
from gooseberrydale.process.cfg import (
    MAX_ANSWER_BYTES,
    MAX_HELD_BYTES,
    EntryCfg,
    FleetCfg,
    NodeCfg,
    SidecarCfg,
)
from gooseberrydale.process.metrics import Metrics
from gooseberrydale.process.quota_client import QuotaClient
from gooseberrydale.process.sidecar import upstream_run
from gooseberrydale.process.sidecar.attempt import Attempt
from gooseberrydale.process.sidecar.call_builder import CallBuilder
from gooseberrydale.process.sidecar.dispatcher import Dispatcher
from gooseberrydale.process.sidecar.service import SidecarService
from gooseberrydale.request.answer_memory import AnswerMemory
from gooseberrydale.request.background import Background
from gooseberrydale.request.baselines import make_policy
from gooseberrydale.request.claim_gate import OpenGate
from gooseberrydale.request.config_sync import ConfigSync
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.gate import MAX_DISPATCH_AGE_S
from gooseberrydale.request.job import AnswerSource, Job
from gooseberrydale.request.keyed import KeyedAnswer
from gooseberrydale.request.retry import RetryBudget
from gooseberrydale.request.runner import Runner
from gooseberrydale.request.startup_grace import StartupGrace
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.upstream_state import UpstreamState
from tests.builders_memory_net import Channel, Host, Net
from tests.builders_memory_upstream import (
    Upstream,
)

POOLS = {"up-0": "summary", "up-1": "summary", "up-2": "bidding", "up-3": "bidding"}
# Maximum age of a valid dispatch: that of the announcement it is based on, plus a lease
# and the time to the next announcement.
MAX_VALID_AGE_S = MAX_DISPATCH_AGE_S + 6.0 + 2.0
METRICS = Metrics("entry", "entry-1", "local")


class MemoryWatch:
    """Reports whether a simulated upstream is up."""

    state = UpstreamState()
    lists_requests = False

    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream

    async def alive(self) -> bool:
        return self._upstream.up

    async def lost(self, request_id: str, attempt: int) -> bool:
        return self._upstream.up


class CheckedDispatcher(Dispatcher):
    """Records dispatches that the sidecar accepted wrongly.

    Those are dispatches accepted while the sidecar leaves or shuts down, meant for
    another incarnation, or sent too long ago according to ``sent_at``.
    """

    def __init__(self, sent_at: dict[Any, float], *args: Any) -> None:
        super().__init__(*args)
        self.wrongly_accepted: list[DispatchReq] = []
        self._sent_at = sent_at
        self._draining = False

    def dispatch(self, req: DispatchReq) -> Attempt | Refused:
        leaving = self._name in self._store.config.leaving
        other_incarnation = req.incarnation != self._incarnation
        sent_at = self._sent_at[req.request_id, req.attempt, req.incarnation]
        stale = asyncio.get_running_loop().time() - sent_at > MAX_VALID_AGE_S
        reply = super().dispatch(req)
        wrong = leaving or self._draining or other_incarnation or stale
        if wrong and not isinstance(reply, Refused):
            self.wrongly_accepted.append(req)
        return reply

    async def drain(self, bound_s: float) -> None:
        self._draining = True
        await super().drain(bound_s)


class Sidecar:
    """One incarnation of a sidecar, built from the product's own parts."""

    def __init__(
        self, name: str, incarnation: int, upstream: Upstream, sent_at: dict[Any, float]
    ) -> None:
        self.name = name
        self.incarnation = f"{name}-incarnation-{incarnation:04}"
        self.alive = True
        self.closing = False
        self.seq = 0
        self.store = ConfigStore()
        self._upstream = upstream
        self._kind = "completion" if POOLS[name] == "summary" else "service"
        cfg = SidecarCfg(
            upstream=name,
            pool=POOLS[name],
            kind=self._kind,
            max_running=2,
            max_queued=3,
            replay_bytes=1_000,
        )

        calls = CallBuilder(cfg, self.store, MemoryWatch(upstream))

        async def run(attempt: Attempt) -> None:
            call = calls.build(attempt.req, 0.0).unwrap()
            await upstream_run.run_upstream(attempt, call, self.incarnation)

        self.dispatcher = CheckedDispatcher(
            sent_at, name, self.incarnation, cfg, self.store, run, lambda _req: 0
        )
        self.host = Host(self.incarnation)
        service = SidecarService(self.dispatcher, self.store, self.incarnation)
        service.register(self.host)  # type: ignore[arg-type]

    def record(self, now: float) -> UpstreamRecord:
        """Return the next announcement."""
        self.seq += 1
        self.dispatcher.gate.announced(self.seq, now)
        return UpstreamRecord(
            name=self.name,
            incarnation=self.incarnation,
            seq=self.seq,
            address=self.name,
            zone="local",
            region="local",
            pool=POOLS[self.name],
            kind=self._kind,
            model="m1",
            upstream_incarnation=str(self._upstream.incarnation),
            ready=self._upstream.up and not self.closing,
            leaving=self.closing or self.name in self.store.config.leaving,
            lease_s=6.0,
        )


class Control:
    """One control replica, always the leader; ``down`` makes it unreachable."""

    def __init__(self) -> None:
        self.down = False
        self._state = ControlState()

    def commit(self, req: Any) -> Any:
        """Apply one request to the state and return the reply."""
        now = asyncio.get_running_loop().time()
        command = encode(Command(now, (encode(req),)))
        reply = decode(self._state.apply(self._state.index + 1, command))
        assert isinstance(reply, CommandReply)
        return decode(reply.replies[0])


class ControlPath:
    """One entry's unreliable connection to control."""

    def __init__(self, net: Net, control: Control, entry: str) -> None:
        self._net = net
        self._control = control
        self._entry = entry

    async def ask(self, req: Any, timeout_s: float) -> Result[Any, Problem]:
        net = self._net
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    reply = await self._try(req, net)
                    if reply is not None:
                        return Ok(reply)
                    await asyncio.sleep(0.2)
        except TimeoutError:
            return Err(problem(CLAIM_UNAVAILABLE, retry_after_s=1.0))

    async def _try(self, req: Any, net: Net) -> Any:
        await asyncio.sleep(net.delay())
        if self._entry in net.dead or self._control.down:
            return None
        if net.chance(net.faults.repeat):
            late_s = net.rng.uniform(0.0, 10.0)
            asyncio.get_running_loop().call_later(late_s, self._control.commit, req)
        if net.chance(net.faults.loss):
            return None
        reply = self._control.commit(req)
        await asyncio.sleep(net.delay())
        return None if net.chance(net.faults.loss) else reply


class NoLink:
    """Replaces the link for quotas: there is no other entry."""

    def on(self, kind: Any, handler: Any) -> None: ...

    def send(self, message: object, peers: Any) -> None: ...


class Entry:
    """One incarnation of an entry."""

    def __init__(self, net: Net, name: str, incarnation: int, control: Control) -> None:
        self.incarnation_name = f"{name}-incarnation-{incarnation}"
        self.store = ConfigStore()
        self.directory = Directory()
        pool = ChannelPool(self._dial)  # type: ignore[arg-type]
        background = Background()
        self._net = net
        self._claims = ControlPath(net, control, self.incarnation_name)
        self.deps = Deps(
            cfg=EntryCfg(silence_s=1.5),
            node=NodeCfg(name),
            fleet=FleetCfg(Path("unused")),
            store=self.store,
            confirmed=ConfirmedRevision(),
            directory=self.directory,
            pool=pool,
            policy=make_policy("affinity", random.Random(net.rng.random())),
            # Small enough to run out in some runs.
            budget=RetryBudget(cap=3.0),
            background=background,
            config_sync=ConfigSync(self.store, pool, background),
            instruments=METRICS.instruments,
            startup_grace=StartupGrace(net.processes.loop.time()),
            ended_incarnations=EndedIncarnations(),
            quotas=QuotaClient(
                name,
                self.incarnation_name,
                NoLink(),
                lambda: Fleet(GatewayPeer(name, name, "")),
                dict,
                random.Random(1),
            ),
            answers=AnswerMemory(MAX_ANSWER_BYTES, MAX_HELD_BYTES),
        )

    def _dial(self, address: str) -> Channel:
        return Channel(self._net, self.incarnation_name, address)

    def answering(self, job: Job) -> AnswerSource:
        """Return the answer for ``job``, chosen as the entry does."""
        if job.idempotency_key:
            return KeyedAnswer(self.deps, job, self._claims)
        return Runner(self.deps, job, OpenGate())
