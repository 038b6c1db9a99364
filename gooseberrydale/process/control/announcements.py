"""Takes in what upstreams without a sidecar announce of themselves.

Lives as long as the process.  The records go into the directory, whose sessions carry
them to all other processes; an upstream may announce itself to any replica.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.log_events import UpstreamRetired, emit
from gooseberrydale.version.directory import MAX_LEASE_S, Directory

BEATS_PER_LEASE = 10
"""Announcements that may be missed in a row before an upstream is forgotten.

Entries find a dead upstream by themselves, within one request; a longer lease costs
little, and a shorter one would forget live upstreams while replicas are away."""

STEPS_PER_BEAT = 1_000
"""Room between two announcements for news that control has of the upstream itself."""

LAST_SEQ = 2**62
"""Stands after every announcement of a life that has ended."""


class Announcements:
    """The directory as upstreams and control itself write to it."""

    def __init__(self, directory: Directory, beat_s: float) -> None:
        self._directory = directory
        self._lease_s = beat_s * BEATS_PER_LEASE

    def renew(self, record: UpstreamRecord) -> None:
        """Take an announcement in; older ones of the same life change nothing."""
        seq = record.seq * STEPS_PER_BEAT
        self._offer(replace(record, seq=seq, lease_s=self._lease_s))

    def retire(self, name: str) -> None:
        """The life of an upstream under ``name`` takes no new work any more."""
        now = asyncio.get_running_loop().time()
        known = self._directory.get(name, now) or _unknown(name)
        emit(UpstreamRetired(name))
        self._offer(
            replace(known, seq=LAST_SEQ, ready=False, leaving=True, lease_s=MAX_LEASE_S)
        )

    def has_weights(self, name: str, version: str) -> None:
        """Let all know that an upstream serves other weights than it announced."""
        now = asyncio.get_running_loop().time()
        known = self._directory.get(name, now)
        if known is None or known.leaving or known.weights_version == version:
            return
        self._offer(replace(known, seq=known.seq + 1, weights_version=version))

    def _offer(self, record: UpstreamRecord) -> None:
        self._directory.offer(record, asyncio.get_running_loop().time())


def _unknown(name: str) -> UpstreamRecord:
    """Stands for an upstream that this replica has not heard of."""
    return UpstreamRecord(
        name=name,
        incarnation="",
        seq=0,
        address="",
        zone="",
        region="",
        pool="",
        kind="",
    )
