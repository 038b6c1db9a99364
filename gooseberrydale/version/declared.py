"""Types of a decoded document: routes, pools, stores, limits and workspaces.

Each deployment has its own format for documents; a document is decoded into these
types once, when it is received.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gooseberrydale.version.quotas.quota import Quota


@dataclass(frozen=True, slots=True)
class Share:
    """A pool that serves a fraction of a route's requests.

    The fraction is ``weight`` over the sum of the weights of the route's shares.
    """

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One class of requests, selected by host and path prefix.

    A request that is not ``repeatable`` runs at most once.  A ``streamed`` answer is a
    series of events; a ``resumable`` stream may continue at another upstream.  The
    objectives are that the answer, or its first event, arrives within ``objective_s``
    and that gaps between events stay below ``gap_objective_s``.  A request is ended
    after ``timeout_s``.  At most ``max_runs`` upstreams may run a request.
    ``priority`` 0 is served first.  A ``public`` route needs no key.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0.0
    repeatable: bool = False
    streamed: bool = False
    resumable: bool = False
    priority: int = 0
    max_runs: int = 1
    public: bool = False


@dataclass(frozen=True, slots=True)
class EngineSize:
    """Capacity of one model engine: concurrent requests and KV cache tokens."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that serve the same requests.

    ``engine`` is set if they are model engines.
    """

    name: str
    max_connections: int
    engine: EngineSize | None = None


@dataclass(frozen=True, slots=True)
class KvStoreDecl:
    """A store that holds saved KV cache blocks."""

    name: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of what a caller sends."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """A workspace and its API keys.

    Cache content computed for an ``isolated`` workspace is not shared with others.
    ``priority``, if set, overrides that of the route.  Without a ``quota`` use is
    unlimited.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class Declared:
    """One decoded document; ``workspaces`` is None if callers need no keys."""

    number: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    stores: tuple[KvStoreDecl, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[KeyHolder, ...] | None = None
