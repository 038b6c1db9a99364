"""Takes in what upstreams without a sidecar announce of themselves.

Lives as long as the process.  The records go into the directory, whose sessions carry
them to all other processes; an upstream may announce itself to any replica.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from gooseberrydale.connection.engine_orders import EngineOrders
from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.log_events import (
    EarlierIncarnation,
    UpstreamReborn,
    UpstreamRetired,
    emit,
)
from gooseberrydale.process.control.tasks import spawn, stop
from gooseberrydale.version.directory import MAX_LEASE_S, Directory
from gooseberrydale.version.upstream_incarnation import (
    born_ms,
    incarnation_after,
    incarnation_told,
)

BEATS_PER_LEASE = 15
"""Announcements that may be missed in a row before an upstream is forgotten; entries
hear of each seventh or so.

Entries find a dead upstream by themselves, within one request; a longer lease costs
little, and a shorter one would forget live upstreams while replicas are away."""

STEPS_PER_BEAT = 1_000
"""Room between two announcements for news that control has of the upstream itself."""

LAST_SEQ = 2**62
"""Stands after every announcement of an incarnation that has ended."""


class Announcements:
    """The directory as upstreams and control itself write to it."""

    def __init__(
        self, directory: Directory, beat_s: float, engines: EngineOrders | None = None
    ) -> None:
        """``engines`` are asked which of two incarnations is the later one."""
        self._directory = directory
        self._lease_s = beat_s * BEATS_PER_LEASE
        self._engines = engines
        self._asking: dict[str, asyncio.Task[None]] = {}

    async def close(self) -> None:
        """Ask nobody any more."""
        await stop(list(self._asking.values()))

    def renew(self, record: UpstreamRecord, born: int | None = None) -> None:
        """Take an announcement in; older ones change nothing.

        ``born`` is the start of the incarnation that it is from, in Unix milliseconds.
        """
        seq = record.seq * STEPS_PER_BEAT
        record = replace(record, seq=seq, lease_s=self._lease_s)
        known = self._directory.newest_incarnation(record.name)
        incarnation = incarnation_told(known, born)
        if incarnation is None:
            emit(EarlierIncarnation(record.name, born or 0, born_ms(known) or 0))
            self._ask(record, born)
            return
        if known and incarnation != known:
            emit(UpstreamReborn(record.name, born or 0, born_ms(known) or 0))
        self._offer(replace(record, incarnation=incarnation))
        self._ask_earlier(record, incarnation)

    def retire(self, name: str) -> None:
        """The incarnation of an upstream under ``name`` takes no new work any more."""
        now = asyncio.get_running_loop().time()
        known = self._directory.get(name, now) or _unknown(
            name, self._directory.newest_incarnation(name)
        )
        emit(UpstreamRetired(name))
        self._offer(
            replace(known, seq=LAST_SEQ, ready=False, leaving=True, lease_s=MAX_LEASE_S)
        )

    def has_weights(self, name: str, version: str, born: int | None = None) -> None:
        """Let all know that an upstream serves other weights than it announced.

        ``born`` is the start of the incarnation that said so, None if it did not tell.
        """
        now = asyncio.get_running_loop().time()
        known = self._directory.get(name, now)
        if known is None or known.leaving:
            return
        incarnation = (
            known.incarnation
            if born is None
            else incarnation_after(known.incarnation, born)
        )
        if incarnation != known.incarnation:
            # Its own announcements come after this record.
            self._offer(
                replace(known, incarnation=incarnation, seq=0, weights_version=version)
            )
        elif known.weights_version != version:
            self._offer(replace(known, seq=known.seq + 1, weights_version=version))

    def _ask_earlier(self, record: UpstreamRecord, incarnation: str) -> None:
        """Ask upstreams that began before at the same address whether they are there.

        Until their lease is over they would draw sends that are refused, and the turns
        of live ones in a change of weights: ten seconds after a crash.  Their start
        alone does not tell: clocks are set back, and announcements come late.
        """
        if self._engines is None or not incarnation:
            return
        now = asyncio.get_running_loop().time()
        for other in self._directory.records(now):
            same = other.address == record.address and other.name != record.name
            if same and not other.leaving and "" < other.incarnation < incarnation:
                self._begin_asking(other.name, self._end(self._engines, other))

    async def _end(self, engines: EngineOrders, upstream: UpstreamRecord) -> None:
        """Retire an upstream unless it answers under its own name."""
        if await engines.report(upstream) is None:
            self.retire(upstream.name)

    def _ask(self, record: UpstreamRecord, born: int | None) -> None:
        """Find out from the upstream itself whether its clock was set back."""
        if self._engines is not None:
            asking = self._settle(self._engines, record, born)
            self._begin_asking(record.name, asking)

    def _begin_asking(self, name: str, asking: Coroutine[Any, Any, None]) -> None:
        """Run one question about ``name``; a second one meanwhile is dropped."""
        if name in self._asking:
            asking.close()
            return
        task = self._asking[name] = spawn(asking)
        task.add_done_callback(lambda _: self._asking.pop(name, None))

    async def _settle(
        self, engines: EngineOrders, record: UpstreamRecord, born: int | None
    ) -> None:
        report = await engines.report(record)
        if report is None or report.born_ms != born:
            return
        incarnation = incarnation_after(
            self._directory.newest_incarnation(record.name), born
        )
        self._offer(replace(record, incarnation=incarnation))

    def _offer(self, record: UpstreamRecord) -> None:
        self._directory.offer(record, asyncio.get_running_loop().time())


def _unknown(name: str, incarnation: str) -> UpstreamRecord:
    """Stands for an upstream that this replica has not heard of."""
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
