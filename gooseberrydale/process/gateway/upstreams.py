"""The upstreams of each pool as this process sees them, ready for a choice.

Lives as long as the process.  Records come from the directory; what this process
learns of a life of an upstream itself stands beside them and ends with it.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.request.gateway_call import Prompt
from gooseberrydale.request.members import Members
from gooseberrydale.request.placement import Candidate, Demand
from gooseberrydale.version.declared import EngineSize
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.order_marks import mark_name
from gooseberrydale.version.upstream_load import UpstreamLoad

OTHER_LIFE_AVOID_S = 1.0
"""An address that another life has taken: until the next announcements."""

REFUSED_AVOID_S = 0.15
"""An upstream that has just refused a request; runs end and places get free."""


@dataclass(slots=True)
class _PoolView:
    source: tuple[UpstreamRecord, ...]
    records: tuple[UpstreamRecord, ...]
    members: Members


class Upstreams:
    """Pools by name; ``weights`` is what operators named, by model."""

    def __init__(self, directory: Directory, zone: str, rng: random.Random) -> None:
        self._directory = directory
        self._zone = zone
        self._rng = rng
        self._pools: dict[str, _PoolView] = {}
        self._loads: dict[str, UpstreamLoad] = {}

    def load_of(self, name: str) -> UpstreamLoad:
        """What this process knows of the life ``name`` of an upstream."""
        if name not in self._loads:
            self._loads[name] = UpstreamLoad()
        return self._loads[name]

    def records(self, pool: str, now: float) -> tuple[UpstreamRecord, ...]:
        """The upstreams of ``pool`` that take new work, as far as is known.

        If none is announced any more, the last ones known stay: that every upstream
        is gone at once is less likely than that nobody is there to announce them to.
        One that has said that it leaves is never among them.
        """
        ready = self._directory.ready(pool, now)
        view = self._pools.get(pool)
        if view is not None and (view.source is ready or not ready):
            if not ready:
                view.records = tuple(r for r in view.records if self._may_stay(r, now))
            return view.records
        if view is None:
            view = self._pools[pool] = _PoolView(ready, ready, Members(pool, ""))
        view.source = view.records = ready
        view.members.refresh(ready)
        return ready

    def candidates(
        self,
        pool: str,
        prompt: Prompt | None,
        scope: str,
        size: EngineSize | None,
        weights: Mapping[str, int],
        skipped: Collection[str],
        now: float,
    ) -> list[tuple[UpstreamRecord, Candidate]]:
        """The upstreams of ``pool`` but for ``skipped``, with what speaks for each.

        ``scope`` keeps equal prompts apart that share no cache.
        """
        records = [r for r in self.records(pool, now) if r.name not in skipped]
        ranks = self._home_ranks(pool, prompt, scope)
        if not ranks:
            # Nothing tells equal upstreams apart; every process draws its own order.
            self._rng.shuffle(records)
        return [
            (
                record,
                self._candidate(record, ranks.get(record.name, 0), size, weights, now),
            )
            for record in records
            if prompt is None or not record.model or record.model == prompt.model
        ]

    def sweep(self, now: float) -> set[str]:
        """Forget lives that are gone; return the names of those that are known."""
        known = {record.name for record in self._directory.records(now)}
        for view in self._pools.values():
            known.update(record.name for record in view.records)
        for name in self._loads.keys() - known:
            del self._loads[name]
        return known

    def _may_stay(self, record: UpstreamRecord, now: float) -> bool:
        newest = self._directory.get(record.name, now)
        return newest is None or (newest.ready and not newest.leaving)

    def _home_ranks(
        self, pool: str, prompt: Prompt | None, scope: str
    ) -> dict[str, int]:
        view = self._pools.get(pool)
        if prompt is None or view is None or not prompt.shared:
            return {}
        key = f"{scope}|{prompt.shared[-1].key}".encode()
        return {name: rank for rank, name in enumerate(view.members.homes(key))}

    def _candidate(
        self,
        record: UpstreamRecord,
        rank: int,
        size: EngineSize | None,
        weights: Mapping[str, int],
        now: float,
    ) -> Candidate:
        load = self.load_of(record.name)
        named = weights.get(record.model, 0) if record.model else 0
        mark = self._directory.get(mark_name(record.name), now)
        changing = mark is not None and mark.ready
        resting = max(load.suspect_until, load.avoid_until) > now
        return Candidate(
            name=record.name,
            load=load.load(now),
            slots=record.slots or (size.slots if size else 0),
            kv_tokens=size.kv_tokens if size else 0,
            home_rank=rank,
            old_weights=int(record.weights_version or 0) < named,
            far=record.zone != self._zone,
            error_share=load.error_share,
            usable=not changing and not resting,
        )


def demand_of(prompt: Prompt | None) -> Demand:
    """What a prompt needs; the outermost shared part is taken to lie everywhere."""
    if prompt is None:
        return Demand()
    shared = prompt.shared
    common = shared[0].tokens if len(shared) > 1 else 0
    shared_tokens = sum(part.tokens for part in shared) - common
    own = max(0, prompt.tokens - shared_tokens - common)
    return Demand(own, shared_tokens, common, prompt.max_new_tokens)
