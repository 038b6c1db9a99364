"""What is known of a request before it is sent anywhere.

Lives for one request.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from gooseberrydale.process.quota_client import Want
from gooseberrydale.request.comeback import PART_OF_LEFT
from gooseberrydale.request.gateway_call import CallerCall
from gooseberrydale.version.declared import KeyHolder, Pool, Route


@dataclass(frozen=True, slots=True)
class Assignment:
    """A request with its route, its pool and its workspace.

    ``began_at`` and ``until`` are the times of the loop between which it lives;
    ``fingerprint`` is the same for each repeat of the request.
    """

    call: CallerCall
    route: Route
    pool: Pool
    body: bytes
    began_at: float
    until: float
    workspace: KeyHolder | None
    fingerprint: bytes = b""

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again."""
        route = self.route
        return route.resumable if route.streamed else route.repeatable

    @property
    def rank(self) -> int:
        """Its rank among others, 0 first; a workspace's goes before its route's."""
        holder = self.workspace
        if holder is not None and holder.priority is not None:
            return holder.priority
        return self.route.priority

    @property
    def scope(self) -> str:
        """Names the workspace if nothing computed for it may be shared with others."""
        holder = self.workspace
        return holder.name if holder is not None and holder.isolated else ""

    def left_s(self) -> float:
        """Seconds that the request has left; below 0 once it is over."""
        return self.until - asyncio.get_running_loop().time()


def want_of(job: Assignment) -> Want | None:
    """What a request needs of its workspace's quota; None without one."""
    holder, prompt = job.workspace, job.call.prompt
    if holder is None or holder.quota is None:
        return None
    return Want(
        workspace=holder.name,
        quota=holder.quota,
        cost=holder.quota.cost(None if prompt is None else prompt.usage),
        rank=job.rank,
        request=job.fingerprint,
        patience_s=max(0.0, job.left_s()) * PART_OF_LEFT,
    )
