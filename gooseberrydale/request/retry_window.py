"""How many sends beyond the first a process may make within a sliding window.  Pure.

Lives as long as the process.  It answers the moment in which upstreams die with many
streams on them: a part of all requests of the last seconds may be sent again, and all
of it at once if none of it was used yet.  A bucket that fills at the same rate but
holds little let go of half of the streams of two dead engines, with four of five
retries of the window unused.
"""

from __future__ import annotations

from collections import deque


class RetryWindow:
    """Counts requests and retries; times are seconds of the loop.

    Within any ``window_s``, retries stay within ``ratio`` of the requests of these
    seconds, and ``slack`` beside.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def left(self) -> float:
        """Retries that were left when it was asked last."""
        return self._allowed() - len(self._retries)

    def deposit(self, now: float) -> None:
        """Count one fresh request."""
        self._forget(now)
        self._requests.append(now)

    def spend(self, now: float, keep_part: float = 0.0) -> bool:
        """Take one retry; False means that none may be made now.

        ``keep_part`` of the window's retries are left to those that matter more.
        """
        self._forget(now)
        if len(self._retries) + 1 > self._allowed() * (1.0 - keep_part):
            return False
        self._retries.append(now)
        return True

    def resize(self, slack: float) -> None:
        """Change what is allowed beside the part of the requests."""
        self._slack = slack

    def _allowed(self) -> float:
        return self._ratio * len(self._requests) + self._slack

    def _forget(self, now: float) -> None:
        oldest = now - self._window_s
        for moments in (self._requests, self._retries):
            while moments and moments[0] <= oldest:
                moments.popleft()
