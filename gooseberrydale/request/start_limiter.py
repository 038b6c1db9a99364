"""Limits the rate at which work starts at one upstream, as the upstream asks for. Pure.

A token bucket enforces the rate limit. It starts empty when a limit is set, as the
requests sent before are not counted. Nothing starts during a backoff that the upstream
asks for.
"""

from __future__ import annotations

import math

BURST_STARTS = 2.0
"""Requests that may be saved up in the bucket, beyond those of one second."""

MIN_STARTS_PER_S = 0.25
"""Lowest rate. An upstream with a lower limit is still sent requests this often, to
find out whether its limit still holds."""


class StartLimiter:
    """Limits the starts at one upstream; times are seconds of the loop's clock."""

    def __init__(self) -> None:
        self._per_s: float | None = None
        self._level = 0.0
        self._filled_at = 0.0
        self._backoff_until = -math.inf

    def back_off(self, for_s: float, now: float) -> None:
        """Start nothing for ``for_s`` seconds, as the upstream has asked."""
        self._backoff_until = max(self._backoff_until, now + for_s)

    def limit(self, per_s: float | None, now: float) -> None:
        """Limit the starts to ``per_s`` a second; None removes the limit."""
        if per_s is None:
            self._per_s = None
            return
        if self._per_s is None:
            self._level, self._filled_at = 0.0, now
        self._fill(now)
        self._per_s = max(MIN_STARTS_PER_S, per_s)

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until work may start that is behind ``ahead`` others."""
        backoff_s = max(0.0, self._backoff_until - now)
        if self._per_s is None:
            return backoff_s
        self._fill(now)
        return max(backoff_s, (ahead + 1.0 - self._level) / self._per_s)

    def start(self, now: float) -> None:
        """Record that work starts."""
        if self._per_s is not None:
            self._fill(now)
            self._level -= 1.0

    def _fill(self, now: float) -> None:
        if self._per_s is not None:
            filled = self._level + (now - self._filled_at) * self._per_s
            self._level = min(BURST_STARTS + self._per_s, filled)
        self._filled_at = now
