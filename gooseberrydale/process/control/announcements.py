"""Accepts the announcements of upstreams that have no sidecar.

Records are stored in the directory, and mesh sessions propagate them to all other
processes, so an upstream may announce itself to any control replica.  That an upstream
leaves is committed before it is acknowledged: it may not announce it again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any, Protocol

from result import Err, Ok, Result

from gooseberrydale.connection.engine_orders import EngineOrders
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.errors import INVALID_DOCUMENT, Problem, problem
from gooseberrydale.log_events import (
    AnnouncementUnreadable,
    EarlierIncarnation,
    UpstreamReborn,
    UpstreamRetired,
    emit,
)
from gooseberrydale.process.tasks import spawn, stop
from gooseberrydale.version.directory import MAX_LEASE_S, Directory
from gooseberrydale.version.origins.origin import UNKNOWN_SOFTWARE
from gooseberrydale.version.upstream_incarnation import (
    announced_incarnation,
    born_ms,
    incarnation_after,
)

HEARTBEATS_PER_LEASE = 15
"""Announcements that may be missed in a row before an upstream is removed. Entries
receive only about every seventh one.

Entries detect a dead upstream by themselves, within one request, so a long lease costs
little. A shorter one would remove live upstreams while replicas are unavailable."""

SEQS_PER_HEARTBEAT = 1_000
"""Sequence numbers per announcement. The ones between two announcements are for records
that control itself writes about the upstream."""

FINAL_SEQ = 2**62
"""Higher than the sequence number of any announcement; marks an ended incarnation."""


class CommittedDepartures(Protocol):
    """The departures that a quorum of replicas has stored."""

    def knows(self, record: UpstreamRecord) -> bool:
        """Whether a departure of this incarnation of an upstream is committed."""

    async def commit(self, record: UpstreamRecord) -> Result[None, Problem]:
        """Commit that the upstream of ``record`` leaves."""


class CommittedSoftware(Protocol):
    """The software versions that upstreams may run while they are in service."""

    async def commit(self, pool: str, software: str) -> Result[None, Problem]:
        """Commit that upstreams of a pool run a version."""


class Announcements:
    """Writes the records of upstreams to the directory."""

    def __init__(
        self,
        directory: Directory,
        beat_s: float,
        engines: EngineOrders | None = None,
        departures: CommittedDepartures | None = None,
        software: CommittedSoftware | None = None,
    ) -> None:
        """``engines`` are polled to find the newer one of two incarnations.

        Without ``departures`` and ``software`` there is no log; announcements are only
        propagated.
        """
        self._directory = directory
        self._lease_s = beat_s * HEARTBEATS_PER_LEASE
        self._engines = engines
        self._departures = departures
        self._software = software
        self._checks: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Cancel the running checks."""
        await stop(list(self._checks.values()))

    async def announce(
        self, record: UpstreamRecord, born: int | None, *, names_models: bool
    ) -> Result[None, Problem]:
        """Store an announcement; Ok means that it may be acknowledged.

        See :meth:`renew` for the arguments.
        """
        if self._software is not None and not record.leaving:
            # Streams that it begins could not be told from those of other versions.
            listed = await self._software.commit(record.pool, record.software)
            if listed.is_err():
                return listed
        before = self._directory.get(record.name, asyncio.get_running_loop().time())
        if not self.renew(record, born, names_models=names_models):
            reason = "no models, unlike earlier ones of this upstream"
            emit(AnnouncementUnreadable(record.name, reason))
            return Err(problem(INVALID_DOCUMENT, reason=reason))
        if not record.leaving:
            return Ok(None)
        return await self._commit_departure(record.name, before)

    async def depart(self, name: str) -> Result[None, Problem]:
        """Retire the upstream ``name``; Ok means that it may be acknowledged."""
        self.retire(name)
        return await self._commit_departure(name, None)

    async def _commit_departure(
        self, name: str, before: UpstreamRecord | None
    ) -> Result[None, Problem]:
        """Commit what the directory holds of an upstream, if that is its departure.

        ``before`` is the record that the announcement may have replaced.
        """
        record = self._directory.get(name, asyncio.get_running_loop().time())
        if record is None or not record.leaving or self._departures is None:
            return Ok(None)
        has_announced = before is not None and before.leaving
        if has_announced and self._departures.knows(record):
            return Ok(None)
        return await self._departures.commit(record)

    def renew(
        self,
        record: UpstreamRecord,
        born: int | None = None,
        *,
        names_models: bool = True,
    ) -> bool:
        """Store an announcement unless the stored record is newer.

        ``born`` is the start of the announcing incarnation, in Unix milliseconds.  An
        announcement that doesn't say which models its upstream holds is not stored if
        the incarnation has named one; then False is returned.
        """
        seq = record.seq * SEQS_PER_HEARTBEAT
        record = replace(record, seq=seq, lease_s=self._lease_s)
        newest = self._directory.newest_incarnation(record.name)
        incarnation = announced_incarnation(newest, born)
        if incarnation is None:
            emit(EarlierIncarnation(record.name, born or 0, born_ms(newest) or 0))
            self._check_clock(record, born)
            return True
        if not names_models and self._has_model(record.name, incarnation):
            return False
        if newest and incarnation != newest:
            emit(UpstreamReborn(record.name, born or 0, born_ms(newest) or 0))
        self._offer(replace(record, incarnation=incarnation))
        self._check_predecessors(record, incarnation)
        return True

    def retire(self, name: str) -> None:
        """Mark the current incarnation of the upstream ``name`` as leaving for good.

        It receives no new work.
        """
        now = asyncio.get_running_loop().time()
        record = self._directory.get(name, now) or _placeholder(
            name, self._directory.newest_incarnation(name)
        )
        emit(UpstreamRetired(name))
        self._offer(
            replace(
                record, seq=FINAL_SEQ, ready=False, leaving=True, lease_s=MAX_LEASE_S
            )
        )

    def record_weights(self, name: str, version: str, born: int | None = None) -> None:
        """Record that an upstream serves other weights than it announced.

        ``born`` is the start of the incarnation that reported them, None if unknown.
        """
        now = asyncio.get_running_loop().time()
        record = self._directory.get(name, now)
        if record is None or record.leaving:
            return
        incarnation = (
            record.incarnation
            if born is None
            else incarnation_after(record.incarnation, born)
        )
        if incarnation != record.incarnation:
            # Sequence number 0 lets the incarnation's own announcements replace this
            # record.  It may have started with other software.
            self._offer(
                replace(
                    record,
                    incarnation=incarnation,
                    seq=0,
                    weights_version=version,
                    software=record.software and UNKNOWN_SOFTWARE,
                )
            )
        elif record.weights_version != version:
            self._offer(replace(record, seq=record.seq + 1, weights_version=version))

    def _has_model(self, name: str, incarnation: str) -> bool:
        stored = self._directory.get(name, asyncio.get_running_loop().time())
        if stored is None or stored.incarnation != incarnation:
            return False
        return bool(stored.model)

    def _check_predecessors(self, record: UpstreamRecord, incarnation: str) -> None:
        """Retire dead upstreams that started earlier at the same address.

        After a crash such a record remains until its lease expires, for ten seconds.
        Until then it would attract requests that are refused, and be counted as an
        engine to change during a weights rollout. The start times alone don't prove
        that the upstream has ended: clocks are set back, and announcements arrive late.
        """
        if self._engines is None or not incarnation:
            return
        now = asyncio.get_running_loop().time()
        for other in self._directory.records(now):
            same_address = other.address == record.address and other.name != record.name
            if (
                same_address
                and not other.leaving
                and "" < other.incarnation < incarnation
            ):
                self._start_check(
                    other.name, self._retire_if_ended(self._engines, other)
                )

    async def _retire_if_ended(
        self, engines: EngineOrders, upstream: UpstreamRecord
    ) -> None:
        """Retire ``upstream`` unless it answers under its own name."""
        if await engines.report(upstream) is None:
            self.retire(upstream.name)

    def _check_clock(self, record: UpstreamRecord, born: int | None) -> None:
        """Ask the upstream itself whether its clock was set back."""
        if self._engines is not None:
            check = self._accept_if_confirmed(self._engines, record, born)
            self._start_check(record.name, check)

    def _start_check(self, name: str, check: Coroutine[Any, Any, None]) -> None:
        """Run a check of ``name`` unless one is running already."""
        if name in self._checks:
            check.close()
            return
        task = self._checks[name] = spawn(check)
        task.add_done_callback(lambda _: self._checks.pop(name, None))

    async def _accept_if_confirmed(
        self, engines: EngineOrders, record: UpstreamRecord, born: int | None
    ) -> None:
        """Accept ``record`` if the upstream confirms that it started at ``born``."""
        report = await engines.report(record)
        if report is None or report.born_ms != born:
            return
        incarnation = incarnation_after(
            self._directory.newest_incarnation(record.name), born
        )
        self._offer(replace(record, incarnation=incarnation))

    def _offer(self, record: UpstreamRecord) -> None:
        self._directory.offer(record, asyncio.get_running_loop().time())


def _placeholder(name: str, incarnation: str) -> UpstreamRecord:
    """Return a placeholder for an upstream of which this replica has no record."""
    return UpstreamRecord(
        name=name,
        incarnation=incarnation,
        seq=0,
        address="",
        zone="",
        region="",
        pool="",
        kind="",
    )
