"""Limits the retries that a process may make within a sliding window. Pure.

One per process. When upstreams fail with many open streams, a fraction of all requests
of the last seconds may be sent again, all at once if no retry was used yet. A token
bucket with the same rate and a small capacity is not enough: when two engines failed,
it gave up half of their streams with four of five retries of the window unused.
"""

from __future__ import annotations

from collections import deque


class RetryWindow:
    """Counts requests and retries; times are seconds of the loop's clock.

    Within any ``window_s``, retries are limited to ``ratio`` of the requests in it,
    plus ``slack``.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
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
    def allowed(self) -> float:
        """Retries that the window allows, at the last call of either."""
        return self._ratio * len(self._requests) + self._slack

    def deposit(self, now: float) -> None:
        """Count one fresh request."""
        self._drop_expired(now)
        self._requests.append(now)

    def spend(self, now: float, reserved_fraction: float = 0.0) -> bool:
        """Take one retry; return False if none may be made now.

        ``reserved_fraction`` of the retries allowed in the window are left for more
        important uses.
        """
        self._drop_expired(now)
        if self.spent + 1 > self.allowed * (1.0 - reserved_fraction):
            return False
        self._retries.append(now)
        return True

    def resize(self, slack: float) -> None:
        """Change the number of retries allowed in addition to ``ratio``."""
        self._slack = slack

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._window_s
        for timestamps in (self._requests, self._retries):
            while timestamps and timestamps[0] <= oldest:
                timestamps.popleft()
