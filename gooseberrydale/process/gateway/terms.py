"""Makes the terms that the router adds to a send.

Terms name the incarnation that may run the request, where it gets cached prefixes, and
its priority.  There is one maker per process.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.recent_saves import RecentSaves
from gooseberrydale.process.gateway.routed_request import RoutedRequest
from gooseberrydale.process.gateway.upstream_query import cache_salt, weights_version
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.request.gateway_call import Terms

LOWEST_RANK = 9
"""The lowest rank that engines accept."""

LATE_RANK_PENALTY = 6
"""Added to the rank of a request that can't meet its objective any more.  It is more
than declarations give, so engines start all other requests first."""


class TermsMaker:
    """Makes the terms of sends and remembers which saves it requested."""

    def __init__(self, upstreams: Upstreams) -> None:
        self._upstreams = upstreams
        self._saves = RecentSaves()

    def make(
        self,
        job: RoutedRequest,
        record: UpstreamRecord,
        *,
        late: bool,
        last_event_id: str | None,
    ) -> Terms:
        """Return the terms of sending ``job`` to one incarnation of an upstream.

        ``late`` is whether the request can't meet its objective any more.
        """
        holder = job.workspace
        terms = Terms(
            instance=record.name,
            left_s=max(0.0, job.left_s()),
            workspace=None if holder is None else holder.name,
            last_event_id=last_event_id,
        )
        if not record.model:
            return terms
        salt = cache_salt(record, job.scope)
        fetch_from, save_to = self._transfers(job, salt)
        return replace(
            terms,
            weights_version=weights_version(record),
            cache_salt=salt,
            priority=min(LOWEST_RANK, job.rank + LATE_RANK_PENALTY * late),
            fetch_from=fetch_from,
            save_to=save_to,
        )

    def _transfers(
        self, job: RoutedRequest, salt: str
    ) -> tuple[str | None, str | None]:
        """Return the stores to fetch the shared prefix from, and to save it to."""
        shared = () if job.call.prompt is None else job.call.prompt.shared
        store = self._upstreams.stores.store_for(shared)
        if store is None:
            return None, None
        if not store.lacks(salt, shared):
            return store.address, None
        now = asyncio.get_running_loop().time()
        due = self._saves.due(salt, shared[-1].key, now)
        # Fetch anyway: another gateway may just have saved it, and a miss costs 1 ms.
        return store.address, store.address if due else None
