"""What the router adds to one send: who may run it, where cache is found, its rank.

Lives as long as the process.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.assignment import Assignment
from gooseberrydale.process.gateway.save_memory import SaveMemory
from gooseberrydale.process.gateway.upstreams import (
    Upstreams,
    cache_salt,
    weights_version,
)
from gooseberrydale.request.gateway_call import Terms

LAST_RANK = 9
"""The lowest rank that engines know."""


LATE_RANKS = 6
"""What a request loses in rank that can't be in time any more: more than declarations
give, so that engines begin with all others first."""


class TermsMaker:
    """Makes the terms of sends; remembers what it asked engines to save."""

    def __init__(self, upstreams: Upstreams) -> None:
        self._upstreams = upstreams
        self._saves = SaveMemory()

    def make(
        self,
        job: Assignment,
        record: UpstreamRecord,
        *,
        late: bool,
        last_event_id: str | None,
    ) -> Terms:
        """The terms of sending ``job`` to one incarnation of an upstream.

        ``late`` says that it can't be in time any more.
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
            priority=min(LAST_RANK, job.rank + LATE_RANKS * late),
            fetch_from=fetch_from,
            save_to=save_to,
        )

    def _transfers(self, job: Assignment, salt: str) -> tuple[str | None, str | None]:
        """Where the engine gets what it lacks of the prompt, and where it puts it."""
        shared = () if job.call.prompt is None else job.call.prompt.shared
        store = self._upstreams.stores.of(shared)
        if store is None:
            return None, None
        if not store.lacks(salt, shared):
            return store.address, None
        now = asyncio.get_running_loop().time()
        due = self._saves.due(salt, shared[-1].key, now)
        # Another gateway may have had it saved just now; a look in vain takes 1 ms.
        return store.address, store.address if due else None
