"""Membership of the process in the mesh that connects all processes.

``Mesh`` opens the sessions that the role needs, announces the process's own upstream if
it has one, and expires leases. Processes that accept sessions also ``register`` it with
their gRPC listener.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

from loguru import logger

from gooseberrydale.connection.alarm import Alarm
from gooseberrydale.connection.mesh import (
    CONTROL_ROLE,
    ENTRY_ROLE,
    NamedVersion,
    UpstreamRecord,
)
from gooseberrydale.connection.mesh_client import MeshClient
from gooseberrydale.connection.mesh_node import (
    AckListener,
    Identity,
    MeshNode,
    MeshTimings,
    PeerState,
)
from gooseberrydale.connection.mesh_server import MeshServer
from gooseberrydale.connection.rpc import RpcServer
from gooseberrydale.errors import REPLACED_INCARNATION, problem
from gooseberrydale.process.cfg import Cfg
from gooseberrydale.process.control_sessions import ControlSessions
from gooseberrydale.process.tls import tls_files
from gooseberrydale.version.config_store import ConfigStore
from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.known_controls import ControlMembers, KnownControls
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.order_marks import is_mark_name
from gooseberrydale.version.session_targets import EntryPoint, session_targets

__all__ = ["Mesh", "OwnRecord", "PeerState", "known_controls"]

SIDECAR_ENTRY_SESSIONS = 8
"""Maximum number of entries that a sidecar holds sessions to."""

ENTRY_ENTRY_SESSIONS = 3
"""Maximum number of other entries that an entry holds sessions to."""

RENEWALS_PER_LEASE = 3
EXPIRY_INTERVAL_S = 0.5
NO_RECORD_INTERVAL_S = 0.25

OwnRecord = Callable[[], UpstreamRecord | None]


class Mesh:
    """Sessions, announcements and leases of one process; start it once.

    ``role`` is ``entry``, ``sidecar`` or ``control``. ``own_record`` is called for each
    announcement and returns None while there is nothing to announce; the mesh sets
    ``seq`` itself. ``ended_incarnations`` are sent to all peers but sidecars.
    ``named_weights`` receives the versions of the configuration and those that peers
    report.
    ``controls`` are the control replicas, by default those that the settings list; the
    mesh keeps them up to date.
    ``confirmed`` receives how recently the configuration in force was known to be the
    newest; ``leads`` is whether this process leads control, and therefore knows that.
    ``on_ack`` is called with a :class:`PeerState` whenever a process reports its
    revision.
    """

    def __init__(
        self,
        cfg: Cfg,
        role: str,
        directory: Directory,
        store: ConfigStore,
        own_record: OwnRecord | None,
        token: str,
        incarnation: str,
        *,
        on_ack: AckListener | None = None,
        timings: MeshTimings | None = None,
        rng: random.Random | None = None,
        ended_incarnations: EndedIncarnations | None = None,
        named_weights: NamedWeights | None = None,
        controls: KnownControls | None = None,
        confirmed: ConfirmedRevision | None = None,
        leads: Callable[[], bool] = lambda: False,
    ) -> None:
        self.controls = known_controls(cfg) if controls is None else controls
        self._rng = rng if rng is not None else random.Random()
        identity = Identity(
            role=role, name=cfg.node.name, incarnation=incarnation, zone=cfg.node.zone
        )
        self._node = MeshNode(
            identity,
            directory,
            store,
            on_ack=on_ack,
            timings=timings,
            ended_incarnations=ended_incarnations,
            named_weights=named_weights,
            controls=self.controls,
            confirmed=confirmed,
            leads=leads,
        )
        self._server = MeshServer(self._node)
        tls = tls_files(cfg.fleet.tls)

        def make_client(address: str, backoff_max_s: float | None) -> MeshClient:
            return MeshClient(address, token, tls, self._node, self._rng, backoff_max_s)

        self._entry_sessions = tuple(
            make_client(address, None) for address in _entry_targets(cfg, role)
        )
        self._control_sessions = ControlSessions(
            self.controls if _opens_control_sessions(cfg, role) else KnownControls(()),
            make_client,
            self._rng,
            finds_former=role == CONTROL_ROLE,
        )
        self._announcer = _Announcer(own_record, directory, self._rng)
        self._tasks: list[asyncio.Task[None]] = []
        self._started_at = 0.0

    def register(self, rpc_server: RpcServer) -> None:
        """Accept mesh sessions on ``rpc_server``; call this before its ``start``."""
        self._server.register(rpc_server)

    async def start(self) -> None:
        """Open the sessions and start announcing the own record and expiring leases.

        Returns without waiting for any session.
        """
        self._started_at = asyncio.get_running_loop().time()
        await self._node.start()
        self._tasks = [
            asyncio.create_task(self._announcer.run()),
            asyncio.create_task(self._expire_leases()),
        ]
        await self._control_sessions.start()
        for client in self._entry_sessions:
            await client.start()

    async def close(self) -> None:
        """Close all sessions; leases that other processes hold then expire.

        Call this before closing the listener, which waits for open streams.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []
        await self._control_sessions.close()
        await asyncio.gather(*(client.close() for client in self._entry_sessions))
        self._server.close()
        await self._node.close()

    def offer_controls(self, members: ControlMembers, source: str) -> None:
        """Record members of control that ``source`` reported outside of sessions."""
        self._node.offer_controls(members, source)

    def merge_weights(self, stored: Iterable[NamedVersion], now: float) -> None:
        """Record named versions that an earlier incarnation of this process stored."""
        self._node.merge_weights(stored, now)

    def announce(self) -> None:
        """Announce the own record immediately, because it changed."""
        self._announcer.announce()

    @property
    def connected(self) -> bool:
        """Whether any session is open whose peer has sent a message."""
        return bool(self._node.peers())

    @property
    def control_connected(self) -> bool:
        """Whether a session to a member of control is open."""
        return self._control_sessions.connected

    @property
    def behind(self) -> bool:
        """Whether a peer has reported a higher revision than is in force here."""
        return self._node.highest_revision > self._node.store.revision

    @property
    def control_silence_s(self) -> float:
        """Seconds since the last message of a control replica, or since the start."""
        now = asyncio.get_running_loop().time()
        return now - max(self._node.control_received_at, self._started_at)

    def peers(self) -> tuple[PeerState, ...]:
        """Return the last received state of each process with an open session."""
        newest: dict[tuple[str, str], PeerState] = {}
        for peer in sorted(self._node.peers(), key=lambda peer: peer.received_at):
            newest[peer.role, peer.name] = peer
        return tuple(newest.values())

    async def _expire_leases(self) -> None:
        directory = self._node.directory
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            self._node.ended_incarnations.expire(now)
            for name in directory.expire(now):
                # Order marks expire in normal operation, so they aren't logged.
                if not is_mark_name(name):
                    logger.warning(
                        "lease of upstream {} expired without a renewal; removed it",
                        name,
                    )


class _Announcer:
    """Renews the own record in the local directory; sessions propagate it."""

    def __init__(
        self, own_record: OwnRecord | None, directory: Directory, rng: random.Random
    ) -> None:
        self._own_record = own_record
        self._directory = directory
        self._rng = rng
        self._alarm: Alarm | None = None
        self._seq = 0
        self._replaced = False

    def announce(self) -> None:
        """Make the next announcement immediately."""
        if self._alarm is not None:
            self._alarm.wake_by(asyncio.get_running_loop().time())

    async def run(self) -> None:
        """Announce at the start and then whenever a third of the lease has passed."""
        if self._own_record is None:
            return
        self._alarm = Alarm()
        while True:
            now = asyncio.get_running_loop().time()
            self._alarm.wake_by(now + self._announce_once(self._own_record(), now))
            await self._alarm.wait()

    def _announce_once(self, record: UpstreamRecord | None, now: float) -> float:
        """Store ``record`` in the directory; return the delay until the next
        announcement."""
        if record is None:
            return NO_RECORD_INTERVAL_S
        self._seq += 1
        if not self._directory.offer(replace(record, seq=self._seq), now):
            self._report_replaced(record, now)
        return record.lease_s / RENEWALS_PER_LEASE * self._rng.uniform(0.9, 1.0)

    def _report_replaced(self, record: UpstreamRecord, now: float) -> None:
        newer_record = self._directory.get(record.name, now)
        if newer_record is None or self._replaced:
            return
        self._replaced = True
        reason = problem(
            REPLACED_INCARNATION,
            name=record.name,
            later=newer_record.incarnation,
            own=record.incarnation,
        )
        logger.error("{}", reason.message)


def known_controls(cfg: Cfg) -> KnownControls:
    """Return the control replicas that the settings list."""
    own = cfg.control
    return KnownControls(cfg.fleet.control_rpc, "" if own is None else own.rpc)


def _opens_control_sessions(cfg: Cfg, role: str) -> bool:
    """Whether the process opens sessions to control replicas.

    Replicas of an open group send each other the records of upstreams; no other process
    has a list of all replicas, to open sessions to them.
    """
    return role != CONTROL_ROLE or (cfg.control is not None and cfg.control.open_group)


def _entry_targets(cfg: Cfg, role: str) -> tuple[str, ...]:
    """Return the addresses of the entries to open sessions to."""
    if role == CONTROL_ROLE:
        return ()
    entries = [EntryPoint(address) for address in cfg.fleet.entries]
    max_sessions = SIDECAR_ENTRY_SESSIONS
    if role == ENTRY_ROLE:
        max_sessions = ENTRY_ENTRY_SESSIONS
        own = cfg.entry.rpc if cfg.entry is not None else ""
        others = [entry for entry in entries if entry.address != own]
        # An entry that listens on another address than its listed one can't exclude
        # itself from the list and may connect to itself; one more session compensates
        # for that.
        max_sessions += len(others) == len(entries)
        entries = others
    return session_targets(cfg.node.name, cfg.node.zone, entries, max_sessions)
