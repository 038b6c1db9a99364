"""Builds the components of a gateway, and starts and stops them in order."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from starlette.types import Receive, Scope, Send

from gooseberrydale.connection.area_gossip import AreaGossip
from gooseberrydale.connection.gateway_datagrams import GatewayDatagrams
from gooseberrydale.connection.http_pool import HttpPool
from gooseberrydale.connection.limit_gossip import LimitGossip
from gooseberrydale.connection.mesh import GATEWAY_ROLE, UpstreamRecord
from gooseberrydale.connection.work_gossip import WorkGossip
from gooseberrydale.log_events import Drained, Draining, emit
from gooseberrydale.process import logs
from gooseberrydale.process.cfg import Cfg, GatewayCfg, NodeCfg, TlsCfg
from gooseberrydale.process.cfg_file import read_token
from gooseberrydale.process.control_members_file import ControlMembersFile
from gooseberrydale.process.gateway.app import GatewayApp, GatewayDeps
from gooseberrydale.process.gateway.capacity_log import CapacityLog
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.process.gateway.control_finder import ControlFinder
from gooseberrydale.process.gateway.declared_store import DeclaredStore, DecodeDocument
from gooseberrydale.process.gateway.front_protocol import front_protocol
from gooseberrydale.process.gateway.gateway_levels import GatewayLevels
from gooseberrydale.process.gateway.origin_client import OriginClient
from gooseberrydale.process.gateway.origin_file import OriginFile
from gooseberrydale.process.gateway.own_capacity import OwnCapacity
from gooseberrydale.process.gateway.placer import ObservedStats, SharedCapacity
from gooseberrydale.process.gateway.pool_rooms import PoolRooms
from gooseberrydale.process.gateway.prober import Prober
from gooseberrydale.process.gateway.request_metrics import (
    DisabledMetrics,
    RecordedMetrics,
)
from gooseberrydale.process.gateway.request_queue import RequestQueue
from gooseberrydale.process.gateway.reservation_client import ReservationClient
from gooseberrydale.process.gateway.resumption import Resumption
from gooseberrydale.process.gateway.retry_budgets import RetryBudgets
from gooseberrydale.process.gateway.send import SendDeps
from gooseberrydale.process.gateway.slow_readers import SlowReaders
from gooseberrydale.process.gateway.store_follower import (
    Peers,
    StoreFeed,
    StoreFollower,
)
from gooseberrydale.process.gateway.terms import TermsMaker
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.process.http.client_account import ClientAccount
from gooseberrydale.process.http.connection_gate import BYTES_PER_MB, ConnectionGate
from gooseberrydale.process.http.server import HttpServer
from gooseberrydale.process.membership import Mesh
from gooseberrydale.process.quarantine_log import QuarantineLog
from gooseberrydale.process.quota_client import QuotaClient
from gooseberrydale.request.connection_share import connection_share
from gooseberrydale.request.draining import Drain
from gooseberrydale.request.gateway_call import HeaderCodec
from gooseberrydale.request.retry_plan.drain import FleetDrain
from gooseberrydale.request.retry_plan.planner import RetryPlans
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.declared import CallerLimits, Pool
from gooseberrydale.version.directory import (
    RENEWAL_PROPAGATION_FRACTION,
    Directory,
    new_incarnation,
)
from gooseberrydale.version.ended_incarnations import (
    QUARANTINE_AFTER,
    EndedIncarnations,
)
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer, SharingGateways
from gooseberrydale.version.mean_work import MeanWork
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.origins.owners import OriginKeeping
from gooseberrydale.version.part_trials import PartTrials
from gooseberrydale.version.peer_loads import PeerLoads
from gooseberrydale.version.quotas.quota import Quota
from gooseberrydale.version.run_times import RunTimes
from gooseberrydale.version.speeds.reports import SpeedReports
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from gooseberrydale.version.store_followers import StoreTidings
from gooseberrydale.version.stores import Stores
from gooseberrydale.version.upstream_limits import UpstreamLimits
from gooseberrydale.version.wait_limits import WaitLimits

if TYPE_CHECKING:
    from gooseberrydale.process.instruments import Level
    from gooseberrydale.process.metrics import Metrics

SWEEP_S = 0.5
UNREADY_PERIOD_S = 2.1
"""How long a stopping gateway reports that it is not ready before it closes its
listener.  A balancer that checks once a second sees two failures within this time and
sends no more connections."""

CUT_MARGIN_S = 0.15
"""Open answers are cut off this long before the process is killed, as closing the other
components takes about a tenth of a second."""

LAST_REPORT_S = 0.02
"""Time in which the last report leaves before the socket is closed.  It is sent a
second time, as the retries that it states would all count as spent if it were lost."""

HELD_FRACTION = 0.2
"""Fraction of the memory that callers may make the process hold: it needs half for
itself, and what each connection takes and what waits unread come on top."""

READY_CLOSE_TIMEOUT_S = 0.1
RECORD_LEASE_S = 12.0
"""How long the other gateways count one that has died.  Its share of retries and
connections stays unused for that time; no request waits for it."""

GATEWAY_POOL = "#gateways"
"""No declared pool can have this name, because ``#`` is not valid in names of pools."""


def _metrics(cfg: Cfg) -> Metrics | None:
    """Return the metrics; None if the settings ask for no listener."""
    if not cfg.metrics.http:
        return None
    # Imported here: without a listener, the metrics libraries would waste memory.
    from gooseberrydale.process.metrics import Metrics

    return Metrics(GATEWAY_ROLE, cfg.node.name, cfg.node.zone)


@dataclass(frozen=True, slots=True)
class Dialect:
    """The formats of a deployment: its headers, documents and store calls."""

    wire: HeaderCodec
    decode_document: DecodeDocument
    store_feed: StoreFeed


def gateway_name(node: NodeCfg) -> str:
    """Return the name under which a gateway announces itself."""
    return f"{GATEWAY_ROLE}/{node.name}"


def _max_held_bytes(cfg: GatewayCfg) -> int:
    if not cfg.memory_mb:
        return cfg.max_held_bytes
    memory_bytes = cfg.memory_mb * BYTES_PER_MB
    return min(cfg.max_held_bytes, int(memory_bytes * HELD_FRACTION))


def _origin_keeping(cfg: GatewayCfg) -> OriginKeeping:
    return OriginKeeping.MEMORY if cfg.data_dir is None else OriginKeeping.DISK


def gateway_record(
    node: NodeCfg,
    address: str,
    incarnation: str,
    link_mbps: float = 0.0,
    origins: OriginKeeping = OriginKeeping.MEMORY,
) -> UpstreamRecord:
    """Return the record by which a gateway announces itself to the others."""
    return UpstreamRecord(
        name=gateway_name(node),
        incarnation=incarnation,
        seq=0,
        address=address,
        zone=node.zone,
        region=node.region,
        pool=GATEWAY_POOL,
        kind=GATEWAY_ROLE,
        lease_s=RECORD_LEASE_S,
        link_mbps=link_mbps,
        origins=origins,
    )


class Gateway:
    """Runs one gateway; call ``start`` once and ``close`` once."""

    def __init__(
        self, cfg: Cfg, dialect: Dialect, rng: random.Random | None = None
    ) -> None:
        if cfg.gateway is None:
            raise ValueError("the settings have no [gateway] table; add one")
        self._cfg: GatewayCfg = cfg.gateway
        self.metrics = _metrics(cfg)
        self._rng = rng if rng is not None else random.SystemRandom()
        self.store = ConfigStore()
        self.directory = Directory(
            propagation_fraction=RENEWAL_PROPAGATION_FRACTION, relays_renewals=False
        )
        self.confirmed = ConfirmedRevision()
        self._declared = DeclaredStore(
            self.store,
            dialect.decode_document,
            self.confirmed,
            cfg.gateway.config_bound_s,
        )
        self._named_weights = NamedWeights()
        self._conns = HttpPool()
        self._stores = Stores()
        self._peers = PeerLoads()
        # Control relays these reports between gateways, so gateways need not.
        self.ended_incarnations = EndedIncarnations(relays=False)
        speeds = UpstreamSpeeds(all_pools=self._cfg.share_capacity)
        self._upstreams = Upstreams(
            self.directory,
            cfg.node.zone,
            self._rng,
            self._peers,
            self._named_weights,
            self._cfg.weights_bound_s,
            self._stores,
            self.ended_incarnations,
            UpstreamLimits(self._known_fleet, self._cfg.gateways),
            PartTrials(self._known_fleet, QUARANTINE_AFTER),
            CapacitySharing(self._cfg, speeds),
            speeds,
        )
        incarnation = new_incarnation(time.time_ns(), self._rng)
        self._mesh = self._make_mesh(cfg, incarnation)
        self._own_name = gateway_name(cfg.node)
        own = self._cfg
        self._fleet = Fleet(
            GatewayPeer(
                self._own_name,
                own.gossip,
                cfg.node.zone,
                own.link_mbps,
                _origin_keeping(own),
            )
        )
        self._fleet_source: tuple[UpstreamRecord, ...] = ()
        self._datagrams = GatewayDatagrams(own.gossip, self._known_fleet)
        self._sharing = SharingGateways(own.gateways)
        self._budgets = RetryBudgets(own, self._count_gateways, incarnation)
        self._gate = ConnectionGate(own.max_fds, own.memory_mb, own.link_mbps)
        self.clients = ClientAccount(_max_held_bytes(own), own.max_fds)
        self._readers = SlowReaders()
        capacity = OwnCapacity(
            self._gate,
            self._readers,
            self._upstreams.sharing,
            self._known_fleet,
            own.link_mbps,
        )
        self._gate.observer = capacity
        self._queue = RequestQueue(
            lambda: len(self._known_fleet().near), lambda: self._gossip.changed()
        )
        drain = FleetDrain()
        self._retry_plan = RetryPlans(self._queue.backlog, drain, self._rng)
        speed_reports = [SpeedReports(speeds, self._known_fleet)]
        self._extras = (
            self._budgets.ledger,
            *self._queue.extras,
            drain,
            capacity,
            *(speed_reports if own.learn_speeds else ()),
        )
        merged = self._queue.capacity_changed
        self._gossip = WorkGossip(
            self._datagrams,
            self._own_name,
            incarnation,
            self._peers,
            self._upstreams,
            self._known_fleet,
            self._extras,
            merged,
        )
        self._areas = AreaGossip(
            self._datagrams,
            incarnation,
            self._peers,
            self._upstreams,
            self._known_fleet,
            self._extras,
            merged,
        )
        self._limit_gossip = LimitGossip(self._datagrams, self._upstreams.limits)
        self._control_finder = self._make_control_finder(cfg)
        self._control_file = (
            None
            if own.data_dir is None
            else ControlMembersFile(own.data_dir / "controls", self._mesh.controls)
        )
        self.quotas = QuotaClient(
            self._own_name,
            incarnation,
            self._datagrams,
            self._known_fleet,
            self._declared_quotas,
            self._rng,
        )
        peers = Peers(
            self._own_name, self._gateway_links, self._datagrams.broadcast, self._rng
        )
        self._store = StoreFollower(
            self._declared, dialect.store_feed, self._stores, peers
        )
        self._datagrams.on(StoreTidings, self._store.receive)
        self._origins = OriginClient(
            self._own_name,
            own.gossip,
            self._datagrams,
            self._known_fleet,
            None if own.data_dir is None else OriginFile(own.data_dir),
        )
        self.reservations = ReservationClient(
            self._own_name,
            self._datagrams,
            self._known_fleet,
            PoolRooms(self._upstreams, self._declared_pools, self._known_fleet),
            self._count_gateways,
        )
        if self.metrics is not None:
            self.metrics.capacity_levels = GatewayLevels(
                self._upstreams, self._queue, self.reservations
            )
        sends = SendDeps(
            dialect.wire,
            self._upstreams,
            self._conns,
            ObservedStats(
                RunTimes(),
                MeanWork(),
                WaitLimits(),
                SharedCapacity(self._queue, self.reservations, self._retry_plan),
            ),
            self._origins,
            self._work_changed,
            self._connections,
        )
        deps = GatewayDeps(
            declared=self._declared,
            sends=sends,
            terms=TermsMaker(self._upstreams),
            resumption=Resumption(self._origins, self._upstreams, self._declared),
            budgets=self._budgets,
            quotas=self.quotas,
            capacity=capacity,
            metrics=(
                DisabledMetrics()
                if self.metrics is None
                else RecordedMetrics(self.metrics)
            ),
            control_connected=lambda: self._mesh.control_connected,
            rng=self._rng,
        )
        self._app = GatewayApp(deps)
        protocol = front_protocol(
            self._limits,
            lambda: self._declared.is_current,
            self._gate,
            self._readers,
        )
        self._front = HttpServer(
            self._app, self._cfg.http, TlsCfg(), protocol, self.clients
        )
        self._ready = HttpServer(
            self._serve_readiness, self._cfg.ready, TlsCfg(), clients=self.clients
        )
        self._prober = Prober(self._upstreams, self._gossip.changed)
        self._quarantine_log = QuarantineLog(self.ended_incarnations)
        self._capacity_log = CapacityLog(
            self._upstreams.sharing, speeds, self._queue.shares, self._declared_pools
        )
        self._sweep_task: asyncio.Task[None] | None = None

    @property
    def addresses(self) -> Mapping[str, str]:
        """Addresses of the listeners by name, available once started."""
        return {"http": self._front.address, "ready": self._ready.address}

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send connections to this gateway."""
        return self._declared.table is not None and self._app.drain is None

    async def start(self) -> None:
        """Start serving; raise OSError if an address can't be bound."""
        self._budgets.start(asyncio.get_running_loop().time())
        self._quarantine_log.start()
        await self._datagrams.start()
        self.reservations.start(asyncio.get_running_loop().time())
        await self._gossip.start()
        await self._areas.start()
        await self._limit_gossip.start()
        await self.quotas.start()
        await self._origins.start()
        await self._declared.start()
        await self._store.start()
        if self._control_file is not None:
            await self._control_file.start()
        await self._mesh.start()
        if self._control_finder is not None:
            await self._control_finder.start()
        await self._prober.start()
        self._sweep_task = asyncio.create_task(self._sweep())
        await self._ready.start()
        await self._gate.start()
        await self._readers.start()
        await self._front.start()

    async def close(self) -> None:
        """Report not ready, wait for the balancer to notice, then end open requests."""
        if self._app.drain is not None:
            return
        loop = asyncio.get_running_loop()
        unready_period_s = min(UNREADY_PERIOD_S, self._cfg.grace_s / 3)
        now = loop.time()
        drain = Drain(now + unready_period_s, now + self._cfg.grace_s - CUT_MARGIN_S)
        self._app.drain = drain
        emit(Draining(self._app.open_requests))
        self._budgets.drain()
        self._gossip.changed()
        await asyncio.sleep(unready_period_s)
        await self._front.close(
            max(READY_CLOSE_TIMEOUT_S, drain.abort_at - loop.time())
        )
        emit(Drained(self._app.open_requests))
        self._budgets.close()
        self._gossip.changed()
        await self._gate.close()
        await self._readers.close()
        await self._ready.close(READY_CLOSE_TIMEOUT_S)
        if self._sweep_task is not None:
            self._sweep_task.cancel()
        await self._prober.close()
        self._quarantine_log.close()
        await self._origins.close()
        await self.quotas.close()
        await self._limit_gossip.close()
        await self._areas.close()
        self._gossip.changed()
        await asyncio.sleep(LAST_REPORT_S)
        await self._gossip.close()
        self._queue.close()
        self._datagrams.close()
        await self._store.close()
        await self._declared.close()
        if self._control_finder is not None:
            await self._control_finder.close()
        await self._mesh.close()
        if self._control_file is not None:
            await self._control_file.close()
        self._conns.close()

    def read_levels(self, level: Level) -> None:
        """Fill in the current values for a scrape of the metrics."""
        now = asyncio.get_running_loop().time()
        table = self._declared.table
        level.documents = 0 if table is None else table.declared.number
        level.config_confirmed = self._declared.confirmed_age_s
        level.running = self._app.open_requests
        level.gateways = len(self._gateway_links())
        level.upstreams_known = self._upstreams.count(now)
        level.limited = len(self._upstreams.limits)
        level.suspected = self._upstreams.suspected(now)
        level.requests_quarantined = len(self.ended_incarnations.quarantined())
        level.parts_quarantined = len(self.ended_incarnations.harmful_parts)
        level.origins = len(self._origins)
        views = map(self._stores.view, self._stores.addresses)
        level.stores_up = sum(view is not None and view.up for view in views)
        level.log_lines_dropped = logs.count_dropped_lines()

    def _make_mesh(self, cfg: Cfg, incarnation: str) -> Mesh:
        def own_record() -> UpstreamRecord:
            own = self._cfg
            return gateway_record(
                cfg.node,
                own.gossip,
                incarnation,
                own.link_mbps,
                _origin_keeping(own),
            )

        return Mesh(
            cfg,
            GATEWAY_ROLE,
            self.directory,
            self.store,
            own_record,
            read_token(cfg.fleet.token_file),
            incarnation,
            rng=self._rng,
            ended_incarnations=self.ended_incarnations,
            named_weights=self._named_weights,
            confirmed=self.confirmed,
        )

    def _make_control_finder(self, cfg: Cfg) -> ControlFinder | None:
        """Return what finds control through other gateways.

        Datagrams are not authenticated, so that members of control are taken from them
        only where the network is trusted.
        """
        if not cfg.fleet.trust_network:
            return None
        return ControlFinder(
            self._cfg.gossip,
            self._datagrams,
            self._known_fleet,
            self._mesh.controls,
            lambda: self._mesh.control_connected,
            self._mesh.offer_controls,
            self._rng,
        )

    def _count_gateways(self) -> int:
        """Count the gateways that share limits; at least the number in the settings."""
        now = asyncio.get_running_loop().time()
        announced = len(self.directory.ready(GATEWAY_POOL, now))
        return self._sharing.count(announced, now)

    def _connections(self, pool: Pool) -> int | None:
        """How many connections this gateway may open to one upstream of ``pool``."""
        return connection_share(pool.max_connections, self._count_gateways())

    def _gateway_links(self) -> dict[str, float]:
        """Link rates in Mbit/s of all announced gateways and this one, by name."""
        now = asyncio.get_running_loop().time()
        gateways = self.directory.ready(GATEWAY_POOL, now)
        links = {record.name: record.link_mbps for record in gateways}
        return {**links, self._own_name: self._cfg.link_mbps}

    def _known_fleet(self) -> Fleet:
        """Return all announced gateways, as the recipients of gossip."""
        now = asyncio.get_running_loop().time()
        gateways = self.directory.ready(GATEWAY_POOL, now)
        if gateways is not self._fleet_source:
            self._fleet_source = gateways
            peers = tuple(
                GatewayPeer(
                    record.name,
                    record.address,
                    record.zone,
                    record.link_mbps,
                    record.origins,
                )
                for record in gateways
                if record.address != self._cfg.gossip
            )
            self._fleet = Fleet(self._fleet.own, peers)
        return self._fleet

    def _work_changed(self) -> None:
        """Report a change of this gateway's work, and use what it may have freed."""
        self._gossip.changed()
        self._queue.capacity_changed()

    def _declared_pools(self) -> Mapping[str, Pool]:
        table = self._declared.table
        return {} if table is None else table.declared.pools

    def _declared_quotas(self) -> Mapping[str, Quota]:
        table = self._declared.table
        return {} if table is None else table.quotas

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            now = loop.time()
            self._conns.sweep(self._upstreams.sweep(now))
            self._capacity_log.check(now)

    def _limits(self) -> CallerLimits:
        table = self._declared.table
        return CallerLimits() if table is None else table.declared.limits

    async def _serve_readiness(
        self, scope: Scope, _receive: Receive, send: Send
    ) -> None:
        """Answer readiness checks on any path, as only balancers connect here."""
        if scope["type"] != "http":
            return
        status = 200 if self.is_ready else 503
        headers = [(b"content-length", b"0")]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b""})
