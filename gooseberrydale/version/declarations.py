"""Types of the operators' declarations: profiles, workspaces, leaving upstreams.

A :class:`Config` is one committed revision of all declarations.  Control replicates
it and copies it to every entry and sidecar; a process replaces it only by a higher
revision.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from gooseberrydale.connection.codec import message
from gooseberrydale.version.quotas.quota import Quota


class ProfileKind(StrEnum):
    """Whether a profile serves model completions or calls to a service."""

    COMPLETION = "completion"
    SERVICE = "service"


@message
@dataclass(frozen=True, slots=True)
class Profile:
    """How one class of traffic is served.

    ``pool`` names the pool of upstreams.  ``repeatable`` says whether a call may run
    more than once.  ``deadline_s`` bounds the time to the first token (for services:
    to the complete answer), in seconds.  ``waste_weight`` scales the cost that routing
    assigns to prompt tokens computed again, relative to time to first token: 0
    considers latency only, 1 counts a recomputed token as if the caller waited for it
    twice.  Higher ``priority`` runs first.
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

    ``profiles`` names the profiles that it may call; empty means all of them.  Its use
    is unlimited without a ``quota`` or with a quota of 0 per second.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    share: float = 1.0
    profiles: tuple[str, ...] = ()
    quota: Quota | None = None

    @property
    def limit(self) -> Quota | None:
        """The quota, or None if use is unlimited."""
        return self.quota if self.quota is not None and self.quota.per_s > 0 else None


@message
@dataclass(frozen=True, slots=True)
class Document:
    """A complete configuration as its operator wrote it.

    Operators number their documents; the highest number is in force.  ``body`` is
    stored as it was sent, so it can be read back unchanged.  ``cache_epoch`` is the
    epoch of cached prefixes that is shared while it is in force; it is set when the
    document is committed.
    """

    number: int
    body: bytes
    cache_epoch: int = 0


@message
@dataclass(frozen=True, slots=True)
class Config:
    """One revision of all declarations.

    ``weights`` maps each model to the version of its weights that engines should
    serve.  ``leaving`` names the upstreams that are to receive no new work.
    ``software`` maps each pool to the software versions that its upstreams run, or ran
    until recently; a pool whose upstreams don't announce themselves is not in it.
    """

    revision: int = 0
    profiles: dict[str, Profile] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    document: Document | None = None
    weights: dict[str, int] = field(default_factory=dict)
    software: dict[str, tuple[str, ...]] = field(default_factory=dict)

    @property
    def quotas(self) -> dict[str, Quota]:
        """The quotas in force by workspace name; computed at each access."""
        limits = {
            workspace.name: workspace.limit for workspace in self.workspaces.values()
        }
        return {name: limit for name, limit in limits.items() if limit is not None}
