"""How many homes the requests for a prefix call for, before a wait shows.

An entry sees only its share of the requests for a hot prefix, and hears of a wait
seconds after it has built up.  But it can count: its own rate of requests, times the
entries that share the traffic, times what each of them leaves to compute, says how
many upstreams they keep busy.  Pure; a part of the router's state.
"""

from __future__ import annotations

import math
from collections import OrderedDict

RATE_WINDOW_S = 2.0
# The part of an upstream's time that one prefix may take from each of its homes.
TARGET_USE = 0.6
# Requests within the window; fewer say nothing about a rate.
MIN_SEEN = 1.8
KEPT_PREFIXES = 4_096


class Demand:
    """Rates of requests by prefix, fading and bounded."""

    def __init__(self) -> None:
        self._seen: OrderedDict[bytes, tuple[float, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def count(self, prefix: bytes, now: float) -> float:
        """Count one request; return how many there were in the window."""
        seen, at = self._seen.get(prefix, (0.0, now))
        seen = seen * math.exp((at - now) / RATE_WINDOW_S) + 1.0
        self._seen[prefix] = (seen, now)
        self._seen.move_to_end(prefix)
        if len(self._seen) > KEPT_PREFIXES:
            self._seen.popitem(last=False)
        return seen


def homes_needed(seen: float, entries: int, compute_s: float) -> int:
    """Return the homes for ``seen`` requests at each of ``entries`` in the window.

    ``compute_s`` is what one request leaves to compute at a home, in seconds.
    """
    if seen < MIN_SEEN:
        return 1
    use = seen / RATE_WINDOW_S * entries * compute_s
    return max(1, math.ceil(use / TARGET_USE))
