"""Computes how many preferred upstreams a prefix needs for its rate of requests.

An entry receives only its share of the requests for a popular prefix, and is informed
of a queue seconds after it has built up. But its own rate of requests, times the number
of entries that share the traffic, times the work that each request leaves to compute,
gives the number of upstreams that the prefix keeps busy. Pure; part of the router's
state.
"""

from __future__ import annotations

import math
from collections import OrderedDict

RATE_WINDOW_S = 2.0
# Fraction of its time that a preferred upstream may spend on one prefix.
TARGET_UTILIZATION = 0.6
# Requests within the window; fewer are too few to estimate a rate.
MIN_REQUESTS = 1.8
MAX_TRACKED_PREFIXES = 4_096


class PrefixRates:
    """Rates of requests by prefix; counts decay, and their number is bounded."""

    def __init__(self) -> None:
        self._counts: OrderedDict[bytes, tuple[float, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._counts)

    def count(self, prefix: bytes, now: float) -> float:
        """Count one request; return the decayed number of requests in the window."""
        requests, counted_at = self._counts.get(prefix, (0.0, now))
        requests = requests * math.exp((counted_at - now) / RATE_WINDOW_S) + 1.0
        self._counts[prefix] = (requests, now)
        self._counts.move_to_end(prefix)
        if len(self._counts) > MAX_TRACKED_PREFIXES:
            self._counts.popitem(last=False)
        return requests


def preferred_needed(requests: float, entries: int, compute_s: float) -> int:
    """Return how many preferred upstreams a prefix needs.

    Each of ``entries`` receives ``requests`` for it in a window. ``compute_s`` is the
    time that one request leaves to compute at a preferred upstream, in seconds.
    """
    if requests < MIN_REQUESTS:
        return 1
    busy_upstreams = requests / RATE_WINDOW_S * entries * compute_s
    return max(1, math.ceil(busy_upstreams / TARGET_UTILIZATION))
