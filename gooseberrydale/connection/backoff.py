"""Delays between tries to reconnect; lives as long as the client that tries."""

from __future__ import annotations

import random


class Backoff:
    """Doubling delays with jitter, from ``first_s`` up to ``max_s`` seconds.

    Each delay is drawn from the upper half of its bound, so that clients of one
    server spread out.
    """

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._rng = rng
        self._bound_s = first_s

    def next_s(self) -> float:
        """The delay before the next try, in seconds."""
        delay_s = self._bound_s * self._rng.uniform(0.5, 1.0)
        self._bound_s = min(self._bound_s * 2, self._max_s)
        return delay_s

    def reset(self) -> None:
        """Begin with the first delay again."""
        self._bound_s = self._first_s
