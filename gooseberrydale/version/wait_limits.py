"""Estimates how long callers have already waited before their current attempt.

One object per process; no I/O.  A request names the time that its caller is still
prepared to wait.  A refused caller that retries has less of it left than the callers of
the same route that ask for the first time; nothing else distinguishes its request from
a new one.  The difference to the longest wait limit seen on the route is the time that
was spent on earlier, refused attempts.
"""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of the newest caller; roughly the last twenty callers count."""

MIN_COMMON_FRACTION = 0.5
"""Fraction of callers that must have the longest wait limit.  If fewer have it, wait
limits vary between callers, and a short one does not indicate a retry."""

MIN_LONGEST_FRACTION = 0.1
"""Fraction of callers below which the longest wait limit counts as outdated and is
replaced."""

SAME_LIMIT_TOLERANCE = 0.02
"""Relative difference up to which two wait limits count as the same."""

MAX_ROUTES = 4_096


class WaitLimits:
    """The longest wait limit that callers of each route have named.

    ``same_tolerance`` is the relative difference up to which two limits are the same.
    """

    def __init__(self, same_tolerance: float = SAME_LIMIT_TOLERANCE) -> None:
        self._tolerance = same_tolerance
        self._longest_s: dict[str, float] = {}
        # Fraction of the callers of each route that have the longest wait limit.
        self._same: dict[str, float] = {}

    def prior_wait_s(self, route: str, wait_s: float | None) -> float:
        """Return the time that a caller has waited already; record its wait limit.

        ``wait_s`` is how long the caller is still prepared to wait, None if unknown.
        """
        if wait_s is None:
            return 0.0
        longest_s = self._longest_s.get(route, 0.0)
        rare = self._same.get(route, 0.0) < MIN_LONGEST_FRACTION
        if rare or wait_s > longest_s * (1.0 + self._tolerance):
            if longest_s or len(self._longest_s) < MAX_ROUTES:
                self._longest_s[route], self._same[route] = wait_s, 1.0
            return 0.0
        same = wait_s >= longest_s * (1.0 - self._tolerance)
        known = self._same[route]
        self._same[route] = known + SMOOTHING * (float(same) - known)
        if same or self._same[route] < MIN_COMMON_FRACTION:
            return 0.0
        return longest_s - wait_s
