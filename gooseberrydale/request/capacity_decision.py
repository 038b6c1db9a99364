"""What decided about a request that competed for capacity, and the cause it points to.

Pure data and one rule, used by the log, the metrics and the analysis of logs alike, so
that all three give the same cause for the same request.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any, Self

GATEWAY_OVERLOADED = "gateway_overloaded"
"""The outcome of a request that its gateway declined because it lacks a resource."""

SLOWED = 1.5
"""From this slowness on, an upstream counts as slowed down: above what rounding and a
single late answer can make of 1.0, below the 2.5 of a noisy neighbour."""

NO_RANK = -1
"""``behind_rank`` of a request that waited behind no other."""


class CapacityCause(StrEnum):
    """Why a request was refused or late although its pool has upstreams."""

    GATEWAY_OVERLOADED = "gateway_overloaded"
    OVER_SHARE = "over_share"
    BEHIND_URGENT = "behind_urgent"
    QUEUED = "queued"
    UPSTREAM_SLOWED = "upstream_slowed"
    NO_CAPACITY = "no_capacity"


@dataclass(frozen=True, slots=True)
class CapacityDecision:
    """The values that decided about a request under competition.

    ``rank`` 0 is the most urgent.  ``workspace`` is empty on public routes, ``pool`` if
    the request was not forwarded.
    ``over_share`` is whether the workspace used more than its share of the pool.
    ``queued_behind`` is the number of requests ahead when this one began to wait, and
    ``behind_rank`` the most urgent rank among them, ``NO_RANK`` if there were none.
    ``backlog_tokens`` is the fleet's waiting work ahead.  ``limit`` is the learned
    fraction of declared capacity that the upstreams hold, 0 if none was applied.
    ``slowness`` is how many times longer than usual the chosen upstream takes, 1 as
    usual; for a refused request, the one that could have served it first.
    ``decided_ms`` is the age of the youngest report from another gateway that
    decided, 0 if none did.
    """

    pool: str = ""
    rank: int = 0
    workspace: str = ""
    over_share: bool = False
    queued_behind: int = 0
    behind_rank: int = NO_RANK
    backlog_tokens: float = 0.0
    limit: float = 0.0
    slowness: float = 1.0
    decided_ms: float = 0.0

    @classmethod
    def from_fields(cls, content: Mapping[str, Any]) -> Self:
        """Return the decision in the fields of a log line; missing ones are neutral."""
        known = {item.name: content.get(item.name) for item in fields(cls)}
        return cls(
            **{name: value for name, value in known.items() if value is not None}
        )

    @property
    def waited(self) -> bool:
        """Whether the request waited behind others."""
        return self.queued_behind > 0

    @property
    def waited_behind_urgent(self) -> bool:
        """Whether more urgent requests were among those ahead."""
        return self.waited and NO_RANK < self.behind_rank < self.rank

    @property
    def slowed(self) -> bool:
        """Whether the upstream was considerably slower than usual."""
        return self.slowness >= SLOWED


def refusal_cause(outcome: str, decision: CapacityDecision) -> CapacityCause:
    """Return why a request was refused that ended as ``outcome``."""
    if outcome == GATEWAY_OVERLOADED:
        return CapacityCause.GATEWAY_OVERLOADED
    if decision.over_share:
        return CapacityCause.OVER_SHARE
    if decision.waited_behind_urgent:
        return CapacityCause.BEHIND_URGENT
    if decision.slowed:
        return CapacityCause.UPSTREAM_SLOWED
    return CapacityCause.QUEUED if decision.waited else CapacityCause.NO_CAPACITY


def lateness_cause(decision: CapacityDecision, *, held: bool) -> CapacityCause | None:
    """Return why a request was answered late; None if competition did not cause it.

    ``held`` is whether it waited for a considerable part of its objective.  A request
    that was sent at once is not late because its workspace is over its share, and one
    that waited in the queue is not late because its upstream is slow.
    """
    if not held:
        return CapacityCause.UPSTREAM_SLOWED if decision.slowed else None
    if not decision.waited:
        return None
    if decision.over_share:
        return CapacityCause.OVER_SHARE
    if decision.waited_behind_urgent:
        return CapacityCause.BEHIND_URGENT
    return CapacityCause.QUEUED
