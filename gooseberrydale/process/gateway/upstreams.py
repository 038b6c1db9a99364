"""The upstreams of each pool as this process sees them, ready for a choice.

Lives as long as the process.  Records come from the directory; what this process
learns of an incarnation of an upstream itself stands beside them and ends with it.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from gooseberrydale.connection.mesh import GATEWAY_ROLE, UpstreamRecord
from gooseberrydale.log_events import (
    UpstreamBackoff,
    UpstreamEnded,
    UpstreamLeaving,
    UpstreamLimited,
    emit,
)
from gooseberrydale.request.fingerprint import shown
from gooseberrydale.request.gateway_call import Prompt
from gooseberrydale.request.members import Members
from gooseberrydale.request.placement import Candidate, Demand, homes_in_reach
from gooseberrydale.version.declared import Pool
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.open_runs import Run, RunEnd
from gooseberrydale.version.order_marks import is_mark, mark_name
from gooseberrydale.version.peer_loads import PeerLoads, UpstreamWork
from gooseberrydale.version.stores import Stores
from gooseberrydale.version.upstream_limits import UpstreamLimits
from gooseberrydale.version.upstream_load import Load, UpstreamLoad

MS_PER_S = 1_000.0

GONE_AVOID_S = 60.0
"""An incarnation whose address another one has taken is over: until its record is
gone."""

REFUSED_AVOID_S = 0.25
"""An upstream that has just refused a request; half of the time that a change of
weights takes, and that of some runs, after which places get free."""

OLD_WEIGHTS_MARGIN_S = 2.5
"""Work may wait for its start inside an engine; so engines with overtaken weights get
none for this long before it may not start there any more.  Callers give up after 2 to
2.4 s without an event; requests that gave way began up to 2.3 s after their send."""


@dataclass(frozen=True, slots=True)
class Sought:
    """What a request looks for: an upstream of ``pool`` that was not tried.

    ``scope`` keeps equal prompts apart that share no cache.
    """

    pool: Pool
    prompt: Prompt | None
    scope: str
    tried: Collection[str] = ()


@dataclass(slots=True)
class _PoolView:
    source: tuple[UpstreamRecord, ...]
    records: tuple[UpstreamRecord, ...]
    members: Members


class Upstreams:
    """Pools by name, and what is known of each upstream.

    ``weights_bound_s`` is for how long work may start on overtaken weights; ``stores``
    are those of KV cache, ``limits`` the rates that upstreams limit themselves to.
    What ran at those that end is told to ``ended_incarnations``.
    """

    def __init__(
        self,
        directory: Directory,
        zone: str,
        rng: random.Random,
        peers: PeerLoads,
        weights: NamedWeights,
        weights_bound_s: float,
        stores: Stores,
        ended_incarnations: EndedIncarnations,
        limits: UpstreamLimits,
    ) -> None:
        self._directory = directory
        self._zone = zone
        self.rng = rng
        self._peers = peers
        self._weights = weights
        self._weights_bound_s = weights_bound_s - OLD_WEIGHTS_MARGIN_S
        self.stores = stores
        self.ended_incarnations = ended_incarnations
        self.limits = limits
        self._pools: dict[str, _PoolView] = {}
        self._loads: dict[str, UpstreamLoad] = {}
        # The incarnation of each upstream that the load is of.
        self._incarnations: dict[str, str] = {}
        self._at_address: dict[str, str] = {}

    def load_of(self, name: str) -> UpstreamLoad:
        """What this process knows of the incarnation ``name`` of an upstream."""
        if name not in self._loads:
            self._loads[name] = UpstreamLoad(self._incarnations.get(name, ""))
        return self._loads[name]

    def refused(self, name: str, now: float, *, gone: bool) -> None:
        """An upstream did not take a request; ``gone`` says that its incarnation is
        over."""
        self.load_of(name).avoid(now, GONE_AVOID_S if gone else REFUSED_AVOID_S)
        if gone:
            self.ended(
                name, self.load_of(name), now, "another incarnation has its address"
            )

    def ended(self, name: str, load: UpstreamLoad, now: float, reason: str) -> None:
        """An incarnation of an upstream has ended, with all that it ran.

        One that has said that it leaves ends by itself; long streams meet several of
        these while upstreams are replaced one after the other.
        """
        known = load.runs.is_over
        lost = load.runs.over(now)
        record = self._directory.get(name, now)
        if not load.is_leaving and (record is None or not record.leaving):
            self.ended_incarnations.report(
                incarnation_name(name, load.incarnation), lost, now
            )
        if lost or not known:
            waiting = [shown(one) for one in lost.waiting]
            answering = [shown(one) for one in lost.answering]
            emit(UpstreamEnded(name, reason, waiting, answering))

    def run_ended(
        self, name: str, load: UpstreamLoad, run: Run, now: float, end: RunEnd
    ) -> None:
        """A send to an incarnation of an upstream has ended."""
        load.runs.ended(run, now, end)
        if load.runs.is_over and end is not RunEnd.ANSWERED:
            self.ended(name, load, now, "a connection broke after the end")

    def refusing(self, now: float) -> tuple[str, ...]:
        """The upstreams that refused a request of this process just now."""
        return tuple(
            name
            for name, load in self._loads.items()
            if load.avoid_until > now and not load.told_to_avoid
        )

    def peer_refused(self, names: Collection[str], now: float) -> None:
        """Another gateway was refused by these upstreams just now."""
        for name in names:
            load = self.load_of(name)
            if load.avoid_until <= now:
                load.avoid(now, REFUSED_AVOID_S, told=True)

    def doubtful(self, now: float) -> list[UpstreamRecord]:
        """Upstreams that shall be asked now whether they are there."""
        found = []
        for view in self._pools.values():
            for record in view.records:
                load = self._loads.get(record.name)
                if load is None:
                    continue
                broke = load.runs.take_doubt()
                if load.silence.is_doubtful(now, load.suspect_until) or broke:
                    found.append(record)
        return found

    def silent(self, now: float) -> tuple[str, ...]:
        """The upstreams that this process takes for dead."""
        return tuple(
            name for name, load in self._loads.items() if load.suspect_until > now
        )

    def peer_silent(self, names: Collection[str], now: float) -> None:
        """Another gateway takes these upstreams for dead; they are asked."""
        for name in names:
            load = self.load_of(name)
            if load.suspect_until <= now and load.silence.doubt(now):
                load.avoid(now, REFUSED_AVOID_S, told=True)

    def works(self) -> tuple[UpstreamWork, ...]:
        """This process's work at each upstream, for the other gateways."""
        return tuple(
            UpstreamWork(name, *load.own)
            for name, load in self._loads.items()
            if load.own[0]
        )

    def records(self, pool: str, now: float) -> tuple[UpstreamRecord, ...]:
        """The upstreams of ``pool`` that take new work, as far as is known.

        If none is announced any more, the last ones known stay: that every upstream
        is gone at once is less likely than that nobody is there to announce them to.
        One that has said that it leaves is never among them.
        """
        ready = self._directory.ready(pool, now)
        view = self._pools.get(pool)
        if view is None:
            view = self._pools[pool] = _PoolView((), (), Members(pool, ""))
        if not ready:
            view.records = tuple(r for r in view.records if self._may_stay(r, now))
        elif view.source is not ready:
            view.source = view.records = ready
            self._forget_earlier_incarnations(ready, now)
            view.members.refresh(ready)
        return view.records

    def candidates(
        self, sought: Sought, now: float
    ) -> list[tuple[UpstreamRecord, Candidate]]:
        """The upstreams that may take the request, with what speaks for each.

        Those that have served overtaken weights for too long, or that take nothing from
        this gateway now, are left out.
        """
        records = [
            record
            for record in self._sought_records(sought, now)
            if self._turn_s(record, now) <= 0.0
        ]
        ranks = self._home_ranks(sought)
        stored = self._stored(records, sought)
        if not ranks:
            # Nothing tells equal upstreams apart; every process draws its own order.
            self.rng.shuffle(records)
        unseen = self._unseen(records)
        found = [
            (record, self._candidate(record, sought, ranks, stored, unseen, now))
            for record in records
        ]
        bound_s = self._weights_bound_s
        in_time = [pair for pair in found if pair[1].old_for_s < bound_s]
        if not ranks:
            return in_time
        by_name = {record.name: record for record, _ in in_time}
        settled = homes_in_reach(one for _, one in in_time)
        return [(by_name[one.name], one) for one in settled]

    def next_turn_s(self, sought: Sought, now: float) -> float | None:
        """Seconds until an upstream takes the request, if all of them limit what they
        take; None if one of them does not, or none is known."""
        turns = [self._turn_s(one, now) for one in self._sought_records(sought, now)]
        soonest = min(turns, default=0.0)
        return soonest if soonest > 0.0 else None

    def limited(self, name: str, per_s: float | None, now: float) -> None:
        """An answer of an upstream names a limit of its rate, or none."""
        before_per_s = self.limits.per_s(name)
        self.limits.answered(name, per_s, now)
        if per_s != before_per_s:
            emit(UpstreamLimited(name, per_s, before_per_s))

    def back_off(self, name: str, for_s: float, now: float) -> None:
        """An upstream wants no request from this gateway for ``for_s`` seconds."""
        self.load_of(name).back_off(now, for_s)
        emit(UpstreamBackoff(name, round(for_s * MS_PER_S, 1)))

    def leaving(self, name: str, now: float) -> None:
        """An answer of an upstream says that it leaves."""
        if self.load_of(name).leaves(now):
            emit(UpstreamLeaving(name))

    def count(self, now: float) -> int:
        """How many upstreams are announced."""
        records = self._directory.records(now)
        return sum(one.kind != GATEWAY_ROLE and not is_mark(one) for one in records)

    def suspected(self, now: float) -> int:
        """How many upstreams are left alone after a failure."""
        return sum(load.suspect_until > now for load in self._loads.values())

    def sweep(self, now: float) -> set[str]:
        """Forget incarnations that are gone; return the names of those that are
        known."""
        known = {record.name for record in self._directory.records(now)}
        for view in self._pools.values():
            known.update(record.name for record in view.records)
        self.limits.retain(known, now)
        for name in self._loads.keys() - known:
            if not self._loads[name].outlasts_record(now):
                del self._loads[name]
        for name in self._incarnations.keys() - known:
            del self._incarnations[name]
        for address, name in list(self._at_address.items()):
            if name not in known:
                del self._at_address[address]
        return known

    def _forget_earlier_incarnations(
        self, records: Iterable[UpstreamRecord], now: float
    ) -> None:
        """What was learned of an earlier incarnation says nothing about the one
        after."""
        for record in records:
            incarnation = self._incarnations.get(record.name)
            if incarnation == record.incarnation:
                continue
            if incarnation is not None:
                self._end_incarnation(record.name, now, "it has started again")
                self._loads.pop(record.name, None)
                self.limits.forget(record.name)
            self._incarnations[record.name] = record.incarnation
            self.load_of(record.name).incarnation = record.incarnation
            self._end_incarnation_at(record, now)

    def _end_incarnation_at(self, newcomer: UpstreamRecord, now: float) -> None:
        """Whoever had the address of an upstream that is new there has ended."""
        before = self._at_address.get(newcomer.address, newcomer.name)
        self._at_address[newcomer.address] = newcomer.name
        if before != newcomer.name:
            self._end_incarnation(before, now, "another upstream has its address")

    def _end_incarnation(self, name: str, now: float, reason: str) -> None:
        load = self._loads.get(name)
        if load is not None:
            self.ended(name, load, now, reason)

    def _sought_records(self, sought: Sought, now: float) -> list[UpstreamRecord]:
        return [
            record
            for record in self.records(sought.pool.name, now)
            if record.name not in sought.tried
            and _serves(record, sought.prompt)
            and not self.load_of(record.name).is_leaving
        ]

    def _turn_s(self, record: UpstreamRecord, now: float) -> float:
        """Seconds until an upstream takes a request of this gateway."""
        backoff_s = self.load_of(record.name).backoff_until - now
        return max(backoff_s, self.limits.wait_s(record.name, now))

    def _may_stay(self, record: UpstreamRecord, now: float) -> bool:
        newest = self._directory.get(record.name, now)
        return newest is None or (newest.ready and not newest.leaving)

    def _home_ranks(self, sought: Sought) -> dict[str, int]:
        prompt = sought.prompt
        if prompt is None or not prompt.shared:
            return {}
        key = f"{sought.scope}|{prompt.shared[-1].key}".encode()
        homes = self._pools[sought.pool.name].members.homes(key)
        return {name: rank for rank, name in enumerate(homes)}

    def _candidate(
        self,
        record: UpstreamRecord,
        sought: Sought,
        ranks: Mapping[str, int],
        stored: Collection[str] | None,
        unseen: Load | None,
        now: float,
    ) -> Candidate:
        load = self.load_of(record.name)
        size = sought.pool.engine
        peers = self._peers.at(record.name) if self._peers else None
        resting = max(load.suspect_until, load.avoid_until) > now
        return Candidate(
            name=record.name,
            load=load.load(now, peers, unseen),
            weights=record.weights_version,
            slots=record.slots or (size.slots if size else 0),
            kv_tokens=size.kv_tokens if size else 0,
            home_rank=ranks.get(record.name, 0),
            old_for_s=self._old_for_s(record, now),
            stored=stored is not None and record.weights_version in stored,
            store_heard=stored is not None,
            far=record.zone != self._zone,
            error_share=load.error_share,
            usable=not resting and not self.is_changing(record, now),
        )

    def _unseen(self, records: Sequence[UpstreamRecord]) -> Load | None:
        """What gateways that are not heard have at each of these, spread evenly.

        Each engine's load times their number would be wrong by whole prompts: with one
        prompt of a zone of six an idle engine would seem full.
        """
        unheard = self._peers.unheard
        if not unheard or not records:
            return None
        known = [self._peers.at(record.name) for record in records]
        part = unheard / len(records)
        return Load(
            requests=part * sum(one.requests for one in known),
            prefill_tokens=part * sum(one.prefill_tokens for one in known),
            kv_tokens=part * sum(one.kv_tokens for one in known),
        )

    def is_changing(self, record: UpstreamRecord, now: float) -> bool:
        """Whether an upstream carries out an order and shall become free for it."""
        mark = self._directory.get(mark_name(record.name), now)
        return mark is not None and mark.ready

    def _old_for_s(self, record: UpstreamRecord, now: float) -> float:
        if not record.model:
            return 0.0
        version = weights_version(record)
        return self._weights.old_for_s(record.model, version, now)

    def _stored(
        self, records: Iterable[UpstreamRecord], sought: Sought
    ) -> frozenset[str] | None:
        """The weights versions under which a store holds the whole prefix.

        None if no store answers.
        """
        shared = () if sought.prompt is None else sought.prompt.shared
        store = self.stores.of(shared)
        if store is None:
            return None
        salts = {
            record.weights_version: cache_salt(record, sought.scope)
            for record in records
            if record.model
        }
        return frozenset(v for v, salt in salts.items() if store.holds(salt, shared))


def incarnation_name(name: str, incarnation: str) -> str:
    """Names one incarnation of an upstream, the same in every process."""
    return f"{name}@{incarnation}" if incarnation else name


def weights_version(record: UpstreamRecord) -> int:
    """The weights version that an upstream serves; 0 if it told none."""
    return int(record.weights_version or 0)


def cache_salt(record: UpstreamRecord, scope: str) -> str:
    """Keeps apart what other weights or an isolated workspace computed."""
    parts = [record.model, record.weights_version, *([scope] if scope else [])]
    return ".".join(parts)


def demand_of(prompt: Prompt | None) -> Demand:
    """What a prompt needs; the outermost shared part is taken to lie everywhere."""
    if prompt is None:
        return Demand()
    shared = prompt.shared
    common = shared[0].tokens if len(shared) > 1 else 0
    shared_tokens = sum(part.tokens for part in shared) - common
    own = max(0, prompt.tokens - shared_tokens - common)
    return Demand(own, shared_tokens, common, prompt.max_new_tokens)


def _serves(record: UpstreamRecord, prompt: Prompt | None) -> bool:
    return prompt is None or not record.model or record.model == prompt.model
