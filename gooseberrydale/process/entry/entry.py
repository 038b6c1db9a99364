"""Builds the components of an entry, starts them, and shuts them down in order."""

from __future__ import annotations

import asyncio
import random
import time

from loguru import logger
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from gooseberrydale.connection.channels import ChannelPool
from gooseberrydale.connection.control_client import ControlClient
from gooseberrydale.connection.mesh import ENTRY_ROLE
from gooseberrydale.connection.rpc import RpcChannel, RpcServer
from gooseberrydale.process.cfg import Cfg, EntryCfg
from gooseberrydale.process.cfg_file import read_token
from gooseberrydale.process.entry.app import make_app
from gooseberrydale.process.entry.call_handlers import CallHandlers
from gooseberrydale.process.entry.middleware import EntryMiddleware, Phase
from gooseberrydale.process.entry.quota_link import QuotaLink, entry_fleet
from gooseberrydale.process.http.client_account import ClientAccount
from gooseberrydale.process.http.server import HttpServer
from gooseberrydale.process.membership import Mesh
from gooseberrydale.process.metrics import Metrics
from gooseberrydale.process.quarantine_log import QuarantineLog
from gooseberrydale.process.quota_client import QuotaClient
from gooseberrydale.process.tls import tls_files
from gooseberrydale.request.answer_memory import AnswerMemory
from gooseberrydale.request.background import Background
from gooseberrydale.request.baselines import make_policy
from gooseberrydale.request.config_sync import ConfigSync
from gooseberrydale.request.deps import Deps
from gooseberrydale.request.retry import RetryBudget
from gooseberrydale.request.startup_grace import TICK_S, StartupGrace
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.directory import Directory, new_incarnation
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.quotas.quota import Quota

# How long the first two phases of a shutdown last: this fraction of the drain time,
# up to the maximum.
UNREADY_FRACTION = 0.1
MAX_UNREADY_S = 2.0
# Time for the final answers of calls that were handed over.
FINAL_ANSWERS_S = 2.0
DRAIN_POLL_S = 0.02
OK = 200
UNAVAILABLE = 503


class Entry:
    """One entry process; ``start`` once, and ``close`` to drain and stop."""

    def __init__(self, cfg: Cfg, rng: random.Random | None = None) -> None:
        if cfg.entry is None:
            raise ValueError("the settings have no [entry] table; add one")
        self._cfg: EntryCfg = cfg.entry
        self._node = cfg.node
        self._fleet = cfg.fleet
        self._token = read_token(cfg.fleet.token_file)
        self._tls = tls_files(cfg.fleet.tls)
        self.clients = ClientAccount(self._cfg.max_held_bytes)
        self.store = ConfigStore()
        self.directory = Directory()
        self.ended_incarnations = EndedIncarnations()
        self._quarantine_log = QuarantineLog(self.ended_incarnations)
        self._pool = ChannelPool(self._dial)
        self._rng = rng if rng is not None else random.SystemRandom()
        self._rpc = RpcServer(self._cfg.rpc, self._token, self._tls)
        incarnation = new_incarnation(time.time_ns(), self._rng)
        self.confirmed = ConfirmedRevision()
        self._mesh = Mesh(
            cfg,
            ENTRY_ROLE,
            self.directory,
            self.store,
            None,
            self._token,
            incarnation,
            rng=self._rng,
            ended_incarnations=self.ended_incarnations,
            confirmed=self.confirmed,
        )
        self._mesh.register(self._rpc)
        self._quotas_config = self.store.config
        self._current_quotas: dict[str, Quota] = {}
        self._background = Background()
        self._quota_link = QuotaLink(self._dial, self._background)
        self._quota_link.register(self._rpc)
        fleet = entry_fleet(self._cfg, cfg.fleet, cfg.node)
        self.quotas = QuotaClient(
            fleet.own.name,
            incarnation,
            self._quota_link,
            lambda: fleet,
            self._declared_quotas,
            self._rng,
            has_static_fleet=True,
        )
        self._housekeeping: asyncio.Task[None] | None = None
        self._has_metrics_listener = bool(cfg.metrics.http)
        self._metrics = Metrics(ENTRY_ROLE, cfg.node.name, cfg.node.zone)
        self._claims = ControlClient(
            self._mesh.controls, self._token, self._tls, self._rng
        )
        self._calls: CallHandlers | None = None
        self._middleware: EntryMiddleware | None = None
        self._http: HttpServer | None = None

    @property
    def addresses(self) -> dict[str, str]:
        """The address of each listener, with its real port: ``http`` and ``rpc``."""
        host = self._cfg.rpc.rpartition(":")[0]
        http = self._http.address if self._http is not None else self._cfg.http
        return {"http": http, "rpc": f"{host}:{self._rpc.port}"}

    @property
    def metrics(self) -> Metrics:
        """The metrics of this entry."""
        return self._metrics

    @property
    def phase(self) -> Phase:
        """The phase of the shutdown."""
        return Phase.SERVING if self._middleware is None else self._middleware.phase

    async def start(self) -> None:
        """Start serving; raises OSError if an address can't be bound."""
        now = asyncio.get_running_loop().time()
        startup_grace = StartupGrace(now)
        deps = Deps(
            cfg=self._cfg,
            node=self._node,
            fleet=self._fleet,
            store=self.store,
            confirmed=self.confirmed,
            directory=self.directory,
            pool=self._pool,
            policy=make_policy(self._cfg.policy, self._rng),
            budget=RetryBudget(self._cfg.retry_ratio),
            background=self._background,
            config_sync=ConfigSync(self.store, self._pool, self._background),
            instruments=self._metrics.instruments,
            startup_grace=startup_grace,
            ended_incarnations=self.ended_incarnations,
            quotas=self.quotas,
            answers=AnswerMemory(self._cfg.max_answer_bytes, self._cfg.max_held_bytes),
        )
        self._calls = CallHandlers(deps, self._claims)
        routes = [Route("/livez", _livez), Route("/readyz", self._readyz)]
        if not self._has_metrics_listener:
            routes.append(self._metrics.route())
        app = make_app(self._calls, self._metrics.instruments, routes)
        self._middleware = EntryMiddleware(app, self._metrics.instruments, self._rng)
        self._http = HttpServer(
            self._middleware,
            self._cfg.http,
            self._cfg.tls,
            clients=self.clients,
            max_handshakes=self._cfg.max_handshakes,
        )
        self._quarantine_log.start()
        await self._rpc.start()
        await self._mesh.start()
        await self.quotas.start()
        self._housekeeping = asyncio.create_task(self._run_housekeeping(startup_grace))
        await self._http.start()
        logger.info("entry listens on {}", self.addresses)

    async def close(self) -> None:
        """Shut down gracefully.

        First the readiness check fails, then new requests are refused, then the
        listener closes.  Calls that are still open at the end of the drain time are
        ended, so that their callers can continue at another entry.  A second call
        returns immediately.
        """
        if self._http is None or self._middleware is None or self._calls is None:
            return
        if self._middleware.phase is not Phase.SERVING:
            return
        now = asyncio.get_running_loop().time()
        deadline = now + self._cfg.drain_s
        pause_s = min(MAX_UNREADY_S, self._cfg.drain_s * UNREADY_FRACTION)
        self._middleware.phase = Phase.UNREADY
        await asyncio.sleep(pause_s)
        self._middleware.phase = Phase.REFUSING
        await asyncio.sleep(pause_s)
        listener = asyncio.create_task(self._http.close(self._cfg.drain_s))
        await self._wait_until_drained(deadline)
        self._calls.hand_over()
        await self._wait_until_drained(deadline + FINAL_ANSWERS_S)
        await asyncio.wait({listener})
        await self._background.close(FINAL_ANSWERS_S)
        if self._housekeeping is not None:
            self._housekeeping.cancel()
        await self.quotas.close()
        await self._quota_link.close()
        await self._mesh.close()
        self._quarantine_log.close()
        await self._claims.close()
        await self._pool.close()
        self._metrics.close()
        await self._rpc.close()
        logger.info("entry closed")

    def _declared_quotas(self) -> dict[str, Quota]:
        """The current quotas; computed once per revision of the configuration."""
        if self._quotas_config is not self.store.config:
            self._quotas_config = self.store.config
            self._current_quotas = self._quotas_config.quotas
        return self._current_quotas

    async def _wait_until_drained(self, deadline: float) -> None:
        assert self._middleware is not None
        loop = asyncio.get_running_loop()
        while self._middleware.open_requests and loop.time() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)

    async def _run_housekeeping(self, startup_grace: StartupGrace) -> None:
        """Close channels to sidecars whose lease has expired; update the gauges."""
        loop = asyncio.get_running_loop()
        level = self._metrics.instruments.level
        while True:
            startup_grace.tick(loop.time())
            records = self.directory.records(loop.time())
            self._pool.retain(records)
            level.upstreams_known = len(records)
            level.requests_quarantined = len(self.ended_incarnations.quarantined())
            level.parts_quarantined = len(self.ended_incarnations.harmful_parts)
            level.cfg_revision = self.store.revision
            level.sessions = len(self._mesh.peers())
            level.running = self._middleware.open_requests if self._middleware else 0
            await asyncio.sleep(TICK_S)

    def _dial(self, address: str) -> RpcChannel:
        return RpcChannel(address, self._token, self._tls)

    async def _readyz(self, _req: Request) -> Response:
        reason = self._unready_reason()
        if reason:
            return JSONResponse({"ready": False, "reason": reason}, UNAVAILABLE)
        return JSONResponse({"ready": True})

    def _unready_reason(self) -> str:
        if self.phase is not Phase.SERVING:
            return "shutting down"
        if self.store.revision == 0:
            return "no configuration yet"
        if not self.directory.records(asyncio.get_running_loop().time()):
            return "no upstream has announced itself yet"
        return ""


async def _livez(_req: Request) -> Response:
    return JSONResponse({"live": True})
