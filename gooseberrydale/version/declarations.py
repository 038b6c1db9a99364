"""What operators declare: profiles, workspaces and leaving marks.

A :class:`Config` is one committed revision of all declarations.  It is replicated
by control and copied to every entry and sidecar; a process only ever replaces it
by one of a higher revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from gooseberrydale.connection.codec import message
from gooseberrydale.version.quotas.quota import Quota


class ProfileKind(StrEnum):
    """What stands behind a profile."""

    COMPLETION = "completion"
    SERVICE = "service"


@message
@dataclass(frozen=True, slots=True)
class Profile:
    """How one class of traffic is served.

    ``pool`` names the upstreams that serve it.  ``repeatable`` says whether a call
    may run more than once.  ``deadline_s`` bounds the time to the first token (for
    services: to the whole answer), in seconds.  ``waste_weight`` scales how much a
    wasted recomputation counts against time to first token in routing: 0 favours
    latency alone, 1 counts a recomputed token like a second wait for it.  Higher
    ``priority`` runs first.
    """

    name: str
    kind: ProfileKind
    pool: str
    model: str = ""
    repeatable: bool = True
    priority: int = 0
    deadline_s: float = 30.0
    waste_weight: float = 0.0


@message
@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer: its share of upstream time and the digests of its API keys.

    ``profiles`` names the profiles that it may call; empty means all of them.  Without
    a ``quota``, or with one of 0 a second, it may use what it likes.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    share: float = 1.0
    profiles: tuple[str, ...] = ()
    quota: Quota | None = None

    @property
    def limit(self) -> Quota | None:
        """The quota, None if there is none or it limits nothing."""
        return self.quota if self.quota is not None and self.quota.per_s > 0 else None


@message
@dataclass(frozen=True, slots=True)
class Document:
    """A whole configuration as its operator wrote it.

    Operators number their documents; the highest number is in force.  ``body`` is
    kept as it was sent, so that it can be read back unchanged.
    """

    number: int
    body: bytes


@message
@dataclass(frozen=True, slots=True)
class Config:
    """One revision of all declarations.

    ``weights`` holds the version that each model shall be served with, by model.
    """

    revision: int = 0
    profiles: dict[str, Profile] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    document: Document | None = None
    weights: dict[str, int] = field(default_factory=dict)

    @property
    def quotas(self) -> dict[str, Quota]:
        """The quotas in force, by workspace; made anew at each call."""
        limits = {one.name: one.limit for one in self.workspaces.values()}
        return {name: limit for name, limit in limits.items() if limit is not None}
