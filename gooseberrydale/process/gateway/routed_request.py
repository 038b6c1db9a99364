"""A request that was matched to its route, pool and workspace, before it is sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property

from gooseberrydale.process.quota_client import QuotaDemand
from gooseberrydale.request.capacity_decision import CapacityDecision
from gooseberrydale.request.gateway_call import CallerRequest
from gooseberrydale.request.prompt_parts import shared_parts
from gooseberrydale.request.retry_after import REMAINING_TIME_FRACTION
from gooseberrydale.version.declared import KeyHolder, Pool, Route
from gooseberrydale.version.origins.origin import StreamOrigin

ORIGIN_MARGIN_S = 5.0
"""Added to the time for which a stream's origin is kept, as callers are not exact."""


@dataclass(frozen=True)
class RoutedRequest:
    """A request with its route, its pool and its workspace.

    ``arrived_at`` and ``deadline_at`` are the event loop's times of its arrival and its
    deadline; ``fingerprint`` is the same for each repeat of the request.  ``origin`` is
    what began the stream that the request continues, None if it continues none; the
    origin of its stream is recorded under ``stream_key``.  ``shared_rank`` is its rank
    among all declared requests if they share the capacity of its pool, else None.
    ``cache_scopes`` returns the scope of a workspace under the newest document.
    """

    call: CallerRequest
    route: Route
    pool: Pool
    body: bytes
    arrived_at: float
    deadline_at: float
    workspace: KeyHolder | None
    cache_scopes: Callable[[KeyHolder | None], str]
    fingerprint: bytes = b""
    origin: StreamOrigin | None = None
    stream_key: bytes = b""
    shared_rank: int | None = None

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again."""
        route = self.route
        return route.resumable if route.streamed else route.repeatable

    @property
    def rank(self) -> int:
        """Its priority, 0 first; a workspace's takes precedence over a route's."""
        if self.shared_rank is not None:
            return self.shared_rank
        holder = self.workspace
        if holder is not None and holder.priority is not None:
            return holder.priority
        return self.route.priority

    @property
    def scope(self) -> str:
        """What separates the cached prefixes that the request may use now.

        It changes while the request waits if a newer document isolates a workspace.
        """
        return self.cache_scopes(self.workspace)

    @cached_property
    def parts(self) -> tuple[bytes, ...]:
        """Digests of the parts that its prompt shares with other requests."""
        return shared_parts(self.call.prompt)

    @property
    def undecided(self) -> CapacityDecision:
        """What is known of a decision about its capacity before anything decides."""
        holder = self.workspace
        return CapacityDecision(
            pool=self.pool.name,
            rank=self.rank,
            workspace="" if holder is None else holder.name,
        )

    def left_s(self) -> float:
        """Seconds until the deadline; below 0 once it has passed."""
        return self.deadline_at - asyncio.get_running_loop().time()

    def origin_keep_s(self) -> float:
        """How long the caller may still take up the stream of this request.

        It does so within its own time, also past the route's.
        """
        now = asyncio.get_running_loop().time()
        wait_s = self.call.wait_s
        if wait_s is None:
            wait_s = self.route.timeout_s
        return max(0.0, self.arrived_at + wait_s - now) + ORIGIN_MARGIN_S


def want_of(job: RoutedRequest) -> QuotaDemand | None:
    """Return what a request takes of its workspace's quota; None if it has none."""
    holder, prompt = job.workspace, job.call.prompt
    if holder is None or holder.quota is None:
        return None
    return QuotaDemand(
        workspace=holder.name,
        quota=holder.quota,
        cost=holder.quota.cost(None if prompt is None else prompt.usage),
        rank=job.rank,
        request=job.fingerprint,
        wait_limit_s=max(0.0, job.left_s()) * REMAINING_TIME_FRACTION,
    )
