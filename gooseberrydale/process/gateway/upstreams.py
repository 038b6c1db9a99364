"""The upstreams of each pool and their state.

There is one ``Upstreams`` per process.  Records come from the directory; what this
process itself observes of an incarnation of an upstream is stored beside its record and
dropped once the incarnation has ended.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from gooseberrydale.connection.mesh import GATEWAY_ROLE, UpstreamRecord
from gooseberrydale.log_events import (
    UpstreamBackoff,
    UpstreamEnded,
    UpstreamLeaving,
    UpstreamLimited,
    emit,
)
from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.candidates import CandidateBuilder
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.process.gateway.upstream_query import (
    UpstreamQuery,
    serves,
    weights_version,
)
from gooseberrydale.request.fingerprint import fingerprint_text
from gooseberrydale.request.members import Members
from gooseberrydale.request.placement import Candidate
from gooseberrydale.request.prompt_parts import parts_text
from gooseberrydale.version.capacity.limits import (
    MEMORY_FRACTION,
    CapacityLimits,
)
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.ended_parts import HarmfulParts
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.open_runs import Run, RunEnd
from gooseberrydale.version.order_marks import is_mark, mark_name
from gooseberrydale.version.part_trials import PartTrials
from gooseberrydale.version.peer_loads import PeerLoads, UpstreamWork
from gooseberrydale.version.speeds.speed import NEUTRAL, Speed
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from gooseberrydale.version.stores import Stores
from gooseberrydale.version.upstream_limits import UpstreamLimits
from gooseberrydale.version.upstream_load import Load, UpstreamLoad

MS_PER_S = 1_000.0

REPLACED_AVOID_S = 60.0
"""How long an incarnation is avoided after another one was found at its address: it
has ended, and its record expires within this time."""

REFUSED_AVOID_S = 0.25
"""How long an upstream is avoided after it refused a request: half of the time that a
change of weights takes, and that of some runs, whose end frees slots."""

OLD_WEIGHTS_MARGIN_S = 2.5
"""How long before the bound on outdated weights an engine stops getting new work,
as work may wait inside the engine before it starts.  Callers give up after 2 to 2.4 s
without an event; preempted requests started up to 2.3 s after they were sent."""

ABORT_LEAD_S = 0.2
"""How long before that bound a request that has not started is aborted, so that the
abort reaches the engine in time."""


@dataclass(slots=True)
class _PoolView:
    source: tuple[UpstreamRecord, ...]
    records: tuple[UpstreamRecord, ...]
    members: Members


class Upstreams:
    """The pools by name, and the state of each upstream.

    ``weights_bound_s`` is how long work may still start on outdated weights.
    ``stores`` are the KV cache stores, ``limits`` the rate limits that upstreams
    announce.  The runs that an upstream loses when it ends are reported to
    ``ended_incarnations``.  Without ``trials``, no quarantined request is tried;
    without ``sharing``, no capacity is shared.
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
        trials: PartTrials | None = None,
        sharing: CapacitySharing | None = None,
        speeds: UpstreamSpeeds | None = None,
    ) -> None:
        self._directory = directory
        self.rng = rng
        self._peers = peers
        self._weights = weights
        self._send_bound_s = weights_bound_s - OLD_WEIGHTS_MARGIN_S
        self._abort_bound_s = weights_bound_s - ABORT_LEAD_S
        self.stores = stores
        self.ended_incarnations = ended_incarnations
        self.limits = limits
        self._trials = trials
        self.speeds = speeds if speeds is not None else UpstreamSpeeds()
        self.sharing = (
            sharing
            if sharing is not None
            else CapacitySharing(GatewayCfg(), self.speeds)
        )
        self.capacity = CapacityLimits()
        self._builder = CandidateBuilder(self, zone, peers, stores, rng)
        self._pools: dict[str, _PoolView] = {}
        self._loads: dict[str, UpstreamLoad] = {}
        # The incarnation of each upstream that its entry in ``_loads`` belongs to.
        self._incarnations: dict[str, str] = {}
        self._at_address: dict[str, str] = {}

    def load_of(self, name: str) -> UpstreamLoad:
        """Return the state of the current incarnation of upstream ``name``."""
        if name not in self._loads:
            self._loads[name] = UpstreamLoad(self._incarnations.get(name, ""))
        return self._loads[name]

    def refused(self, name: str, now: float, *, replaced: bool) -> None:
        """Avoid an upstream that refused a request.

        ``replaced`` is whether another incarnation answered at its address.
        """
        self.load_of(name).avoid(now, REPLACED_AVOID_S if replaced else REFUSED_AVOID_S)
        if replaced:
            self.ended(
                name, self.load_of(name), now, "another incarnation has its address"
            )

    def may_try(self, harmful: HarmfulParts, now: float) -> bool:
        """Whether one request with quarantined parts may be sent after all."""
        if self._trials is None:
            return False
        ended = self.ended_incarnations
        self._trials.retain(ended.harmful_parts)
        return self._trials.grant(harmful, ended.last_end_at(harmful), now)

    def ended(self, name: str, load: UpstreamLoad, now: float, reason: str) -> None:
        """Record that an incarnation of an upstream has ended and its runs are lost.

        The runs of an upstream that announced that it leaves are not blamed for its
        end: a long stream meets several of those during a rolling replacement.
        """
        was_over = load.runs.has_ended
        lost = load.runs.mark_ended(now)
        record = self._directory.get(name, now)
        if not load.is_leaving and (record is None or not record.leaving):
            self.ended_incarnations.report(
                incarnation_name(name, load.incarnation), lost, now
            )
        if lost or not was_over:
            waiting = [fingerprint_text(run) for run in lost.waiting]
            answering = [fingerprint_text(run) for run in lost.answering]
            prompts = [parts_text(parts) for _, *parts in lost.prompts]
            emit(UpstreamEnded(name, reason, waiting, answering, prompts))

    def run_ended(
        self, name: str, load: UpstreamLoad, run: Run, now: float, end: RunEnd
    ) -> None:
        """Record the end of a send to an incarnation of an upstream."""
        load.runs.ended(run, now, end)
        if load.runs.has_ended and end is not RunEnd.ANSWERED:
            self.ended(
                name, load, now, "a connection broke after its incarnation ended"
            )

    def refusing(self, now: float) -> tuple[str, ...]:
        """The upstreams that recently refused a request of this process."""
        return tuple(
            name
            for name, load in self._loads.items()
            if load.avoid_until > now and not load.avoid_reported_by_peers
        )

    def peer_refused(self, names: Collection[str], now: float) -> None:
        """Avoid upstreams that recently refused a request of another gateway."""
        for name in names:
            load = self.load_of(name)
            if load.avoid_until <= now:
                load.avoid(now, REFUSED_AVOID_S, told=True)

    def due_for_probe(self, now: float) -> list[UpstreamRecord]:
        """Upstreams that are to be probed now to find out whether they are alive."""
        due = []
        for view in self._pools.values():
            for record in view.records:
                load = self._loads.get(record.name)
                if load is None:
                    continue
                broke = load.runs.take_run_broke()
                if load.silence.is_probe_due(now, load.suspect_until) or broke:
                    due.append(record)
        return due

    def silent(self, now: float) -> tuple[str, ...]:
        """The upstreams that this process suspects to be dead."""
        return tuple(
            name for name, load in self._loads.items() if load.suspect_until > now
        )

    def peer_silent(self, names: Collection[str], now: float) -> None:
        """Have upstreams probed that another gateway suspects to be dead."""
        for name in names:
            load = self.load_of(name)
            if load.suspect_until <= now and load.silence.report_dead(now):
                load.avoid(now, REFUSED_AVOID_S, told=True)

    def load_at(self, name: str, now: float, rank: int | None = None) -> Load:
        """Return the load of an upstream as a request of ``rank`` finds it."""
        peers = self._peers.at(name) if self._peers else None
        return self.load_of(name).load(now, peers, rank=rank)

    def speed(self, record: UpstreamRecord, now: float) -> Speed:
        """Return how fast an upstream works."""
        if not self.sharing.learns_speeds(record.pool):
            return NEUTRAL
        return self.speeds.of(record.pool, record.name, now)

    def works(self) -> tuple[UpstreamWork, ...]:
        """This process's work at each upstream, to be sent to the other gateways."""
        ranked = self.sharing.reports_ranks
        return tuple(
            UpstreamWork(
                name,
                *load.own_work,
                load.own_ranks if ranked else (),
                load.unshared_tokens if ranked else 0,
            )
            for name, load in self._loads.items()
            if load.own_work[0]
        )

    def records(self, pool: str, now: float) -> tuple[UpstreamRecord, ...]:
        """Return the announced upstreams of ``pool`` that take new work.

        If none is announced any more, the last announced ones are returned: that no
        control replica receives announcements is likelier than that all upstreams have
        ended at once.  One that announced that it leaves is never included.
        """
        ready = self._directory.ready(pool, now)
        view = self._pools.get(pool)
        if view is None:
            view = self._pools[pool] = _PoolView((), (), Members(pool, ""))
        if not ready:
            view.records = tuple(r for r in view.records if self._may_retain(r, now))
        elif view.source is not ready:
            view.source = view.records = ready
            self._replace_earlier_incarnations(ready, now)
            view.members.refresh(ready)
        return view.records

    def candidates(
        self, query: UpstreamQuery, now: float
    ) -> list[tuple[UpstreamRecord, Candidate]]:
        """Return the upstreams that may take the request, with their state for ranking.

        Left out are upstreams whose weights have been outdated for too long, and those
        that back off or have no permit for this gateway now.
        """
        records = [
            record
            for record in self._eligible_records(query, now)
            if self._permit_wait_s(record, now) <= 0.0
        ]
        return self._builder.candidates(query, records, self._send_bound_s, now)

    def abort_outdated_at(self, record: UpstreamRecord, now: float) -> float:
        """Return the time until which a request that was sent to ``record`` may start.

        Engines on the newest weights get the limit that holds if newer ones are named
        now.
        """
        return now + self._abort_bound_s - self.outdated_for_s(record, now)

    def has_eligible(self, query: UpstreamQuery, now: float) -> bool:
        """Whether any announced upstream fits the query, usable now or not."""
        return bool(self._eligible_records(query, now))

    def record(self, name: str, now: float) -> UpstreamRecord | None:
        """Return the record of an upstream; None if it is not announced."""
        return self._directory.get(name, now)

    def hears(self, gateway: str) -> bool:
        """Whether reports of a nearby gateway arrive."""
        return gateway in self._peers.gateways

    @property
    def hears_areas(self) -> bool:
        """Whether sums of other zones arrive."""
        return self._peers.has_areas

    def is_usable(self, record: UpstreamRecord, now: float) -> bool:
        """Whether an upstream is neither avoided nor carries out an order."""
        load = self.load_of(record.name)
        avoided = max(load.suspect_until, load.avoid_until) > now
        return not avoided and not self.is_changing(record, now)

    def software(self, name: str, now: float) -> str | None:
        """Return an upstream's software version; None if it is not announced."""
        record = self._directory.get(name, now)
        return None if record is None else record.software

    def software_versions(self, pool: str, now: float) -> set[str]:
        """Return the software versions of a pool's upstreams, leaving ones included."""
        records = self._directory.records(now)
        return {record.software for record in records if record.pool == pool}

    def next_permit_s(self, query: UpstreamQuery, now: float) -> float | None:
        """Seconds until the first upstream takes the request.

        None if one takes requests now, or if there is no eligible upstream.
        """
        permit_waits_s = [
            self._permit_wait_s(record, now)
            for record in self._eligible_records(query, now)
        ]
        soonest = min(permit_waits_s, default=0.0)
        return soonest if soonest > 0.0 else None

    def limited(self, name: str, per_s: float | None, now: float) -> None:
        """Record the rate limit in an upstream's answer; None if it names none."""
        previous_per_s = self.limits.per_s(name)
        self.limits.answered(name, per_s, now)
        if per_s != previous_per_s:
            emit(UpstreamLimited(name, per_s, previous_per_s))

    def back_off(self, name: str, for_s: float, now: float) -> None:
        """Send an upstream nothing for ``for_s`` seconds, as it asked for."""
        self.load_of(name).back_off(now, for_s)
        emit(UpstreamBackoff(name, round(for_s * MS_PER_S, 1)))

    def leaving(self, name: str, now: float) -> None:
        """Record that an upstream's answer announced that it leaves."""
        if self.load_of(name).note_leaving(now):
            emit(UpstreamLeaving(name))

    def count(self, now: float) -> int:
        """Count the announced upstreams."""
        records = self._directory.records(now)
        return sum(r.kind != GATEWAY_ROLE and not is_mark(r) for r in records)

    def suspected(self, now: float) -> int:
        """Count the upstreams that are suspected to be dead."""
        return sum(load.suspect_until > now for load in self._loads.values())

    def sweep(self, now: float) -> set[str]:
        """Drop the state of removed upstreams; return the names of the others."""
        current = {record.name for record in self._directory.records(now)}
        for view in self._pools.values():
            current.update(record.name for record in view.records)
        self.limits.retain(current, now)
        for name in self._loads.keys() - current:
            if not self._loads[name].outlives_record(now):
                del self._loads[name]
                self.speeds.forget(name)
        for name in self._incarnations.keys() - current:
            del self._incarnations[name]
        for address, name in list(self._at_address.items()):
            if name not in current:
                del self._at_address[address]
        return current

    def _replace_earlier_incarnations(
        self, records: Iterable[UpstreamRecord], now: float
    ) -> None:
        """Replace the state of upstreams that were started again, as the state of the
        earlier incarnation does not apply to the new one."""
        for record in records:
            incarnation = self._incarnations.get(record.name)
            if incarnation == record.incarnation:
                continue
            if incarnation is not None:
                self._end_incarnation(record.name, now, "it was started again")
                self._loads.pop(record.name, None)
                self.speeds.forget(record.name)
                self.limits.forget(record.name)
            self._incarnations[record.name] = record.incarnation
            self.load_of(record.name).incarnation = record.incarnation
            self._end_previous_at_address(record, now)

    def _end_previous_at_address(self, newcomer: UpstreamRecord, now: float) -> None:
        """Record the end of the upstream that had ``newcomer``'s address before."""
        previous = self._at_address.get(newcomer.address, newcomer.name)
        self._at_address[newcomer.address] = newcomer.name
        if previous != newcomer.name:
            self._end_incarnation(previous, now, "another upstream has its address")

    def _end_incarnation(self, name: str, now: float, reason: str) -> None:
        load = self._loads.get(name)
        if load is not None:
            self.ended(name, load, now, reason)

    def _eligible_records(
        self, query: UpstreamQuery, now: float
    ) -> list[UpstreamRecord]:
        return [
            record
            for record in self.records(query.pool.name, now)
            if record.name not in query.tried
            and serves(record, query.pool, query.prompt)
            and (query.origin is None or query.origin.allows(record))
            and not self.load_of(record.name).is_leaving
        ]

    def _permit_wait_s(self, record: UpstreamRecord, now: float) -> float:
        """Seconds until an upstream takes a request from here; 0 or less if now."""
        backoff_s = self.load_of(record.name).backoff_until - now
        return max(backoff_s, self.limits.wait_s(record.name, now))

    def _may_retain(self, record: UpstreamRecord, now: float) -> bool:
        newest = self._directory.get(record.name, now)
        return newest is None or (newest.ready and not newest.leaving)

    def memory_fraction(self, pool: str) -> float:
        """Return how much of their declared memory the upstreams of a pool hold."""
        if not self.sharing.reserves(pool):
            return MEMORY_FRACTION
        return self.capacity.fraction(pool)

    def preferred(self, pool: str, prefix: bytes) -> tuple[str, ...]:
        """Return the upstreams of a pool in the order of preference for a prefix."""
        members = self._pools[pool].members
        if self.sharing.learns_speeds(pool):
            members.weigh(self.speeds.weights(pool))
        return members.preferred(prefix)

    def is_changing(self, record: UpstreamRecord, now: float) -> bool:
        """Whether an upstream carries out an order and has to become idle for it."""
        mark = self._directory.get(mark_name(record.name), now)
        return mark is not None and mark.ready

    def outdated_for_s(self, record: UpstreamRecord, now: float) -> float:
        """Return the time since newer weights than an upstream's were named."""
        if not record.model:
            return 0.0
        version = weights_version(record)
        return self._weights.outdated_for_s(record.model, version, now)


def incarnation_name(name: str, incarnation: str) -> str:
    """Return the name of one incarnation of an upstream, the same in every process."""
    return f"{name}@{incarnation}" if incarnation else name
