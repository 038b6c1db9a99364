"""Limits the retries that a process may make within a sliding window. Pure.

One per process and pool.  The processes of a fleet share a limit but don't exchange
what they spend, so each keeps to its part of it: a ratio of its own requests, and a
part of a fixed slack.  When upstreams fail with many open streams, all retries of a
window may be made at once.

A process that is killed takes along what it has spent.  The process that starts in its
place, and any other to which the callers move, must not spend the same part again
within the same window.  So requests of callers that were not here a window ago pay only
for a fraction of the retries that those of other callers do, and a process that has
started less than a window ago has the same fraction of its slack, which grows with its
age.  The limit of the fleet then holds without any message and whatever is killed.
"""

from __future__ import annotations

import math
from collections import deque

FRESH_FRACTION = 0.6
"""Fraction of the retries that requests of new callers and a new process's slack pay
for.  The fleet makes at most 1 + FRESH_FRACTION times the sum of all processes' limits,
as those that were killed may have spent theirs."""


class RetryWindow:
    """Counts requests and retries; times are seconds of the loop's clock.

    Within any ``window_s``, retries are limited to ``ratio`` of the requests in it,
    plus ``slack``, or to ``least`` if that is more.  The process started at
    ``started_at``.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        started_at: float = -math.inf,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._started_at = started_at
        self._now = max(0.0, started_at)
        self._requests: deque[float] = deque()
        # Requests of the window before this one.
        self._earlier: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._least = 0.0

    @property
    def left(self) -> float:
        """Retries left at the last call of ``deposit`` or ``spend``."""
        return self.allowed - self.spent

    @property
    def spent(self) -> int:
        """Retries made in the window, at the last call of ``deposit`` or ``spend``."""
        return len(self._retries)

    @property
    def allowed(self) -> float:
        """Retries that the window allows, at the last call of either."""
        steady = min(len(self._requests), len(self._earlier))
        fresh = len(self._requests) - steady
        paid = self._ratio * (steady + FRESH_FRACTION * fresh)
        return max(self._least, paid + self._slack * self._slack_fraction())

    def deposit(self, now: float) -> None:
        """Count one fresh request."""
        self._advance(now)
        self._requests.append(now)

    def spend(self, now: float, reserved_fraction: float = 0.0) -> bool:
        """Take one retry; return False if none may be made now.

        ``reserved_fraction`` of the retries allowed in the window are left for more
        important uses.
        """
        self._advance(now)
        if self.spent + 1 > self.allowed * (1.0 - reserved_fraction):
            return False
        self._retries.append(now)
        return True

    def resize(self, slack: float, least: float = 0.0) -> None:
        """Change the number of retries allowed in addition to ``ratio``, and the
        number that is allowed in any case."""
        self._slack, self._least = slack, least

    def _slack_fraction(self) -> float:
        """Return the fraction of the slack that this process may use by now."""
        age_s = self._now - self._started_at
        if age_s >= self._window_s:
            return 1.0
        return FRESH_FRACTION * max(0.0, age_s) / self._window_s

    def _advance(self, now: float) -> None:
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
