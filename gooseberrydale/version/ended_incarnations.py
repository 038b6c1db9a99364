"""Requests that ran at upstreams when these ended, and which are quarantined for it.

One object per process, kept in memory only; no I/O.  Every process reports the requests
that it had running at each incarnation of an upstream that ended, and receives the
reports of the others.  Reports only ever add to what is recorded, so they may arrive
late, more than once and in any order, and all processes reach the same view without
agreement.

A request that has ended three upstreams is quarantined: it is sent to no other one.
Innocent requests run at the same upstreams, so the number of ends alone does not
decide.  A stream that was being answered when its upstream ended is not blamed for an
end that a quarantined request explains, and a request that was answered completely is
not blamed for any earlier end.

Requests that share a part of their prompts may end upstreams though none is repeated.
Their parts are recorded in the same way; ``ended_parts`` decides which are to blame.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from gooseberrydale.connection.mesh import EndedIncarnation
from gooseberrydale.version.ended_parts import EndedParts, HarmfulParts, Prompt
from gooseberrydale.version.open_runs import LostRuns

QUARANTINE_AFTER = 3
"""Number of ended upstreams at which a request is quarantined.  Two can be chance: a
stream that is resumed elsewhere while upstreams end one after the other easily runs at
two of them."""

RETENTION_S = 900.0
"""Time after which an end is dropped.  A quarantined request may then run once more, as
the upstreams may have been fixed; if it ends that one too, it is quarantined again."""

ANSWERED_RETENTION_S = 60.0
"""Time after a complete answer during which a request is not blamed for ends.  A
request that is sent all the time runs at every upstream, and so at each one of a rack
that is lost."""

BEGUN_RETENTION_S = 1.0
"""Time after the first event of an answer during which the parts of its prompt are not
blamed for ends.  Requests of a part that is in steady use wait at each upstream; a part
that begins to end upstreams while it is in use must be found soon."""

MAX_BEGUN = 16_384
"""Parts with a first event that are remembered."""

MAX_ANSWERED = 4_096
"""Requests with a complete answer that are remembered; the ones answered longest ago
are dropped first."""

MAX_REQUESTS = 16_384
"""Requests of ended incarnations, counted once for each incarnation: some 6 MB.  The
end of a whole rack, 40 upstreams with 64 requests each, takes a sixth of this."""

MAX_INCARNATIONS = 2_048
MAX_REQUESTS_PER_INCARNATION = 512
"""Requests remembered for one incarnation; upstreams run and queue only a fraction of
this number."""

TRIM_FRACTION = 0.875
"""Fraction of a bound down to which ends are dropped when it is exceeded, so that this
happens rarely."""

Listener = Callable[[], None]
T = TypeVar("T")


@dataclass(slots=True)
class _Incarnation:
    """Requests that ran at one incarnation when it ended.

    ``cleared`` are requests that are not to blame.  ``prompts`` waited for the start of
    their answers, and their ``sound`` parts are not to blame.  ``updates`` is what each
    report added, in order of arrival.
    """

    ended_at: float
    waiting: set[bytes] = field(default_factory=set)
    answering: set[bytes] = field(default_factory=set)
    cleared: set[bytes] = field(default_factory=set)
    prompts: set[Prompt] = field(default_factory=set)
    sound: set[bytes] = field(default_factory=set)
    updates: list[_VersionedUpdate] = field(default_factory=list)

    @property
    def size(self) -> int:
        requests = len(self.waiting) + len(self.answering) + len(self.cleared)
        return requests + len(self.prompts) + len(self.sound)

    def blames(self, request: bytes) -> bool:
        """Return whether the request ran here at the end and was not cleared."""
        if request in self.cleared:
            return False
        return request in self.waiting or request in self.answering


@dataclass(frozen=True, slots=True)
class _VersionedUpdate:
    """What a report from the session ``source`` added, None for this process."""

    version: int
    source: object
    report: EndedIncarnation


@dataclass(frozen=True, slots=True)
class Update:
    """Additions after a version; a receiver that merges them is at ``version``."""

    incarnations: tuple[EndedIncarnation, ...]
    version: int


class EndedIncarnations:
    """Ended incarnations of upstreams; times are seconds of the event loop's clock.

    With ``relays`` False, reports of other processes are sent only to a session that
    has not received anything yet.  A process whose sessions all lead to relays need not
    pass the reports of one to another.
    """

    def __init__(self, *, relays: bool = True) -> None:
        self._relays = relays
        # In the order of their first reports.
        self._incarnations: dict[str, _Incarnation] = {}
        self._of_request: dict[bytes, set[str]] = {}
        self._parts = EndedParts(QUARANTINE_AFTER)
        # Time of the last first event of an answer to each part, the latest at the end.
        self._begun: OrderedDict[bytes, float] = OrderedDict()
        # Time of the last complete answer of each request here, the latest at the end.
        self._answered: OrderedDict[bytes, float] = OrderedDict()
        self._size = 0
        # Above 0, the version of a session that has sent nothing yet.
        self._version = 1
        self._listeners: list[Listener] = []

    def __len__(self) -> int:
        return len(self._incarnations)

    @property
    def size(self) -> int:
        """Number of requests remembered, counted once for each incarnation."""
        return self._size

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call ``listener`` after each update; return a function that removes it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def report(self, incarnation: str, lost: LostRuns, now: float) -> None:
        """Record the requests of this process at an incarnation that has ended."""
        if lost:
            reported = EndedIncarnation(
                incarnation,
                waiting=lost.waiting,
                answering=lost.answering,
                prompts=lost.prompts,
            )
            self.offer(reported, now)

    def offer(
        self, reported: EndedIncarnation, now: float, *, source: object = None
    ) -> None:
        """Merge a report of the session ``source``, None for one of this process."""
        if reported.age_s >= RETENTION_S:
            return
        incarnation = self._incarnations.get(reported.incarnation)
        if incarnation is None:
            incarnation = _Incarnation(now - max(0.0, reported.age_s))
        new = _additions(incarnation, reported)
        if new is None:
            return
        self._incarnations[reported.incarnation] = incarnation
        self._add(incarnation, new, source)
        self._clear_answered(new, now)
        self._clear_begun(new, incarnation)
        self._drop_excess()
        for listener in self._listeners:
            listener()

    def _add(
        self, incarnation: _Incarnation, new: EndedIncarnation, source: object
    ) -> None:
        size = incarnation.size
        incarnation.waiting.update(new.waiting)
        incarnation.answering.update(new.answering)
        incarnation.cleared.update(new.cleared)
        incarnation.prompts.update(new.prompts)
        incarnation.sound.update(new.sound)
        self._size += incarnation.size - size
        for request in (*new.waiting, *new.answering):
            self._of_request.setdefault(request, set()).add(new.incarnation)
        self._parts.blame(new.incarnation, new.prompts, incarnation.sound)
        self._parts.clear(new.incarnation, new.sound)
        self._version += 1
        incarnation.updates.append(_VersionedUpdate(self._version, source, new))

    def _clear_answered(self, reported: EndedIncarnation, now: float) -> None:
        """Clear requests in a report that were answered here recently."""
        since = now - ANSWERED_RETENTION_S
        requests = (*reported.waiting, *reported.answering)
        cleared = [
            request
            for request in requests
            if self._answered.get(request, -math.inf) > since
        ]
        new = _additions(
            self._incarnations[reported.incarnation],
            EndedIncarnation(reported.incarnation, cleared=(*cleared,)),
        )
        if new is not None:
            self._add(self._incarnations[reported.incarnation], new, None)

    def _clear_begun(
        self, reported: EndedIncarnation, incarnation: _Incarnation
    ) -> None:
        """Clear parts in a report whose answers began here just before the end."""
        since = incarnation.ended_at - BEGUN_RETENTION_S
        parts = dict.fromkeys(p for _, *parts in reported.prompts for p in parts)
        sound = [p for p in parts if self._begun.get(p, -math.inf) > since]
        new = _additions(
            incarnation, EndedIncarnation(reported.incarnation, sound=(*sound,))
        )
        if new is not None:
            self._add(incarnation, new, None)

    def begun(self, parts: tuple[bytes, ...], now: float) -> None:
        """Record the first event of an answer, which shows that its prompt's parts
        end no upstream."""
        for part in parts:
            self._begun[part] = now
            self._begun.move_to_end(part)
        while len(self._begun) > MAX_BEGUN:
            self._begun.popitem(last=False)
        self.clear_parts(parts, now)

    def clear_parts(self, parts: Iterable[bytes], now: float) -> None:
        """Stop blaming parts for the incarnations that have ended so far."""
        for name, sound in sorted(self._parts.ends_of(parts).items()):
            self.offer(EndedIncarnation(name, sound=(*sound,)), now)

    @property
    def harmful_parts(self) -> tuple[HarmfulParts, ...]:
        """All groups of parts that are quarantined."""
        return self._parts.harmful

    def last_end_at(self, harmful: HarmfulParts) -> float:
        """Return when the last of the upstreams ended that ``harmful`` explains."""
        return max(self._incarnations[name].ended_at for name in harmful.ended)

    def harmful_parts_in(self, parts: Iterable[bytes]) -> HarmfulParts | None:
        """Return the parts for which a prompt must not be sent to any upstream."""
        return self._parts.harmful_in(parts)

    def answered(self, request: bytes, now: float) -> None:
        """Record a complete answer, which shows that the request ends no upstream."""
        self._answered[request] = now
        self._answered.move_to_end(request)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        self.clear(request, now)

    def clear(self, request: bytes, now: float) -> None:
        """Stop blaming a request for the incarnations that have ended so far."""
        for name in sorted(self._of_request.get(request, ())):
            if request not in self._incarnations[name].cleared:
                self.offer(EndedIncarnation(name, cleared=(request,)), now)

    def since(self, version: int, now: float, *, exclude: object = None) -> Update:
        """Return the additions after ``version``, without those received from the
        session ``exclude``."""
        if version == self._version:
            return Update((), version)
        updates = [
            (update, incarnation.ended_at)
            for incarnation in self._incarnations.values()
            for update in incarnation.updates
            if update.version > version and self._should_send(update, version, exclude)
        ]
        updates.sort(key=lambda pair: pair[0].version)
        return Update(
            tuple(
                _with_age(update.report, now - ended_at) for update, ended_at in updates
            ),
            self._version,
        )

    def blamed_for(self, request: bytes) -> tuple[str, ...]:
        """Return the incarnations that a request is considered to have ended."""
        incarnations = self._of_request.get(request, ())
        return tuple(
            sorted(name for name in incarnations if self._is_to_blame(request, name))
        )

    def is_quarantined(self, request: bytes) -> bool:
        """Return whether the request must not be sent to any upstream."""
        # Fast path: nearly all requests ran at no incarnation that ended.
        if len(self._of_request.get(request, ())) < QUARANTINE_AFTER:
            return False
        return len(self.blamed_for(request)) >= QUARANTINE_AFTER

    def quarantined(self) -> tuple[bytes, ...]:
        """Return all requests that are quarantined."""
        return tuple(
            request for request in self._of_request if self.is_quarantined(request)
        )

    def expire(self, now: float) -> None:
        """Drop ends that are older than the retention time."""
        old = [
            key
            for key, incarnation in self._incarnations.items()
            if now >= incarnation.ended_at + RETENTION_S
        ]
        for name in old:
            self._drop(name)

    def _should_send(
        self, update: _VersionedUpdate, version: int, exclude: object
    ) -> bool:
        if update.source is None:
            return True
        if update.source is exclude:
            return False
        return self._relays or version == 0

    def _is_to_blame(self, request: bytes, name: str) -> bool:
        incarnation = self._incarnations[name]
        if not incarnation.blames(request) or self._parts.explains(name):
            return False
        if request in incarnation.waiting:
            return True
        # It was being answered, so a quarantined request that was still waiting there
        # explains the end better.
        return not any(
            self._is_quarantined_by_waiting(other)
            for other in incarnation.waiting
            if other != request
        )

    def _is_quarantined_by_waiting(self, request: bytes) -> bool:
        """Return whether the ends at which the request waited suffice by themselves."""
        incarnations = self._of_request.get(request, ())
        if len(incarnations) < QUARANTINE_AFTER:
            return False
        ended = (
            self._incarnations[name]
            for name in incarnations
            if not self._parts.explains(name)
        )
        waited_at = [i for i in ended if request in i.waiting and i.blames(request)]
        return len(waited_at) >= QUARANTINE_AFTER

    def _drop_excess(self) -> None:
        """Drop ends if a bound is exceeded, first those that quarantine no request."""
        if self._fits(1.0):
            return
        quarantining = {
            name for request in self.quarantined() for name in self.blamed_for(request)
        }
        quarantining.update(
            name for group in self.harmful_parts for name in group.ended
        )
        for name in sorted(self._incarnations, key=quarantining.__contains__):
            if self._fits(TRIM_FRACTION):
                return
            self._drop(name)

    def _fits(self, fraction: float) -> bool:
        """Return whether at most the given fraction of each bound is in use."""
        incarnations_fit = len(self._incarnations) <= MAX_INCARNATIONS * fraction
        return incarnations_fit and self._size <= MAX_REQUESTS * fraction

    def _drop(self, name: str) -> None:
        incarnation = self._incarnations.pop(name)
        self._size -= incarnation.size
        self._parts.forget(name)
        for request in incarnation.waiting | incarnation.answering:
            incarnations = self._of_request[request]
            incarnations.discard(name)
            if not incarnations:
                del self._of_request[request]


def _additions(
    incarnation: _Incarnation, reported: EndedIncarnation
) -> EndedIncarnation | None:
    """Return what a report adds to an incarnation, None if nothing."""
    # A report that clears a request may arrive before the one that blames it, and needs
    # as much capacity.
    capacity = max(0, 2 * MAX_REQUESTS_PER_INCARNATION - incarnation.size)
    waiting = _missing_from(reported.waiting, incarnation.waiting)[:capacity]
    capacity -= len(waiting)
    answering = _missing_from(reported.answering, incarnation.answering)[:capacity]
    capacity -= len(answering)
    cleared = _missing_from(reported.cleared, incarnation.cleared)[:capacity]
    capacity -= len(cleared)
    prompts = _missing_from(reported.prompts, incarnation.prompts)[:capacity]
    capacity -= len(prompts)
    sound = _missing_from(reported.sound, incarnation.sound)[:capacity]
    if not (waiting or answering or cleared or prompts or sound):
        return None
    return EndedIncarnation(
        reported.incarnation,
        waiting,
        answering,
        cleared,
        prompts=prompts,
        sound=sound,
    )


def _missing_from(reported: Iterable[T], known: set[T]) -> tuple[T, ...]:
    return tuple(dict.fromkeys(item for item in reported if item not in known))


def _with_age(reported: EndedIncarnation, age_s: float) -> EndedIncarnation:
    return msgspec.structs.replace(reported, age_s=max(0.0, age_s))
