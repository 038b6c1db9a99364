"""Events about capacity that requests compete for: shares, reservations and speeds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale.log_events.base import LogEvent


@dataclass(frozen=True, slots=True)
class CapacitySharingChanged(LogEvent):
    """Capacity sharing began or ceased to apply to a pool at this gateway.

    ``reason`` is ``settings``, or ``slowness`` if an upstream stated how slow it is.
    ``parts`` are the settings of the parts that apply, such as ``queue_requests``.
    """

    NAME: ClassVar[str] = "capacity_sharing"
    TEXT: ClassVar[str] = "capacity sharing changed"

    pool: str
    applies: bool
    reason: str
    parts: list[str]


@dataclass(frozen=True, slots=True)
class WorkspaceShareCrossed(LogEvent):
    """A workspace went over its share of a pool, or back within it.

    ``used_per_s`` is what the fleet sent for it and ``level_per_s`` its share, both in
    tokens per second; the share is 0 while nothing limits it.  ``age_ms`` is the age of
    the youngest report from another gateway that counted, 0 if none did.
    """

    NAME: ClassVar[str] = "workspace_share"
    TEXT: ClassVar[str] = "workspace crossed its share"

    pool: str
    workspace: str
    over: bool
    used_per_s: float
    level_per_s: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class ReservationOwnerChanged(LogEvent):
    """Another gateway now decides about reservations at ``upstream``.

    ``owner`` is empty while none answers and equal parts apply.  ``reason`` says why
    ``before`` was replaced: ``silent``, ``gone``, ``back`` or ``joined``.
    """

    NAME: ClassVar[str] = "reservation_owner"
    TEXT: ClassVar[str] = "owner of reservations changed"

    upstream: str
    owner: str
    before: str
    reason: str


@dataclass(frozen=True, slots=True)
class UpstreamSpeedChanged(LogEvent):
    """The learned factor of an upstream's speed crossed a coarse step.

    ``factor`` and ``before`` are relative to the mean of the pool.  ``samples`` is the
    number of answers that the new value is learned from.
    """

    NAME: ClassVar[str] = "upstream_speed"
    TEXT: ClassVar[str] = "learned speed changed"

    pool: str
    upstream: str
    factor: float
    before: float
    samples: int


@dataclass(frozen=True, slots=True)
class GatewayOverloaded(LogEvent):
    """This gateway began to decline requests, changed which ones, or ceased to.

    ``reason`` names what is short: the event loop, or one of link, descriptors and
    memory.  ``used`` is the largest used fraction of these three.  Requests of
    ``from_rank`` and less urgent ones are declined; it is None if none are any more.
    """

    NAME: ClassVar[str] = "gateway_overloaded"
    TEXT: ClassVar[str] = "gateway declines requests"
    LEVEL: ClassVar[str] = "WARNING"

    reason: str
    used: float
    from_rank: int | None
