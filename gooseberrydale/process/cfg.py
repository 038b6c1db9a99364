"""Settings of each role, as frozen dataclasses.

The tables and keys of a settings file in TOML have the names of the fields below.
This module only defines them and their defaults, which bind to loopback; ``cfg_file``
loads files and ``cfg_checks`` checks them.  Addresses are ``IP:PORT``, times are in
seconds, sizes in bytes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

MAX_HELD_BYTES = 32 * 1024 * 1024
"""A fifth to a quarter of the memory of the smallest nodes: several bodies of the
largest size, or heads and bodies of some thousand usual requests."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Twice the largest request; a process that holds one takes about three times as much
while it sends it."""

MAX_HELD_CONTROL_BYTES = 16 * 1024 * 1024
"""The same for control, whose calls are small but for documents, one at a time."""

MAX_CONTROL_BODY_BYTES = 4 * 1024 * 1024
"""A document with 1,800 workspaces has a tenth of it."""

MAX_BODY_VALUES = 100_000
"""Several times as many as in a conversation of a thousand messages with calls of
tools, or in a change of 1,800 workspaces.  Decoded, each takes about 100 bytes."""

MAX_HANDSHAKES = 256
"""A handshake takes a round trip or two, so thousands of clients may connect within a
second."""


@dataclass(frozen=True, slots=True)
class NodeCfg:
    """Name and location of this process."""

    name: str
    zone: str = "local"
    region: str = "local"


@dataclass(frozen=True, slots=True)
class TlsCfg:
    """PEM files for a listener; plain TCP if all are empty."""

    cert_file: str = ""
    key_file: str = ""
    ca_file: str = ""


@dataclass(frozen=True, slots=True)
class FleetCfg:
    """Settings that are equal for all processes of the router.

    ``controls`` and ``entries`` are gRPC addresses.  Upstreams are not listed, as they
    announce themselves.  If ``control_rpc_port`` is set, the gRPC listeners of the
    control replicas use that port on the hosts of ``controls``.  Of an open group, the
    members replace the listed replicas once the process has reached one.

    Processes authenticate with the secret in ``token_file``; with ``trust_network``
    they accept connections from everybody who can reach their listeners.
    """

    token_file: Path | None = None
    controls: tuple[str, ...] = ()
    entries: tuple[str, ...] = ()
    tls: TlsCfg = field(default_factory=TlsCfg)
    control_rpc_port: int = 0
    trust_network: bool = False

    @property
    def control_rpc(self) -> tuple[str, ...]:
        """gRPC addresses of the control replicas listed in the settings."""
        if not self.control_rpc_port:
            return self.controls
        hosts = (address.rpartition(":")[0] for address in self.controls)
        return tuple(f"{host}:{self.control_rpc_port}" for host in hosts)


@dataclass(frozen=True, slots=True)
class LogCfg:
    """Log output: JSON lines on standard error, or in ``file`` if that is set.

    With ``stdout`` they are written to standard output, with a limited rate and without
    blocking if the reader is slow.
    """

    level: str = "INFO"
    file: str = ""
    stdout: bool = False


@dataclass(frozen=True, slots=True)
class MetricsCfg:
    """Address of the listener for Prometheus scrapes; none if ``http`` is empty."""

    http: str = ""


@dataclass(frozen=True, slots=True)
class EntryCfg:
    """Listeners and limits of an entry.

    A request that the configuration doesn't allow is denied only if that was known to
    be the newest one within the last ``config_bound_s``.  Callers may make the process
    hold ``max_held_bytes`` of requests and unread answers; beyond that the largest
    unfinished requests are refused.  A body counts twice; what is decoded of
    it may have ``max_body_values`` strings, objects and arrays.  At most
    ``max_handshakes`` connections may be in their TLS handshake.  An answer that is not
    a stream may have ``max_answer_bytes``; all that are held until they are complete,
    and the texts of streams, ``max_held_bytes``.
    """

    http: str = "127.0.0.1:8080"
    rpc: str = "127.0.0.1:8081"
    tls: TlsCfg = field(default_factory=TlsCfg)
    max_body_bytes: int = 8 * 1024 * 1024
    max_body_values: int = MAX_BODY_VALUES
    body_timeout_s: float = 10.0
    drain_s: float = 30.0
    silence_s: float = 3.0
    retry_ratio: float = 0.2
    policy: str = "affinity"
    config_bound_s: float = 4.0
    max_held_bytes: int = MAX_HELD_BYTES
    max_answer_bytes: int = MAX_ANSWER_BYTES
    max_handshakes: int = MAX_HANDSHAKES


@dataclass(frozen=True, slots=True)
class GatewayCfg:
    """Listeners and limits of a gateway, an entry that forwards by declared routes.

    ``ready`` is the listener whose answers tell the load balancer whether to send
    connections.  The process is killed ``grace_s`` seconds after it was asked to stop.

    Retries of a pool's requests are limited over all gateways together, within any
    ``retry_window_s``, to ``retry_ratio`` times its requests plus ``retry_slack``.
    Each gateway divides ``retry_slack`` by the number of gateways that it has recorded
    in the last minute, or by ``gateways`` if that is larger; a fleet that is larger
    than ``gateways`` uses half of it.

    ``gossip`` receives the datagrams in which other gateways report their work.
    A request may be started on outdated weights for at most ``weights_bound_s`` after
    newer ones were named.  A change of the configuration is in force within
    ``config_bound_s``: a request that the document doesn't allow is denied only if that
    was known to be the newest one within this time.  If a control replica runs on the
    same machine, the process starts to load ``start_after_s`` later: all gateways wait
    for the document from control, and loading both takes 0.9 s of CPU time.
    ``link_mbps`` is the bandwidth of the node in Mbit/s, 0 if unknown: the gateways
    with most of it relay the events of KV cache stores to the others.  ``max_fds`` and
    ``memory_mb`` are the descriptors and the memory that the process may use, 0 if
    unknown.  New connections are closed unread while one of these three is nearly used
    up.  Callers may make it hold ``max_held_bytes``, as with an entry, and no more than
    a fifth of ``memory_mb``.  A gateway with a ``data_dir`` stores there where
    streams began, so that they can go on after all gateways were killed.

    With ``share_capacity``, requests that compete for too little capacity are ordered
    by rank and workspace over all gateways.  Without it, this applies to pools whose
    upstreams state how slow they are.  Each of the six settings that follow it switches
    off one part.
    """

    http: str = "127.0.0.1:8080"
    ready: str = "127.0.0.1:8082"
    grace_s: float = 30.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    gateways: int = 8
    gossip: str = "127.0.0.1:8083"
    weights_bound_s: float = 8.0
    config_bound_s: float = 4.0
    start_after_s: float = 0.0
    link_mbps: float = 0.0
    max_fds: int = 0
    memory_mb: float = 0.0
    max_held_bytes: int = MAX_HELD_BYTES
    data_dir: Path | None = None
    share_capacity: bool = False
    learn_speeds: bool = True
    rank_loads: bool = True
    queue_requests: bool = True
    fair_workspaces: bool = True
    reserve_capacity: bool = True
    plan_retries: bool = True


@dataclass(frozen=True, slots=True)
class SidecarCfg:
    """The upstream of this sidecar, and the limits of the queue in front of it.

    ``advertise`` is the address at which other processes reach ``rpc``, if it differs,
    as with a forwarded port; empty means ``rpc`` itself.  A sidecar that was asked to
    stop keeps listening for at least ``notice_s``, so that entries are notified before
    their connections are refused.
    """

    upstream: str
    pool: str
    kind: str = "completion"
    model: str = ""
    rpc: str = "127.0.0.1:8090"
    advertise: str = ""
    max_running: int = 16
    max_queued: int = 64
    drain_s: float = 30.0
    notice_s: float = 1.0
    replay_bytes: int = 4 * 1024 * 1024
    replay_s: float = 15.0
    lease_s: float = 6.0
    upstream_silence_s: float = 5.0
    checks_fencing: bool = False
    kv_store: str = ""


@dataclass(frozen=True, slots=True)
class ControlCfg:
    """A control replica: its data folder, listeners, group and limits.

    ``replicas`` maps replica names to gRPC addresses, including this one.
    ``loads_at_once`` limits how many upstreams load weights at the same time.  An
    order without an outcome after ``order_deadline_s`` counts as lost.  The claim of
    a call that may not be repeated is stored for ``claim_ttl_s``; its answer is stored
    if it has at most ``claim_body_bytes`` and all answers have at most
    ``claim_total_bytes``.

    With ``open_group`` instead of ``replicas`` any replica may join through those in
    ``fleet.controls``, and there are as many voters as are needed to tolerate
    ``tolerated_losses`` of them, or ``tolerated_zones`` availability zones, at the same
    time.  ``bootstrap`` may be true only for the very first start: the listed replicas
    with empty folders then create a new cluster.

    A new leader waits ``order_pause_s`` before it sends orders to upstreams, so that
    the orders of its predecessor have arrived.  Work may be started on outdated weights
    for ``weights_bound_s``.  Upstreams without a sidecar announce themselves every
    ``beat_s``.  Operators and upstreams may make it hold ``max_held_bytes`` and have
    ``max_handshakes`` open, as callers of an entry, and send bodies of
    ``max_body_bytes``, operators with ``max_body_values``.  A ``signpost`` is a replica
    without a disk: it stores nothing and redirects its callers to the listed replicas.
    """

    data_dir: Path
    rpc: str = "127.0.0.1:8070"
    http: str = "127.0.0.1:8071"
    tls: TlsCfg = field(default_factory=TlsCfg)
    replicas: dict[str, str] = field(default_factory=dict)
    open_group: bool = False
    tolerated_losses: int = 1
    tolerated_zones: int = 0
    bootstrap: bool = False
    order_pause_s: float = 3.0
    weights_bound_s: float = 8.0
    beat_s: float = 1.2
    max_held_bytes: int = MAX_HELD_CONTROL_BYTES
    max_body_bytes: int = MAX_CONTROL_BODY_BYTES
    max_body_values: int = MAX_BODY_VALUES
    max_handshakes: int = MAX_HANDSHAKES
    signpost: bool = False
    operators_file: Path | None = None
    loads_at_once: int = 2
    audit_entries: int = 10_000
    snapshot_entries: int = 1_000
    change_ids: int = 10_000
    orders: int = 1_000
    order_deadline_s: float = 150.0
    claims: int = 30_000
    claims_per_workspace: int = 15_000
    claim_ttl_s: float = 43_200.0
    claim_body_bytes: int = 65_536
    claim_total_bytes: int = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Cfg:
    """One settings file; a process uses only the table of its own role."""

    node: NodeCfg
    fleet: FleetCfg
    log: LogCfg = field(default_factory=LogCfg)
    metrics: MetricsCfg = field(default_factory=MetricsCfg)
    entry: EntryCfg | None = None
    gateway: GatewayCfg | None = None
    sidecar: SidecarCfg | None = None
    control: ControlCfg | None = None
