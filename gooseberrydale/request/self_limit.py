"""Decides which new requests a busy gateway declines, so that others serve them. Pure.

Gateways differ in size, but callers are spread over them without regard to it. A small
one is overloaded while its neighbours have capacity. It declines a fraction of its new
requests, of the lowest ranks first, and their callers retry at another gateway.

A declined caller loses time and its only retry. So nothing is declined unless the
request, or a more urgent one served here, would be later than after a retry.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

LATENESS_WINDOW_S = 0.4
MIN_LATE_TICKS = 3
"""The ticks within this time count, and no tick as later than the third latest: a
single long callback, such as a new document, is no overload. A process that may use
0.3 of a core in each 0.1 s has four late ticks in this time."""

LOOP_PASSES = 3
"""How often a request waits for the event loop: to be accepted and read, for its
upstream's connection, and for the answer."""

RETRY_COST_S = 0.1
"""What a retry costs a caller: the shortest retry time, a new connection, and sending
the request again."""

OBJECTIVE_FRACTION = 0.25
"""Fraction of the tightest objective that may be spent on waiting for the event loop.
The upstream needs the rest."""

OTHERS_FACTOR = 2.0
"""How many times the delay of other gateways the own one must exceed. If all of them
are overloaded, a retry at a random one gains little, and reading requests twice adds
load: with a factor of 1, more requests were late on a fleet of equal gateways."""

STEP_S = 0.1
"""Interval between two changes of the declined fraction. A change takes about that long
to take effect, as requests that were read before it are still served."""

RAISE = 0.6
LOWER = 0.1
"""Largest change of the declined fraction in one step. It rises within 0.3 s to
its maximum and falls within a second: too slow a rise makes requests late, too fast
a fall brings the overload back before its end is noticed."""

RELEASE_FRACTION = 0.7
"""The declined fraction falls only below this fraction of the limit, and stays as it is
in between, so that it does not swing."""

MAX_DECLINED = 0.9
"""Largest declined fraction of a rank. Some requests are always served, which shows
whether there is capacity again."""

NEARLY_FULL = 0.9
"""Fraction of the amount at which no connections are taken from which requests are
declined. What is declined rises from none there to ``MAX_DECLINED`` at that amount."""

SEEN_S = 5.0
"""How long a rank and its objective count after a request; the interval of a rare
route."""


@dataclass(frozen=True, slots=True)
class OwnUse:
    """What a gateway uses now.

    ``delay_s`` is how much longer a request waits for the event loop here than at other
    gateways.  ``used`` is the largest used fraction of its link, descriptors and
    memory; at 1.0, no connections are taken.
    """

    delay_s: float = 0.0
    used: float = 0.0


class LoopLateness:
    """How long a request waits for the event loop, from how late its ticks are."""

    def __init__(self) -> None:
        # When each tick came, and how late.
        self._ticks: deque[tuple[float, float]] = deque()

    def ticked(self, due_at: float, now: float) -> None:
        """Record a tick that was due at ``due_at``."""
        ticks = self._ticks
        ticks.append((now, max(0.0, now - due_at)))
        while len(ticks) > MIN_LATE_TICKS and ticks[0][0] < now - LATENESS_WINDOW_S:
            ticks.popleft()

    @property
    def delay_s(self) -> float:
        """The seconds that a request waits in all; 0 before there are enough ticks.

        The more of the time late ticks take, the likelier a request comes in it.
        """
        late_s = sorted(late_s for _, late_s in self._ticks)
        if len(late_s) < MIN_LATE_TICKS:
            return 0.0
        longest_s = late_s[-MIN_LATE_TICKS]
        (begin, first_s), (end, _) = self._ticks[0], self._ticks[-1]
        total_s = max(LATENESS_WINDOW_S, end - begin + first_s)
        return LOOP_PASSES * sum(min(s, longest_s) ** 2 for s in late_s) / total_s


class SelfLimit:
    """The fraction of each rank's requests that a gateway declines.

    Times are seconds of the event loop's clock.  ``updated`` is called with each new
    observation, ``declines`` for each request that may be declined.
    """

    def __init__(self) -> None:
        self._use = OwnUse()
        self._stepped_at = -math.inf
        # By rank: when each objective was last seen.
        self._seen: dict[int, dict[float, float]] = {}
        self._by_delay: dict[int, float] = {}
        self._credits: dict[int, float] = {}

    @property
    def is_limiting(self) -> bool:
        """Whether any request is declined at present."""
        return any(self.fraction(rank) > 0.0 for rank in self._seen)

    @property
    def first_declined(self) -> int | None:
        """The most urgent rank of which requests are declined; None if of no rank."""
        declined = (rank for rank in self._seen if self.fraction(rank) > 0.0)
        return min(declined, default=None)

    def arrived(self, rank: int, objective_s: float, now: float) -> None:
        """Record a request, whether it may be declined or not."""
        self._seen.setdefault(rank, {})[objective_s or math.inf] = now

    def declines(self, rank: int) -> bool:
        """Return whether to decline a request; it is spread evenly over requests."""
        credit = self._credits.get(rank, 0.0) + self.fraction(rank)
        declined = credit >= 1.0
        self._credits[rank] = credit - 1.0 if declined else credit
        return declined

    def fraction(self, rank: int) -> float:
        """Return the declined fraction of a rank's requests."""
        return max(self._by_delay.get(rank, 0.0), self._by_use(rank))

    def updated(self, use: OwnUse, now: float) -> None:
        """Record what is used now, and change the declined fractions."""
        self._use = use
        if now < self._stepped_at + STEP_S:
            return
        self._stepped_at = now
        self._drop_unseen(now)
        if not self._raise(use.delay_s):
            self._lower(use.delay_s)

    def _raise(self, delay_s: float) -> bool:
        """Decline more of the lowest rank that is not declined enough yet."""
        for rank in self._lowest_first():
            over = delay_s / self._max_delay_s(rank) - 1.0
            known = self._by_delay.get(rank, 0.0)
            if over <= 0.0:
                return False
            if known < MAX_DECLINED:
                step = RAISE * min(1.0, over)
                self._by_delay[rank] = min(MAX_DECLINED, known + step)
                return True
        return False

    def _lower(self, delay_s: float) -> None:
        """Decline less of the highest rank of which anything is declined."""
        rank = min(self._by_delay, default=None)
        if rank is None or delay_s >= RELEASE_FRACTION * self._max_delay_s(rank):
            return
        self._by_delay[rank] -= LOWER
        if self._by_delay[rank] <= 0.0:
            del self._by_delay[rank]

    def _max_delay_s(self, rank: int) -> float:
        """Return the delay that requests up to ``rank`` tolerate."""
        tightest_s = min(
            (
                objective_s
                for other, seen in self._seen.items()
                if other <= rank
                for objective_s in seen
            ),
            default=math.inf,
        )
        return max(RETRY_COST_S, OBJECTIVE_FRACTION * tightest_s)

    def _by_use(self, rank: int) -> float:
        """Return the declined fraction that follows from what is used.

        It depends on the present use only: memory may stay in use after an overload.
        """
        over = (self._use.used - NEARLY_FULL) / (1.0 - NEARLY_FULL)
        ranks = self._lowest_first()
        if over <= 0.0 or rank not in ranks:
            return 0.0
        fraction = min(1.0, over) * len(ranks) - ranks.index(rank)
        return min(MAX_DECLINED, max(0.0, fraction))

    def _lowest_first(self) -> list[int]:
        return sorted(self._seen, reverse=True)

    def _drop_unseen(self, now: float) -> None:
        for rank, seen in list(self._seen.items()):
            for objective_s, at in list(seen.items()):
                if at < now - SEEN_S:
                    del seen[objective_s]
            if not seen:
                del self._seen[rank]
                self._by_delay.pop(rank, None)
                self._credits.pop(rank, None)


def excess_s(own_s: float, others_s: Iterable[float]) -> float:
    """Return how much longer the delay here is than at other gateways."""
    others = list(others_s)
    usual_s = median(others) if others else 0.0
    return max(0.0, own_s - OTHERS_FACTOR * usual_s)
