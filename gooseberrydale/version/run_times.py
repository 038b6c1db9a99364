"""Mean time that requests of each route run after their first event.

One object per process; no I/O.
"""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of the newest run; roughly the last twenty runs count, about a second of a
busy route."""

MAX_ROUTES = 4_096


class RunTimes:
    """Mean seconds from the first event to the last, by route."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}

    def ended(self, route: str, run_s: float) -> None:
        """Record a request of ``route`` that ended ``run_s`` after its first event."""
        known = self._mean_s.get(route)
        if known is None:
            if len(self._mean_s) < MAX_ROUTES:
                self._mean_s[route] = run_s
            return
        self._mean_s[route] = known + SMOOTHING * (run_s - known)

    def expected_s(self, route: str) -> float:
        """Return the expected run time of a request, 0 if none of ``route`` ended."""
        return self._mean_s.get(route, 0.0)
