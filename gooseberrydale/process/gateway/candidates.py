"""Builds the candidates for a request from the state of the upstreams that may take it.

There is one builder per process.  It changes nothing; ``request/placement.py`` chooses
among the candidates.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Protocol

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery, cache_salt
from gooseberrydale.request.placement import Candidate, rank_preferred
from gooseberrydale.version.peer_loads import PeerLoads
from gooseberrydale.version.speeds.speed import Speed
from gooseberrydale.version.stores import Stores
from gooseberrydale.version.upstream_load import Load, UpstreamLoad


class UpstreamStates(Protocol):
    """What is known of each upstream."""

    def load_of(self, name: str) -> UpstreamLoad:
        """Return the load and the failures of an upstream."""

    def is_usable(self, record: UpstreamRecord, now: float) -> bool:
        """Whether an upstream is neither avoided nor carries out an order."""

    def outdated_for_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the time since newer weights than an upstream's were named."""

    def speed(self, record: UpstreamRecord, now: float) -> Speed:
        """Return how fast an upstream works."""

    def memory_fraction(self, pool: str) -> float:
        """Return how much of their declared memory the upstreams of a pool hold."""

    def preferred(self, pool: str, prefix: bytes) -> tuple[str, ...]:
        """Return the upstreams of a pool in the order of preference for a prefix."""


class CandidateBuilder:
    """``zone`` is that of this gateway, ``peers`` the work that others report."""

    def __init__(
        self,
        states: UpstreamStates,
        zone: str,
        peers: PeerLoads,
        stores: Stores,
        rng: random.Random,
    ) -> None:
        self._states = states
        self._zone = zone
        self._peers = peers
        self._stores = stores
        self._rng = rng

    def candidates(
        self,
        query: UpstreamQuery,
        records: Sequence[UpstreamRecord],
        bound_s: float,
        now: float,
    ) -> list[tuple[UpstreamRecord, Candidate]]:
        """Return a candidate for each record, in random order without a shared prefix.

        Those whose weights have been outdated for ``bound_s`` are left out.
        """
        ranks = self._preference_ranks(query)
        stored = self._stored(records, query)
        if not ranks:
            # Otherwise every process would try equal upstreams in the same order.
            records = list(records)
            self._rng.shuffle(records)
        unreported = self._unreported_work(records)
        candidates = [
            (record, self._candidate(record, query, ranks, stored, unreported, now))
            for record in records
        ]
        in_time = [pair for pair in candidates if pair[1].outdated_for_s < bound_s]
        if not ranks:
            return in_time
        by_name = {record.name: record for record, _ in in_time}
        ranked = rank_preferred(candidate for _, candidate in in_time)
        return [(by_name[candidate.name], candidate) for candidate in ranked]

    def _preference_ranks(self, query: UpstreamQuery) -> dict[str, int]:
        prompt = query.prompt
        if prompt is None or not prompt.shared:
            return {}
        prefix = f"{query.scope}|{prompt.shared[-1].key}".encode()
        preferred = self._states.preferred(query.pool.name, prefix)
        return {name: rank for rank, name in enumerate(preferred)}

    def _candidate(
        self,
        record: UpstreamRecord,
        query: UpstreamQuery,
        ranks: Mapping[str, int],
        stored: Collection[str] | None,
        unreported: Load | None,
        now: float,
    ) -> Candidate:
        load = self._states.load_of(record.name)
        size = query.pool.engine
        peers = self._peers.at(record.name) if self._peers else None
        all_work = load.load(now, peers, unreported)
        return Candidate(
            name=record.name,
            load=(
                all_work
                if query.rank is None
                else load.load(now, peers, unreported, query.rank)
            ),
            all_prefill_tokens=all_work.prefill_tokens,
            weights=record.weights_version,
            slots=record.slots or (size.slots if size else 0),
            kv_tokens=size.kv_tokens if size else 0,
            preference_rank=ranks.get(record.name, 0),
            outdated_for_s=self._states.outdated_for_s(record, now),
            stored=stored is not None and record.weights_version in stored,
            store_reports=stored is not None,
            far=record.zone != self._zone,
            error_rate=load.error_rate,
            usable=self._states.is_usable(record, now),
            software=record.software,
            speed=self._states.speed(record, now),
            memory_fraction=self._states.memory_fraction(record.pool),
        )

    def _unreported_work(self, records: Sequence[UpstreamRecord]) -> Load | None:
        """Estimate the work of gateways without reports, at each of ``records``.

        Unreported gateways are assumed to have as much work each as those that report,
        spread evenly over the upstreams.  Scaling each engine's own load instead would
        be wrong by whole prompts: with one prompt in a zone of six gateways, an idle
        engine would seem full.
        """
        unreported_ratio = self._peers.unreported_ratio
        if not unreported_ratio or not records:
            return None
        reported = [self._peers.at(record.name) for record in records]
        per_record = unreported_ratio / len(records)
        return Load(
            requests=per_record * sum(work.requests for work in reported),
            prefill_tokens=per_record * sum(work.prefill_tokens for work in reported),
            kv_tokens=per_record * sum(work.kv_tokens for work in reported),
            unshared_tokens=per_record * sum(work.unshared_tokens for work in reported),
        )

    def _stored(
        self, records: Iterable[UpstreamRecord], query: UpstreamQuery
    ) -> frozenset[str] | None:
        """Return the weights versions under which a store holds the complete prefix.

        None if no store answers.
        """
        shared = () if query.prompt is None else query.prompt.shared
        store = self._stores.store_for(shared)
        if store is None:
            return None
        salts = {
            record.weights_version: cache_salt(record, query.scope)
            for record in records
            if record.model
        }
        return frozenset(v for v, salt in salts.items() if store.holds(salt, shared))
