"""Settings of each role, as frozen dataclasses.

A settings file in TOML holds the tables named by the fields below.  Loading and
checking live in ``cfg_file``; this module is only the shape, with defaults that
bind to loopback.  Addresses are ``IP:PORT``; times are seconds; sizes are bytes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True, slots=True)
class NodeCfg:
    """Who this process is and where it runs."""

    name: str
    zone: str = "local"
    region: str = "local"


@dataclass(frozen=True, slots=True)
class TlsCfg:
    """PEM files for a listener; all empty means plain TCP."""

    cert_file: str = ""
    key_file: str = ""
    ca_file: str = ""


@dataclass(frozen=True, slots=True)
class FleetCfg:
    """What the system's own processes share.

    ``controls`` and ``entries`` are gRPC addresses.  No upstream is listed: they
    announce themselves.  If ``control_rpc_port`` is set, ``controls`` name other
    listeners of the same hosts, and their gRPC listener is at that port.  With
    ``trust_network`` in place of a ``token_file`` the processes trust whoever reaches
    their listeners.
    """

    token_file: Path | None = None
    controls: tuple[str, ...] = ()
    entries: tuple[str, ...] = ()
    tls: TlsCfg = field(default_factory=TlsCfg)
    control_rpc_port: int = 0
    trust_network: bool = False

    @property
    def control_rpc(self) -> tuple[str, ...]:
        """gRPC addresses of the control replicas that are known beforehand."""
        if not self.control_rpc_port:
            return self.controls
        hosts = (address.rpartition(":")[0] for address in self.controls)
        return tuple(f"{host}:{self.control_rpc_port}" for host in hosts)


@dataclass(frozen=True, slots=True)
class LogCfg:
    """JSON lines on standard error, or in a file if ``file`` is set.

    With ``stdout`` they go to standard output, within budgets of lines a second, and
    never wait for whoever reads them.
    """

    level: str = "INFO"
    file: str = ""
    stdout: bool = False


@dataclass(frozen=True, slots=True)
class MetricsCfg:
    """Listener for Prometheus scrapes; no listener if ``http`` is empty."""

    http: str = ""


@dataclass(frozen=True, slots=True)
class EntryCfg:
    """Listeners and limits of an entry."""

    http: str = "127.0.0.1:8080"
    rpc: str = "127.0.0.1:8081"
    tls: TlsCfg = field(default_factory=TlsCfg)
    max_body_bytes: int = 8 * 1024 * 1024
    body_timeout_s: float = 10.0
    drain_s: float = 30.0
    silence_s: float = 3.0
    retry_ratio: float = 0.2
    policy: str = "affinity"


@dataclass(frozen=True, slots=True)
class GatewayCfg:
    """Listeners and limits of an entry that forwards by declared routes.

    ``ready`` is the listener that tells the balancer whether to send connections.
    The process is killed ``grace_s`` seconds after it was told to stop.  A pool gets
    at most ``retry_ratio`` of its requests, and ``retry_slack`` more in ten seconds,
    as sends beyond a request's first, over all gateways together; a gateway takes
    the part of ``retry_slack`` that falls to one of those it knows, and of ``gateways``
    at least.  ``gossip`` is where
    other gateways tell their work by datagrams.  A request starts on overtaken weights
    within ``weights_bound_s`` of the naming of newer ones at most.  Where a replica of
    control runs on the same machine, the process begins to load ``start_after_s`` later
    than it: all gateways wait for the document, and both together take 0.9 s of the
    processor.  ``link_mbps`` is the node's link in Mbit/s, 0 if not known: those with
    the widest pass on to the others what stores of KV cache tell.
    """

    http: str = "127.0.0.1:8080"
    ready: str = "127.0.0.1:8082"
    grace_s: float = 30.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    gateways: int = 8
    gossip: str = "127.0.0.1:8083"
    weights_bound_s: float = 8.0
    start_after_s: float = 0.0
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class SidecarCfg:
    """The upstream beside this sidecar, and the gate before it.

    ``advertise`` is the address at which others reach ``rpc``, if it is another one
    there, as behind a forwarded port; empty means ``rpc`` itself.  A sidecar that was
    told to stop listens on for at least ``notice_s``, so that entries learn of it
    before they meet a closed port.
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
    """A control replica: its data folder, listeners and the other replicas.

    ``replicas`` maps replica names to gRPC addresses, this one included.
    ``loads_at_once`` bounds how many upstreams load weights at the same time; an
    order without an outcome after ``order_deadline_s`` counts as lost.  A claim of
    a call that may not be repeated is kept for ``claim_ttl_s``, its answer if it
    has at most ``claim_body_bytes`` and all have at most ``claim_total_bytes``.

    With ``open_group`` in place of ``replicas`` any replica may join by way of those
    that the fleet's settings list, and as many vote as it takes to bear
    ``tolerated_losses`` at once.  ``bootstrap`` is true for the very first start
    alone; listed replicas with empty folders then begin a new cluster together.  A
    new leader
    waits ``order_pause_s`` before it gives orders to upstreams, so that those of its
    predecessor have arrived; work may start on overtaken weights for
    ``weights_bound_s``.  Upstreams without a sidecar announce themselves each
    ``beat_s``.  A ``signpost`` has no disk: it keeps nothing, and sends its callers to
    the listed replicas.
    """

    data_dir: Path
    rpc: str = "127.0.0.1:8070"
    http: str = "127.0.0.1:8071"
    tls: TlsCfg = field(default_factory=TlsCfg)
    replicas: dict[str, str] = field(default_factory=dict)
    open_group: bool = False
    tolerated_losses: int = 1
    bootstrap: bool = False
    order_pause_s: float = 3.0
    weights_bound_s: float = 8.0
    beat_s: float = 1.2
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
    """One settings file; exactly one role's table is used by a process."""

    node: NodeCfg
    fleet: FleetCfg
    log: LogCfg = field(default_factory=LogCfg)
    metrics: MetricsCfg = field(default_factory=MetricsCfg)
    entry: EntryCfg | None = None
    gateway: GatewayCfg | None = None
    sidecar: SidecarCfg | None = None
    control: ControlCfg | None = None
