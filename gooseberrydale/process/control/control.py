"""One process of the control role, from ``start`` to ``close``.

It owns the gRPC listener for other processes of the system, the HTTP listener for
operators, and the tasks that connect them. Committed data is held by the state machine
behind the proposer.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from starlette.types import ASGIApp

from gooseberrydale.connection.control_client import ControlClient
from gooseberrydale.connection.control_messages import Limits
from gooseberrydale.connection.engine_orders import EngineOrders
from gooseberrydale.connection.mesh import CONTROL_ROLE
from gooseberrydale.connection.rpc import RpcServer, TlsFiles
from gooseberrydale.errors import InvariantError
from gooseberrydale.process.cfg import Cfg, ControlCfg
from gooseberrydale.process.cfg_file import read_token
from gooseberrydale.process.control.announcements import Announcements
from gooseberrydale.process.control.departures import Departures
from gooseberrydale.process.control.documents import Documents
from gooseberrydale.process.control.ended_incarnations_cache import (
    EndedIncarnationsCache,
)
from gooseberrydale.process.control.first_start import init_shared_log
from gooseberrydale.process.control.folder_lock import FolderLock
from gooseberrydale.process.control.group_commit import GroupCommit
from gooseberrydale.process.control.leader_requests import LeaderRequests
from gooseberrydale.process.control.machine import PublishingMachine
from gooseberrydale.process.control.members_reader import MembersService
from gooseberrydale.process.control.named_weights_cache import NamedWeightsCache
from gooseberrydale.process.control.operator_api import OperatorApi
from gooseberrydale.process.control.operator_auth import OperatorTokens, load_operators
from gooseberrydale.process.control.operator_views import to_builtins
from gooseberrydale.process.control.order_sender import OrderSender
from gooseberrydale.process.control.propose_service import ProposeService
from gooseberrydale.process.control.proposer import (
    InMemoryProposer,
    Proposer,
    ReplicatedProposer,
)
from gooseberrydale.process.control.replica import Replica
from gooseberrydale.process.control.signpost import Signpost
from gooseberrydale.process.control.software_versions import SoftwareVersions
from gooseberrydale.process.control.upkeep import Upkeep
from gooseberrydale.process.control.upstream_cache import UpstreamCache
from gooseberrydale.process.control.weights_rollout import WeightsRollout
from gooseberrydale.process.http.client_account import ClientAccount
from gooseberrydale.process.http.server import HttpServer
from gooseberrydale.process.membership import Mesh, PeerState, known_controls
from gooseberrydale.process.role import Role
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.process.tls import tls_files
from gooseberrydale.version.acknowledgements import Acknowledgements, RevisionStatus
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.control_state import ControlState
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.directory import (
    RENEWAL_PROPAGATION_FRACTION,
    Directory,
    new_incarnation,
)
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.replication.core import RaftCfg

if TYPE_CHECKING:
    from gooseberrydale.process.control.control_metrics import ControlMetrics
    from gooseberrydale.process.metrics import Metrics

HTTP_GRACE_S = 5.0
RPC_GRACE_S = 1.0
# Timings of the Raft log of an open group, in seconds. Its replicas are milliseconds
# apart and upstreams wait for a leader, so they are shorter than the defaults, which
# suit replicas in different regions. A leader that is stalled for half a second loses
# the leadership.
OPEN_HEARTBEAT_S = 0.12
OPEN_ELECTION_MIN_S = 0.5
OPEN_ELECTION_MAX_S = 0.9
OPEN_LEASE_S = 0.4
IN_MEMORY_STATUS = {"replicated": False}


@dataclass(frozen=True, slots=True)
class DeploymentInterface:
    """Replaces the operators' interface and the transport of orders for one deployment.

    ``make_app`` builds the HTTP application for operators and for upstreams that
    announce themselves; ``engines`` sends orders to upstreams that have no sidecar.
    """

    make_app: Callable[[Documents, Announcements], ASGIApp]
    engines: EngineOrders


class Control:
    """One control process; ``start`` it once and ``close`` it once.

    With ``in_memory`` the state is held in this process alone. ``declarations`` is then
    the initial configuration, and ``operators`` maps operators to the digests of their
    tokens, replacing the file that the settings name. ``interface`` replaces the
    operators' interface and the orders that are sent through sidecars.
    """

    def __init__(
        self,
        cfg: Cfg,
        *,
        in_memory: bool = False,
        declarations: Config | None = None,
        operators: Mapping[str, str] | None = None,
        interface: DeploymentInterface | None = None,
    ) -> None:
        if cfg.control is None:
            raise InvariantError(
                "the control role needs settings; add a [control] table"
            )
        if declarations is not None and not in_memory:
            raise InvariantError(
                "declarations need in_memory=True; a replicated control has its own"
            )
        own = cfg.control
        self._data_dir = own.data_dir
        self._own_rpc = own.rpc
        self._seeds = cfg.fleet.control_rpc
        self._controls = known_controls(cfg)
        # Only seeds create the cluster; all other replicas join it.
        self._bootstrap = own.bootstrap and own.rpc in self._seeds
        self._folder_lock: FolderLock | None = None
        token = read_token(cfg.fleet.token_file)
        tls = tls_files(cfg.fleet.tls)
        self.store = ConfigStore()
        self.state = ControlState(declarations)
        # In an open group upstreams announce themselves, and their leases are long
        # enough to propagate only some of the renewals.
        propagation_fraction = RENEWAL_PROPAGATION_FRACTION if own.open_group else 0.0
        self.directory = Directory(propagation_fraction=propagation_fraction)
        self.ended_incarnations = EndedIncarnations()
        self._named_weights = NamedWeights()
        self._ended_cache: EndedIncarnationsCache | None = None
        if not in_memory:
            path = own.data_dir / "ended"
            self._ended_cache = EndedIncarnationsCache(path, self.ended_incarnations)
        self._tasks: list[asyncio.Task[None]] = []
        self._machine = PublishingMachine(self.state, self.store)
        self._rpc = RpcServer(own.rpc, token, tls)
        self._rpc_host = own.rpc.rpartition(":")[0]
        self._replica = None if in_memory else self._make_replica(cfg, own, token, tls)
        self._proposer = self._make_proposer()
        self._acknowledgements = Acknowledgements()
        self._mesh = self._make_mesh(cfg, token)
        # With a deployment interface, metrics are collected only if the settings ask
        # for a metrics listener.
        has_metrics = interface is None or bool(cfg.metrics.http)
        self._metrics = self._make_metrics(cfg) if has_metrics else None
        on_answer = None if self._metrics is None else self._metrics.record_outcome
        self._commit = GroupCommit(self._proposer, on_answer=on_answer)
        limits = limits_of(own)
        self._upkeep = Upkeep(self.state, self._proposer, self._commit, limits)
        self._orders = OrderSender(
            self._machine, self._proposer, self._commit, self.directory, token, tls
        )
        ProposeService(self._commit, self._proposer).register(self._rpc)
        self._members_service = MembersService(self._controls)
        self._members_service.register(self._rpc)
        self._mesh.register(self._rpc)
        self._api = OperatorApi(
            self.state,
            self._commit,
            OperatorTokens(_operators(own, operators)),
            self._acknowledgements,
            self._upstream_records,
            self._replica_status,
            self.ended_incarnations,
            own.max_body_bytes,
            own.max_body_values,
        )
        client = ControlClient(self._controls, token, tls)
        self._requests = LeaderRequests(self._commit, self._proposer, client)
        self._documents = Documents(self._requests)
        self._departures = Departures(self._machine, self.directory, self._requests)
        self._software = SoftwareVersions(
            self._machine, self.directory, self._requests, self._proposer
        )
        self._rollout: WeightsRollout | None = None
        self._announcements: Announcements | None = None
        self._upstream_cache: UpstreamCache | None = None
        self._weights_cache: NamedWeightsCache | None = None
        app: ASGIApp = self._api.app
        if interface is not None:
            announcements = self._announcements = Announcements(
                self.directory,
                own.beat_s,
                interface.engines,
                self._departures,
                self._software,
            )
            app = interface.make_app(self._documents, announcements)
            self._rollout = self._make_rollout(cfg, own, announcements, interface)
            path = own.data_dir / "upstreams"
            self._upstream_cache = UpstreamCache(path, self.directory)
            self._weights_cache = NamedWeightsCache(
                own.data_dir / "weights",
                self._named_weights,
                own.weights_bound_s,
                self._mesh.merge_weights,
            )
        self.clients = ClientAccount(own.max_held_bytes)
        self._http = HttpServer(
            app,
            own.http,
            own.tls,
            clients=self.clients,
            max_handshakes=own.max_handshakes,
        )

    @property
    def addresses(self) -> dict[str, str]:
        """Addresses of the listeners by name; valid once started."""
        return {
            "rpc": f"{self._rpc_host}:{self._rpc.port}",
            "http": self._http.address,
        }

    @property
    def metrics(self) -> Metrics | None:
        """Metrics of this process; None if it collects none."""
        return None if self._metrics is None else self._metrics.metrics

    async def start(self) -> None:
        """Bind the listeners and serve; raises OSError if an address is taken.

        Raises StorageError if the data folder is in use or damaged.
        """
        self._acknowledgements.start(asyncio.get_running_loop().time())
        self._departures.start()
        if self._replica is not None:
            self._folder_lock = FolderLock(self._data_dir)
            if self._bootstrap:
                init_shared_log(self._data_dir, self._own_rpc, self._seeds)
            await self._replica.start()
            self._tasks.append(spawn(self._watch_replica(self._replica)))
        if self._upstream_cache is not None:
            await self._upstream_cache.start()
        if self._weights_cache is not None:
            await self._weights_cache.start()
        if self._ended_cache is not None:
            await self._ended_cache.start()
        await self._commit.start()
        await self._mesh.start()
        await self._rpc.start()
        await self._http.start()
        await self._upkeep.start()
        await self._orders.start()
        await self._software.start()
        if self._rollout is not None:
            await self._rollout.start()
        if self._metrics is not None:
            await self._metrics.start()

    async def close(self) -> None:
        """Accept no new changes, answer the open requests, then stop."""
        self._api.draining = True
        await self._http.close(HTTP_GRACE_S)
        if self._metrics is not None:
            await self._metrics.close()
        if self._rollout is not None:
            await self._rollout.close()
        if self._announcements is not None:
            await self._announcements.close()
        if self._upstream_cache is not None:
            await self._upstream_cache.close()
        if self._weights_cache is not None:
            await self._weights_cache.close()
        if self._ended_cache is not None:
            await self._ended_cache.close()
        await self._documents.close()
        await self._software.close()
        await self._requests.close()
        await self._orders.close()
        await self._upkeep.close()
        await self._mesh.close()
        await self._commit.close()
        await stop(self._tasks)
        if self._replica is not None:
            await self._replica.close()
        self._members_service.close()
        await self._rpc.close(RPC_GRACE_S)
        if self._folder_lock is not None:
            self._folder_lock.release()
            self._folder_lock = None

    def _make_metrics(self, cfg: Cfg) -> ControlMetrics:
        # Imported here because the metrics libraries need memory and 65 ms, a tenth of
        # the startup time, while gateways wait for the document.
        from gooseberrydale.process.control.control_metrics import ControlMetrics
        from gooseberrydale.process.metrics import Metrics

        return ControlMetrics(
            Metrics(CONTROL_ROLE, cfg.node.name, cfg.node.zone),
            self.state,
            self._proposer,
            self._replica,
            self.directory,
            self._mesh,
        )

    def _make_rollout(
        self,
        cfg: Cfg,
        own: ControlCfg,
        announcements: Announcements,
        interface: DeploymentInterface,
    ) -> WeightsRollout | None:
        if self._replica is None:
            return None
        return WeightsRollout(
            cfg.node.name,
            self._machine,
            self._replica,
            self.directory,
            announcements,
            interface.engines,
            self._named_weights,
            own.order_pause_s,
            own.weights_bound_s,
        )

    def _make_replica(
        self, cfg: Cfg, own: ControlCfg, token: str, tls: TlsFiles | None
    ) -> Replica:
        if own.open_group:
            # In an open group a replica's name is the address at which others reach it.
            return Replica(
                own,
                token,
                self._machine,
                self._rpc,
                name=own.rpc,
                tls=tls,
                raft=open_raft(cfg.fleet.control_rpc, own, cfg.node.zone),
                controls=self._controls,
            )
        name = cfg.node.name
        alone = own if own.replicas else replace(own, replicas={name: own.rpc})
        return Replica(alone, token, self._machine, self._rpc, name=name, tls=tls)

    def _make_proposer(self) -> Proposer:
        if self._replica is None:
            return InMemoryProposer(self._machine)
        return ReplicatedProposer(self._replica)

    async def _watch_replica(self, replica: Replica) -> None:
        """Stop the process if its replica fails, as its state would stay stale."""
        try:
            await replica.wait_failed()
        except Exception as exc:
            raise InvariantError(
                f"replica of the control log failed, the process must restart: {exc}"
            ) from exc

    def _make_mesh(self, cfg: Cfg, token: str) -> Mesh:
        incarnation = new_incarnation(time.time_ns(), random.Random())
        return Mesh(
            cfg,
            CONTROL_ROLE,
            self.directory,
            self.store,
            None,
            token,
            incarnation,
            on_ack=self._on_ack,
            ended_incarnations=self.ended_incarnations,
            named_weights=self._named_weights,
            controls=self._controls,
            leads=lambda: self._proposer.leads,
        )

    def _on_ack(self, peer: PeerState) -> None:
        self._acknowledgements.record_status(
            RevisionStatus(
                role=peer.role,
                name=peer.name,
                incarnation=peer.incarnation,
                zone=peer.zone,
                revision=peer.revision,
                received_at=peer.received_at,
            )
        )

    def _upstream_records(self) -> Any:
        return self.directory.records(asyncio.get_running_loop().time())

    def _replica_status(self) -> dict[str, Any]:
        if self._replica is None:
            return IN_MEMORY_STATUS
        return {"replicated": True, **to_builtins(self._replica.status)}


def control_role(cfg: Cfg, interface: DeploymentInterface) -> Role:
    """Return the control role of this instance, as the settings select it."""
    if cfg.control is not None and cfg.control.signpost:
        return Signpost(cfg)
    return Control(cfg, interface=interface)


def limits_of(cfg: ControlCfg) -> Limits:
    """Return the limits of the replicated state from the settings."""
    return Limits(
        audit_entries=cfg.audit_entries,
        change_ids=cfg.change_ids,
        orders=cfg.orders,
        loads_at_once=cfg.loads_at_once,
        order_deadline_s=cfg.order_deadline_s,
        claims=cfg.claims,
        claims_per_workspace=cfg.claims_per_workspace,
        claim_ttl_s=cfg.claim_ttl_s,
        claim_body_bytes=cfg.claim_body_bytes,
        claim_total_bytes=cfg.claim_total_bytes,
    )


def open_raft(seeds: tuple[str, ...], cfg: ControlCfg, zone: str) -> RaftCfg:
    """Return the Raft settings of a replica in ``zone`` of an open group.

    Each majority remains after the loss of any tolerated replicas or zones: voters are
    spread over zones if zones may be lost.
    """
    return RaftCfg(
        frozenset(seeds),
        heartbeat_s=OPEN_HEARTBEAT_S,
        election_min_s=OPEN_ELECTION_MIN_S,
        election_max_s=OPEN_ELECTION_MAX_S,
        lease_s=OPEN_LEASE_S,
        snapshot_entries=cfg.snapshot_entries,
        keep_entries=cfg.snapshot_entries,
        max_voters=2 * max(cfg.tolerated_losses, cfg.tolerated_zones) + 1,
        zone=zone if cfg.tolerated_zones else "",
    )


def _operators(cfg: ControlCfg, digests: Mapping[str, str] | None) -> dict[str, str]:
    if digests is not None:
        return dict(digests)
    return {} if cfg.operators_file is None else load_operators(cfg.operators_file)
