"""Which requests ran at upstreams when these ended, and which of them are quarantined.

Lives as long as the process and is lost with it; pure.  Every process tells what it had
running at each incarnation that ended, and hears what the others had.  What is told
only ever adds to what is known, so it may come late, twice and in any order, and all
processes reach the same view without agreement.

A request that has ended three upstreams is quarantined: it is sent to no other one.  It
shares upstreams with innocent ones, so more than the count decides: a stream that was
answering when its upstream ended is not blamed for an end that a quarantined request
explains, and whatever is answered whole is not blamed for any.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from gooseberrydale.connection.mesh import EndedIncarnation
from gooseberrydale.version.open_runs import LostRuns

QUARANTINE_AFTER = 3
"""Upstreams that a request may end.  Two can be bad luck: a stream that goes on
elsewhere while upstreams die one after the other meets two of them easily."""

KEPT_S = 900.0
"""An end is forgotten after this.  A request in quarantine may then run once more, as
its upstreams may have been mended; if it ends that one too, it is back in it."""

ANSWERED_LASTS_S = 60.0
"""A whole answer speaks for a request for this long: one that is asked for all the time
runs everywhere, and so at each upstream of a rack that is lost."""

MOST_ANSWERED = 4_096
"""Requests whose whole answers are remembered; those asked for often stay longest."""

MOST_REQUESTS = 16_384
"""Requests of incarnations that ended, counted once for each incarnation: some 6 MB.
The ends of a whole rack, 40 upstreams with 64 requests each, are a sixth of it."""

MOST_INCARNATIONS = 2_048
MOST_OF_INCARNATION = 512
"""Requests that are remembered of one incarnation; upstreams run and queue a part of
it."""

KEPT_PART = 0.875
"""Over a bound, ends are forgotten down to this part of it, so that it is seldom."""

Listener = Callable[[], None]


@dataclass(slots=True)
class _Incarnation:
    """What is known of one incarnation; ``news`` are the parts in the order they
    came."""

    ended_at: float
    waiting: set[bytes] = field(default_factory=set)
    answering: set[bytes] = field(default_factory=set)
    cleared: set[bytes] = field(default_factory=set)
    news: list[_News] = field(default_factory=list)

    @property
    def size(self) -> int:
        return len(self.waiting) + len(self.answering) + len(self.cleared)

    def blames(self, request: bytes) -> bool:
        """Whether the request may have ended this incarnation, for all that is
        known."""
        if request in self.cleared:
            return False
        return request in self.waiting or request in self.answering


@dataclass(frozen=True, slots=True)
class _News:
    version: int
    source: object
    told: EndedIncarnation


@dataclass(frozen=True, slots=True)
class News:
    """What came after a version, and the version that it reaches."""

    incarnations: tuple[EndedIncarnation, ...]
    version: int


class EndedIncarnations:
    """Lives of upstreams that ended; times are seconds of the receiver's loop.

    With ``relays`` off, what was heard goes only to whoever has heard nothing yet: a
    process whose sessions all lead to relays need not tell them of each other.
    """

    def __init__(self, *, relays: bool = True) -> None:
        self._relays = relays
        # Those that ended first stand first.
        self._incarnations: dict[str, _Incarnation] = {}
        self._of_request: dict[bytes, set[str]] = {}
        # When requests had their last whole answer here, the latest at the end.
        self._answered: OrderedDict[bytes, float] = OrderedDict()
        self._size = 0
        # Above the version of a session that has told nothing yet.
        self._version = 1
        self._listeners: list[Listener] = []

    def __len__(self) -> int:
        return len(self._incarnations)

    @property
    def size(self) -> int:
        """Requests that are remembered, counted once for each incarnation."""
        return self._size

    def subscribe(self, listener: Listener) -> Callable[[], None]:
        """Call ``listener`` whenever there is news; return how to stop that."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def report(self, incarnation: str, lost: LostRuns, now: float) -> None:
        """This process has found that ``incarnation`` has ended."""
        if lost:
            told = EndedIncarnation(
                incarnation, waiting=lost.waiting, answering=lost.answering
            )
            self.offer(told, now)

    def offer(
        self, told: EndedIncarnation, now: float, *, source: object = None
    ) -> None:
        """Take in what was found here, or told by the session ``source``."""
        if told.age_s >= KEPT_S:
            return
        incarnation = self._incarnations.get(told.incarnation)
        if incarnation is None:
            incarnation = _Incarnation(now - max(0.0, told.age_s))
        new = _new_in(incarnation, told)
        if new is None:
            return
        self._incarnations[told.incarnation] = incarnation
        self._add(incarnation, new, source)
        self._clear_answered(new, now)
        self._make_room()
        for listener in self._listeners:
            listener()

    def _add(
        self, incarnation: _Incarnation, new: EndedIncarnation, source: object
    ) -> None:
        incarnation.waiting.update(new.waiting)
        incarnation.answering.update(new.answering)
        incarnation.cleared.update(new.cleared)
        for request in (*new.waiting, *new.answering):
            self._of_request.setdefault(request, set()).add(new.incarnation)
        self._size += len(new.waiting) + len(new.answering) + len(new.cleared)
        self._version += 1
        incarnation.news.append(_News(self._version, source, new))

    def _clear_answered(self, told: EndedIncarnation, now: float) -> None:
        """Let nobody blame what has been answered here just now."""
        since = now - ANSWERED_LASTS_S
        found = (*told.waiting, *told.answering)
        cleared = [one for one in found if self._answered.get(one, -math.inf) > since]
        new = _new_in(
            self._incarnations[told.incarnation],
            EndedIncarnation(told.incarnation, cleared=(*cleared,)),
        )
        if new is not None:
            self._add(self._incarnations[told.incarnation], new, None)

    def answered(self, request: bytes, now: float) -> None:
        """A request has its whole answer, so it does not end whoever runs it."""
        self._answered[request] = now
        self._answered.move_to_end(request)
        if len(self._answered) > MOST_ANSWERED:
            self._answered.popitem(last=False)
        self.clear(request, now)

    def clear(self, request: bytes, now: float) -> None:
        """Blame a request for none of the incarnations that have ended so far."""
        for name in sorted(self._of_request.get(request, ())):
            if request not in self._incarnations[name].cleared:
                self.offer(EndedIncarnation(name, cleared=(request,)), now)

    def since(self, version: int, now: float, *, exclude: object = None) -> News:
        """What came after ``version``, but not from the session ``exclude``."""
        if version == self._version:
            return News((), version)
        found = [
            (one, incarnation.ended_at)
            for incarnation in self._incarnations.values()
            for one in incarnation.news
            if one.version > version and self._passes_on(one, version, exclude)
        ]
        found.sort(key=lambda pair: pair[0].version)
        return News(
            tuple(_aged(one.told, now - ended_at) for one, ended_at in found),
            self._version,
        )

    def blamed_for(self, request: bytes) -> tuple[str, ...]:
        """The incarnations that a request is taken to have ended."""
        incarnations = self._of_request.get(request, ())
        return tuple(
            sorted(name for name in incarnations if self._is_to_blame(request, name))
        )

    def is_quarantined(self, request: bytes) -> bool:
        """Whether the request must not be sent to any upstream."""
        # Nearly all requests are in no incarnation that ended.
        if len(self._of_request.get(request, ())) < QUARANTINE_AFTER:
            return False
        return len(self.blamed_for(request)) >= QUARANTINE_AFTER

    def quarantined(self) -> tuple[bytes, ...]:
        """All requests that are quarantined."""
        return tuple(one for one in self._of_request if self.is_quarantined(one))

    def expire(self, now: float) -> None:
        """Forget the ends that are long ago."""
        old = [
            n for n, one in self._incarnations.items() if now >= one.ended_at + KEPT_S
        ]
        for name in old:
            self._forget(name)

    def _passes_on(self, news: _News, version: int, exclude: object) -> bool:
        if news.source is None:
            return True
        if news.source is exclude:
            return False
        return self._relays or version == 0

    def _is_to_blame(self, request: bytes, name: str) -> bool:
        incarnation = self._incarnations[name]
        if not incarnation.blames(request):
            return False
        if request in incarnation.waiting:
            return True
        # It was well under way; somebody else there explains the end better.
        return not any(
            self._is_surely_quarantined(other)
            for other in incarnation.waiting
            if other != request
        )

    def _is_surely_quarantined(self, request: bytes) -> bool:
        """Whether its ends before any part of an answer are enough by themselves."""
        incarnations = self._of_request.get(request, ())
        if len(incarnations) < QUARANTINE_AFTER:
            return False
        found = (self._incarnations[name] for name in incarnations)
        sure = [one for one in found if request in one.waiting and one.blames(request)]
        return len(sure) >= QUARANTINE_AFTER

    def _make_room(self) -> None:
        """Forget what is over the bounds, the ends first that quarantine nobody."""
        if self._fits(1.0):
            return
        quarantining = {
            name for one in self.quarantined() for name in self.blamed_for(one)
        }
        for name in sorted(self._incarnations, key=quarantining.__contains__):
            if self._fits(KEPT_PART):
                return
            self._forget(name)

    def _fits(self, part: float) -> bool:
        """Whether no more than ``part`` of the bounds is in use."""
        incarnations_fit = len(self._incarnations) <= MOST_INCARNATIONS * part
        return incarnations_fit and self._size <= MOST_REQUESTS * part

    def _forget(self, name: str) -> None:
        incarnation = self._incarnations.pop(name)
        self._size -= incarnation.size
        for request in incarnation.waiting | incarnation.answering:
            incarnations = self._of_request[request]
            incarnations.discard(name)
            if not incarnations:
                del self._of_request[request]


def _new_in(
    incarnation: _Incarnation, told: EndedIncarnation
) -> EndedIncarnation | None:
    """What ``told`` adds to what is known of an incarnation; None if nothing."""
    # What clears a request may come before what blames it, and needs as much room.
    room = max(0, 2 * MOST_OF_INCARNATION - incarnation.size)
    waiting = _not_in(told.waiting, incarnation.waiting)[:room]
    room -= len(waiting)
    answering = _not_in(told.answering, incarnation.answering)[:room]
    room -= len(answering)
    cleared = _not_in(told.cleared, incarnation.cleared)[:room]
    if not (waiting or answering or cleared):
        return None
    return EndedIncarnation(told.incarnation, waiting, answering, cleared)


def _not_in(requests: Iterable[bytes], known: set[bytes]) -> tuple[bytes, ...]:
    return tuple(dict.fromkeys(one for one in requests if one not in known))


def _aged(told: EndedIncarnation, age_s: float) -> EndedIncarnation:
    return EndedIncarnation(
        told.incarnation, told.waiting, told.answering, told.cleared, max(0.0, age_s)
    )
