"""Limits the retries that a process may make within a sliding window. Pure.

One per process and pool.  The processes of a fleet share a limit, and each keeps to its
part of it: a ratio of its own requests, and a part of a fixed slack.  When upstreams
fail with many open streams, all retries of a window may be made at once.

What of its part a process may use now depends on what the others have spent, see
``retry_ledger.py``; the window asks for these terms at each retry.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Terms:
    """What a process may use of its part of the limit now.

    ``slack`` is its part of the slack.  ``level`` is the fraction of ratio and slack
    that it may use, ``fresh_fraction`` what requests of callers that were not here a
    window ago count.  ``least`` is allowed in any case.
    """

    slack: float
    level: float = 1.0
    fresh_fraction: float = 1.0
    least: float = 0.0


class RetryWindow:
    """Counts requests and retries; times are seconds of the loop's clock.

    Within any ``window_s``, retries are limited to ``ratio`` of the requests in it plus
    ``slack``, or to what ``terms`` returns for a time.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        terms: Callable[[float], Terms] | None = None,
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        steady_terms = Terms(slack)
        self._terms = terms if terms is not None else lambda now: steady_terms
        self._now = 0.0
        self._requests: deque[float] = deque()
        # Requests of the window before this one.
        self._earlier: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def left(self) -> float:
        """Retries left at the last call of ``deposit`` or ``spend``."""
        return self.allowed - self.spent

    @property
    def spent(self) -> int:
        """Retries made in the window, at the last call of ``deposit`` or ``spend``."""
        return len(self._retries)

    @property
    def requests(self) -> int:
        """Requests in the window, at the last call of ``deposit`` or ``spend``."""
        return len(self._requests)

    @property
    def allowed(self) -> float:
        """Retries that the window allows, at the last call of either."""
        terms = self._terms(self._now)
        return max(terms.least, terms.level * self.part(terms))

    def part(self, terms: Terms) -> float:
        """Return this process's part of the limit, whatever ``level`` it may use."""
        steady = min(len(self._requests), len(self._earlier))
        fresh = len(self._requests) - steady
        return self._ratio * (steady + terms.fresh_fraction * fresh) + terms.slack

    def deposit(self, now: float) -> None:
        """Count one fresh request."""
        self.advance(now)
        self._requests.append(now)

    def spend(self, now: float) -> bool:
        """Take one retry; return False if none may be made now."""
        self.advance(now)
        if self.spent + 1 > self.allowed:
            return False
        self._retries.append(now)
        return True

    def by_age(self, buckets: int) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Return the requests and the retries in each of ``buckets`` equal parts of the
        window, the latest part first."""
        width_s = self._window_s / buckets
        return (
            _histogram(self._requests, self._now, width_s, buckets),
            _histogram(self._retries, self._now, width_s, buckets),
        )

    def advance(self, now: float) -> None:
        """Drop what has left the window by ``now``."""
        self._now = now
        oldest = now - self._window_s
        while self._requests and self._requests[0] <= oldest:
            self._earlier.append(self._requests.popleft())
        for timestamps, since in (
            (self._earlier, oldest - self._window_s),
            (self._retries, oldest),
        ):
            while timestamps and timestamps[0] <= since:
                timestamps.popleft()


def _histogram(
    times: Iterable[float], now: float, width_s: float, buckets: int
) -> tuple[int, ...]:
    """Return how many of the rising ``times`` are in each bucket."""
    ordered = list(times)
    # The last bucket begins with the first time that is left in the window.
    starts = [bisect_right(ordered, now - width_s * k) for k in range(1, buckets)]
    bounds = [len(ordered), *starts, 0]
    return tuple(end - start for end, start in zip(bounds, bounds[1:], strict=False))
