"""What a whole document declares: routes, pools, stores, limits and workspaces.

Lives as long as one document is in force.  The form that operators write is up to the
deployment; it is decoded into these types once, when a document arrives.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gooseberrydale.version.quotas.quota import Quota


@dataclass(frozen=True, slots=True)
class Share:
    """A pool that serves a part of a route's requests, by weight."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One class of requests, named by host and the beginning of the path.

    A request that is not ``repeatable`` runs once at most; a ``streamed`` answer is a
    series of events, and one that is ``resumable`` may go on at another upstream.  The
    caller shall have its answer, or its first event, within ``objective_s``, with
    pauses of ``gap_objective_s`` at most, and is kept for ``timeout_s`` at most.  At
    most ``max_runs`` upstreams may run a request.  Rank 0 of ``priority`` goes first.
    A ``public`` route needs no key.
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
    """What one model engine of a pool holds: requests at once, tokens of memory."""

    slots: int
    kv_tokens: int


@dataclass(frozen=True, slots=True)
class Pool:
    """Upstreams that serve the same requests; ``engine`` if they are model engines."""

    name: str
    max_connections: int
    engine: EngineSize | None = None


@dataclass(frozen=True, slots=True)
class KvStoreDecl:
    """A store of kept KV cache."""

    name: str
    address: str
    zone: str


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take, in bytes and seconds."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclass(frozen=True, slots=True)
class KeyHolder:
    """A workspace with its keys; what is computed for an ``isolated`` one stays there.

    Its ``priority``, if it has one, goes before that of the route.  Without a ``quota``
    it may use what it likes.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class Declared:
    """One whole document; ``workspaces`` is None if callers need no keys."""

    number: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    stores: tuple[KvStoreDecl, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[KeyHolder, ...] | None = None
