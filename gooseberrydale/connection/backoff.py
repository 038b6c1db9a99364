"""Delays between the connection attempts of one client."""

from __future__ import annotations

import random


class Backoff:
    """Exponential backoff with jitter, from ``first_s`` up to ``max_s`` seconds.

    Each delay is drawn from the upper half of the current bound.  The jitter keeps the
    clients of a server from reconnecting at the same moment.
    """

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._bound_s = first_s

    def next_s(self) -> float:
        """Return the delay before the next attempt and double the bound."""
        delay_s = self._bound_s * self._rng.uniform(0.5, 1.0)
        self._bound_s = min(self._bound_s * 2, self._max_s)
        return delay_s

    def reset(self) -> None:
        """Start again with the first delay."""
        self._bound_s = self._first_s
