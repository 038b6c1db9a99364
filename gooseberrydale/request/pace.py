"""Spaces the starts of work at one upstream as it asks for.  Pure.

A token bucket keeps the limit of its rate.  It begins empty when a limit is named: what
the upstream got before is not counted.  Nothing starts while the upstream wants none.
"""

from __future__ import annotations

import math

AT_ONCE = 2.0
"""Requests that may be saved up, beside those of a second."""

LEAST_PER_S = 0.25
"""An upstream that takes less is still asked this often whether its limit holds."""


class Pace:
    """Starts of one upstream; times are seconds of the loop."""

    def __init__(self) -> None:
        self._per_s: float | None = None
        self._level = 0.0
        self._filled_at = 0.0
        self._backoff_until = -math.inf

    def back_off(self, for_s: float, now: float) -> None:
        """The upstream wants no work for a time."""
        self._backoff_until = max(self._backoff_until, now + for_s)

    def limit(self, per_s: float | None, now: float) -> None:
        """The upstream takes ``per_s`` requests a second; any number if it is None."""
        if per_s is None:
            self._per_s = None
            return
        if self._per_s is None:
            self._level, self._filled_at = 0.0, now
        self._fill(now)
        self._per_s = max(LEAST_PER_S, per_s)

    def wait_s(self, now: float, ahead: int = 0) -> float:
        """Seconds until work may start that has ``ahead`` others before it."""
        backoff_s = max(0.0, self._backoff_until - now)
        if self._per_s is None:
            return backoff_s
        self._fill(now)
        return max(backoff_s, (ahead + 1.0 - self._level) / self._per_s)

    def start(self, now: float) -> None:
        """Work starts."""
        if self._per_s is not None:
            self._fill(now)
            self._level -= 1.0

    def _fill(self, now: float) -> None:
        if self._per_s is not None:
            filled = self._level + (now - self._filled_at) * self._per_s
            self._level = min(AT_ONCE + self._per_s, filled)
        self._filled_at = now
