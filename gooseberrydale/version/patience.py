"""How long callers of a route are ready to wait when they first ask, as observed.

Lives as long as the process; pure.  A caller that was told to come back has less time
left than the others when it does.  Nothing else tells its request from a fresh one.
"""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of the newest caller: about the last twenty count."""

MOSTLY = 0.5
"""Part of the callers that must have the same patience; with fewer, callers differ and
nothing follows from how long one of them waits."""

RARELY = 0.1
"""With fewer than this part the longest patience is no longer the usual one."""

SAME_PART = 0.02
"""Two callers whose patience differs by no more have the same."""

KEPT_ROUTES = 4_096


class Patience:
    """The longest time that callers of each route said they would wait."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}
        # Which part of the callers of a route would wait that long.
        self._same: dict[str, float] = {}

    def waited_before_s(self, route: str, wait_s: float | None) -> float:
        """For how long the caller has waited already; notes its patience as well."""
        if wait_s is None:
            return 0.0
        longest_s = self._longest_s.get(route, 0.0)
        rare = self._same.get(route, 0.0) < RARELY
        if rare or wait_s > longest_s * (1.0 + SAME_PART):
            if longest_s or len(self._longest_s) < KEPT_ROUTES:
                self._longest_s[route], self._same[route] = wait_s, 1.0
            return 0.0
        same = wait_s >= longest_s * (1.0 - SAME_PART)
        known = self._same[route]
        self._same[route] = known + SMOOTHING * (float(same) - known)
        if same or self._same[route] < MOSTLY:
            return 0.0
        return longest_s - wait_s
