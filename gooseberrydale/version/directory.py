"""Which upstreams are there: their newest records, each under a lease.

A directory lives as long as its process and is lost with it; upstreams announce
themselves again.  Records travel from process to process, so they arrive late,
twice and out of order.  Two rules keep that harmless: a record only gives way to
a newer one of the same name, and a forwarded record carries what is left of its
lease, never a fresh one.  The module reads no clock: ``now`` is the receiver's
loop clock in seconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, fields, replace
from operator import attrgetter

from gooseberrydale.connection.mesh import (
    Renewal,
    UpstreamRecord,
    incarnation_check,
)
from gooseberrydale.errors import InvariantError

MAX_LEASE_S = 60.0
"""Longest lease that is taken over, in seconds; longer ones are cut to it."""

PASSED_RENEWAL_PART = 0.5
"""Part of a lease after which roles with many sessions pass a renewal on: the others
are left with nearly half of it, in which two or more further renewals come."""

_RENEWED_FIELDS = frozenset({"seq", "lease_s"})
_content = attrgetter(
    *(one.name for one in fields(UpstreamRecord) if one.name not in _RENEWED_FIELDS)
)

ChangeListener = Callable[[bool], None]


def new_incarnation(now_ns: int, rng: random.Random) -> str:
    """Return an id for one incarnation of a process that sorts by its start.

    ``now_ns`` is wall-clock time in nanoseconds.  The random part tells apart two
    processes that start in the same nanosecond.
    """
    return f"{now_ns:016x}{rng.getrandbits(32):08x}"


@dataclass(frozen=True, slots=True)
class Delta:
    """Records that came after a version, and the version that they reach.

    Those named in ``renewed`` were there at that version but for their leases.
    """

    records: tuple[UpstreamRecord, ...]
    version: int
    renewed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _Held:
    """A record, the end of its lease, and where and when it came in.

    ``version`` is that of the record that was passed on last, ``changed`` the one at
    which it changed in more than its lease; from ``pass_on_at`` on another renewal is
    passed on.
    """

    record: UpstreamRecord
    expires: float
    version: int
    changed: int
    source: object
    pass_on_at: float


@dataclass(frozen=True, slots=True)
class _Mark:
    """The newest announcement seen of a name, kept after its lease has ended."""

    incarnation: str
    seq: int
    forget_at: float


@dataclass(frozen=True, slots=True)
class _ReadyView:
    """Ready records of a pool; must be built again once ``until`` is reached."""

    records: tuple[UpstreamRecord, ...]
    until: float


class Directory:
    """Upstream records by name; see the module's text for the rules.

    A renewal is passed on once ``renewal_part`` of the lease that was passed on before
    it has gone by; with ``relays_renewals`` off, renewals that were heard are not.
    Changes are passed on in any case.  It answers fleets of seventy gateways and more
    with three sessions each, to which renewals are most of what replicas send.
    """

    def __init__(
        self, *, renewal_part: float = 0.0, relays_renewals: bool = True
    ) -> None:
        self._renewal_part = renewal_part
        self._relays_renewals = relays_renewals
        # Ordered by version: an updated record moves to the end.
        self._held: dict[str, _Held] = {}
        self._marks: dict[str, _Mark] = {}
        self._ready: dict[str, _ReadyView] = {}
        self._listeners: list[ChangeListener] = []
        self._version = 0

    @property
    def version(self) -> int:
        """Rises with each record that is passed on."""
        return self._version

    def subscribe(self, listener: ChangeListener) -> Callable[[], None]:
        """Call ``listener`` for each record to pass on; return how to stop that.

        Its argument is False if the record only renews a lease.  Listeners must
        not raise and must not offer records.
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
        """Take ``record`` in if it is newer than what was seen of its name.

        ``age_s`` is how long the record was under way; ``source`` names the
        session it came by, so that it is not sent back there.  Return whether it
        was taken in.
        """
        lease_s = min(record.lease_s, MAX_LEASE_S) - max(age_s, 0.0)
        if not lease_s > 0 or not self._is_newer(record):
            return False
        old = self._held.get(record.name)
        if old is not None and old.expires > now and _same(old.record, record):
            if not self._passes_on(old, source, now):
                self._keep(replace(old, record=record, expires=now + lease_s))
                return True
            renewal = True
        else:
            renewal = False
        self._version += 1
        pass_on_at = now + lease_s * self._renewal_part
        changed = old.changed if renewal and old is not None else self._version
        held = _Held(record, now + lease_s, self._version, changed, source, pass_on_at)
        # Those passed on last stand at the end.
        self._held.pop(record.name, None)
        self._keep(held)
        if not renewal:
            self._forget_views(old, held)
        for listener in self._listeners:
            listener(not renewal)
        return True

    def renew(
        self, renewal: Renewal, now: float, *, age_s: float = 0.0, source: object = None
    ) -> bool:
        """Renew a lease; False if the record is not known here."""
        held = self._held.get(renewal.name)
        if held is None or held.expires <= now:
            return False
        record = held.record
        if incarnation_check(record.incarnation) != renewal.incarnation:
            return False
        renewed = replace(record, seq=renewal.seq, lease_s=renewal.lease_s)
        self.offer(renewed, now, age_s=age_s, source=source)
        return True

    def _passes_on(self, held: _Held, source: object, now: float) -> bool:
        """Whether a renewal of ``held`` that came by ``source`` is passed on."""
        if source is not None and not self._relays_renewals:
            return False
        return now >= held.pass_on_at

    def _keep(self, held: _Held) -> None:
        self._held[held.record.name] = held
        self._mark(held)

    def expire(self, now: float) -> tuple[str, ...]:
        """Drop records whose lease has ended; return their names."""
        names = tuple(n for n, held in self._held.items() if held.expires <= now)
        for name in names:
            self._forget_views(self._held.pop(name))
        forgotten = [n for n, mark in self._marks.items() if mark.forget_at <= now]
        for name in forgotten:
            del self._marks[name]
        return names

    def get(self, name: str, now: float) -> UpstreamRecord | None:
        """The record of ``name`` with what is left of its lease, if any is."""
        held = self._held.get(name)
        if held is None or held.expires <= now:
            return None
        return _with_lease_left(held, now)

    def newest_incarnation(self, name: str) -> str:
        """The incarnation of the newest record seen of ``name``, empty if none was.

        It is remembered for a while after the end of its lease.
        """
        mark = self._marks.get(name)
        return "" if mark is None else mark.incarnation

    def ready(self, pool: str, now: float) -> tuple[UpstreamRecord, ...]:
        """Records of ``pool`` that take new work, ordered by name.

        The same tuple is returned until one of them changes in more than its
        lease, so its ``seq`` and ``lease_s`` may be older than the newest.
        """
        view = self._ready.get(pool)
        if view is None or view.until <= now:
            view = self._build_view(pool, now)
            self._ready[pool] = view
        return view.records

    def records(self, now: float) -> tuple[UpstreamRecord, ...]:
        """All records, each with what is left of its lease."""
        return self.since(0, now).records

    def since(self, version: int, now: float, *, exclude: object = None) -> Delta:
        """Records taken in after ``version``, each with what is left of its lease.

        Leaves out those that came from ``exclude``.
        """
        newer = [
            held
            for held in self._newest_first(version)
            if held.expires > now and (exclude is None or held.source is not exclude)
        ]
        return Delta(
            tuple(_with_lease_left(one, now) for one in newer),
            self._version,
            frozenset(one.record.name for one in newer if one.changed <= version),
        )

    def _newest_first(self, version: int) -> Iterator[_Held]:
        for held in reversed(self._held.values()):
            if held.version <= version:
                return
            yield held

    def _is_newer(self, record: UpstreamRecord) -> bool:
        mark = self._marks.get(record.name)
        if mark is None:
            return True
        return (record.incarnation, record.seq) > (mark.incarnation, mark.seq)

    def _mark(self, held: _Held) -> None:
        record = held.record
        old = self._marks.get(record.name)
        new = _Mark(record.incarnation, record.seq, held.expires + MAX_LEASE_S)
        if old is not None and (new.incarnation, new.seq) <= (old.incarnation, old.seq):
            raise InvariantError(
                f"record of {record.name!r} fell from {old.incarnation}/{old.seq}"
                f" to {new.incarnation}/{new.seq}; report this as a bug"
            )
        self._marks[record.name] = new

    def _build_view(self, pool: str, now: float) -> _ReadyView:
        ready = [
            held
            for held in self._held.values()
            if held.record.pool == pool and held.expires > now and _takes_work(held)
        ]
        ready.sort(key=lambda held: held.record.name)
        until = min((held.expires for held in ready), default=float("inf"))
        return _ReadyView(tuple(held.record for held in ready), until)

    def _forget_views(self, *changed: _Held | None) -> None:
        for held in changed:
            if held is not None:
                self._ready.pop(held.record.pool, None)


def _takes_work(held: _Held) -> bool:
    return held.record.ready and not held.record.leaving


def _same(old: UpstreamRecord, new: UpstreamRecord) -> bool:
    """Whether ``new`` differs from ``old`` in its sequence number and lease only."""
    return _content(old) == _content(new)


def _with_lease_left(held: _Held, now: float) -> UpstreamRecord:
    return replace(held.record, lease_s=held.expires - now)
