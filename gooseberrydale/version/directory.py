"""The upstreams known to a process: the newest record of each, under a lease.

A directory is kept in memory only; after a restart it is filled again by the
upstreams' next announcements.  Records are forwarded between processes, so they
arrive late, repeatedly and out of order.  Two rules make that safe: a record is
replaced only by a newer one of the same name, and a forwarded record carries the
remaining time of its lease, never a renewed lease.  The module reads no clock:
``now`` is the receiver's loop clock in seconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields, replace
from operator import attrgetter

from gooseberrydale.connection.mesh import (
    Renewal,
    UpstreamRecord,
    incarnation_checksum,
)
from gooseberrydale.errors import InvariantError

MAX_LEASE_S = 60.0
"""Longer leases are shortened to this."""

RENEWAL_PROPAGATION_FRACTION = 0.5
"""Fraction of a lease after which roles with many sessions propagate a renewal again.

Receivers still have nearly half of the lease left, in which two or more further
renewals arrive."""

_RENEWED_FIELDS = frozenset({"seq", "lease_s"})
_content = attrgetter(
    *(
        field.name
        for field in fields(UpstreamRecord)
        if field.name not in _RENEWED_FIELDS
    )
)

ChangeListener = Callable[[bool], None]


def new_incarnation(now_ns: int, rng: random.Random) -> str:
    """Return an id for one incarnation of a process; ids sort by start time.

    ``now_ns`` is wall-clock time in nanoseconds.  The random suffix distinguishes
    processes that start in the same nanosecond.
    """
    return f"{now_ns:016x}{rng.getrandbits(32):08x}"


@dataclass(frozen=True, slots=True)
class Delta:
    """The records that changed after a given version, up to ``version``.

    ``renewed`` names the records of which only the lease was renewed since then.
    """

    records: tuple[UpstreamRecord, ...]
    version: int
    renewed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _HeldRecord:
    """A record with the end of its lease and the session that it came from.

    ``version`` is the directory's version when the record was last propagated,
    ``changed`` the version at which more than its lease last changed.  The next
    renewal is propagated from time ``propagate_at`` on.
    """

    record: UpstreamRecord
    expires: float
    version: int
    changed: int
    source: object
    propagate_at: float


@dataclass(frozen=True, slots=True)
class _LastSeen:
    """The newest announcement seen of a name, remembered beyond its lease.

    It rejects older announcements that arrive late.
    """

    incarnation: str
    seq: int
    remembered_until: float


@dataclass(frozen=True, slots=True)
class _ReadyView:
    """The ready records of a pool, cached until a lease ends at time ``until``."""

    records: tuple[UpstreamRecord, ...]
    until: float


class Directory:
    """Upstream records by name; see the module docstring for the rules.

    A renewal is propagated once the fraction ``propagation_fraction`` of the last
    propagated lease has passed.  Without ``relays_renewals``, renewals received
    from another process are never propagated.  Other changes always are.  Both
    settings limit traffic in fleets of seventy gateways and more with three sessions
    each, where renewals would be most of what replicas send.
    """

    def __init__(
        self, *, propagation_fraction: float = 0.0, relays_renewals: bool = True
    ) -> None:
        self._renewal_part = propagation_fraction
        self._relays_renewals = relays_renewals
        # Ordered by version: a propagated record moves to the end.
        self._held: dict[str, _HeldRecord] = {}
        self._last_seen: dict[str, _LastSeen] = {}
        self._ready: dict[str, _ReadyView] = {}
        self._listeners: list[ChangeListener] = []
        self._version = 0

    @property
    def version(self) -> int:
        """Increases with each record that is propagated."""
        return self._version

    def subscribe(self, listener: ChangeListener) -> Callable[[], None]:
        """Call ``listener`` for each record to propagate; return an unsubscribe call.

        The listener's argument is False if the record only renews a lease.  Listeners
        must not raise and must not offer records.
        """
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def offer(
        self,
        record: UpstreamRecord,
        now: float,
        *,
        age_s: float = 0.0,
        source: object = None,
    ) -> bool:
        """Store ``record`` if it is newer than the last one seen of its name.

        ``age_s`` is how long the record was in transit.  ``source`` is the session
        that it came from; it is not sent back there.  Return whether it was stored.
        """
        lease_s = min(record.lease_s, MAX_LEASE_S) - max(age_s, 0.0)
        if not lease_s > 0 or not self._is_newer(record):
            return False
        old = self._held.get(record.name)
        if old is not None and old.expires > now and _same_content(old.record, record):
            if not self._should_propagate(old, source, now):
                self._store(replace(old, record=record, expires=now + lease_s))
                return True
            renewal = True
        else:
            renewal = False
        self._version += 1
        propagate_at = now + lease_s * self._renewal_part
        changed = old.changed if renewal and old is not None else self._version
        held = _HeldRecord(
            record, now + lease_s, self._version, changed, source, propagate_at
        )
        # Dictionaries keep insertion order: reinsert, so it becomes the last.
        self._held.pop(record.name, None)
        self._store(held)
        if not renewal:
            self._invalidate_views(old, held)
        for listener in self._listeners:
            listener(not renewal)
        return True

    def renew(
        self, renewal: Renewal, now: float, *, age_s: float = 0.0, source: object = None
    ) -> bool:
        """Renew the lease of a record; return False if there is no such record."""
        held = self._held.get(renewal.name)
        if held is None or held.expires <= now:
            return False
        record = held.record
        if incarnation_checksum(record.incarnation) != renewal.incarnation:
            return False
        renewed = replace(record, seq=renewal.seq, lease_s=renewal.lease_s)
        self.offer(renewed, now, age_s=age_s, source=source)
        return True

    def _should_propagate(self, held: _HeldRecord, source: object, now: float) -> bool:
        """Whether to propagate a renewal of ``held`` that came from ``source``."""
        if source is not None and not self._relays_renewals:
            return False
        return now >= held.propagate_at

    def _store(self, held: _HeldRecord) -> None:
        self._held[held.record.name] = held
        self._remember(held)

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop records whose lease has ended; return their names."""
        names = tuple(n for n, held in self._held.items() if held.expires <= now)
        for name in names:
            self._invalidate_views(self._held.pop(name))
        forgotten = [
            n for n, mark in self._last_seen.items() if mark.remembered_until <= now
        ]
        for name in forgotten:
            del self._last_seen[name]
        return names

    def get(self, name: str, now: float) -> UpstreamRecord | None:
        """The record of ``name`` with its remaining lease; None if it has ended."""
        held = self._held.get(name)
        if held is None or held.expires <= now:
            return None
        return _with_remaining_lease(held, now)

    def newest_incarnation(self, name: str) -> str:
        """The incarnation of the newest record seen of ``name``; empty if none.

        It is remembered for ``MAX_LEASE_S`` after the end of its lease.
        """
        mark = self._last_seen.get(name)
        return "" if mark is None else mark.incarnation

    def ready(self, pool: str, now: float) -> tuple[UpstreamRecord, ...]:
        """Records of ``pool`` that accept new work, ordered by name.

        The tuple is cached until more than the lease of a record changes, so its
        ``seq`` and ``lease_s`` may be outdated.
        """
        view = self._ready.get(pool)
        if view is None or view.until <= now:
            view = self._build_view(pool, now)
            self._ready[pool] = view
        return view.records

    def records(self, now: float) -> tuple[UpstreamRecord, ...]:
        """All records, each with its remaining lease."""
        return self.since(0, now).records

    def since(self, version: int, now: float, *, exclude: object = None) -> Delta:
        """Records propagated after ``version``, each with its remaining lease.

        Records that came from the session ``exclude`` are left out.
        """
        newer = [
            held
            for held in self._newest_first(version)
            if held.expires > now and (exclude is None or held.source is not exclude)
        ]
        return Delta(
            tuple(_with_remaining_lease(entry, now) for entry in newer),
            self._version,
            frozenset(entry.record.name for entry in newer if entry.changed <= version),
        )

    def _newest_first(self, version: int) -> Iterator[_HeldRecord]:
        for held in reversed(self._held.values()):
            if held.version <= version:
                return
            yield held

    def _is_newer(self, record: UpstreamRecord) -> bool:
        mark = self._last_seen.get(record.name)
        if mark is None:
            return True
        return (record.incarnation, record.seq) > (mark.incarnation, mark.seq)

    def _remember(self, held: _HeldRecord) -> None:
        record = held.record
        old = self._last_seen.get(record.name)
        new = _LastSeen(record.incarnation, record.seq, held.expires + MAX_LEASE_S)
        if old is not None and (new.incarnation, new.seq) <= (old.incarnation, old.seq):
            raise InvariantError(
                f"record of {record.name!r} went back from {old.incarnation}/{old.seq}"
                f" to {new.incarnation}/{new.seq}; report this as a bug"
            )
        self._last_seen[record.name] = new

    def _build_view(self, pool: str, now: float) -> _ReadyView:
        ready = [
            held
            for held in self._held.values()
            if held.record.pool == pool and held.expires > now and _accepts_work(held)
        ]
        ready.sort(key=lambda held: held.record.name)
        until = min((held.expires for held in ready), default=float("inf"))
        return _ReadyView(tuple(held.record for held in ready), until)

    def _invalidate_views(self, *changed: _HeldRecord | None) -> None:
        for held in changed:
            if held is not None:
                self._ready.pop(held.record.pool, None)


def _accepts_work(held: _HeldRecord) -> bool:
    return held.record.ready and not held.record.leaving


def _same_content(old: UpstreamRecord, new: UpstreamRecord) -> bool:
    """Whether ``new`` differs from ``old`` only in sequence number and lease."""
    return _content(old) == _content(new)


def _with_remaining_lease(held: _HeldRecord, now: float) -> UpstreamRecord:
    return replace(held.record, lease_s=held.expires - now)
