"""How long requests of each route go on after their first event, as observed.

Lives as long as the process; pure.
"""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of the newest run: about the last twenty count, a second of a busy route."""

KEPT_ROUTES = 4_096


class RunTimes:
    """Mean seconds from the first event to the last, by route."""

    def __init__(self) -> None:
        self._mean_s: dict[str, float] = {}

    def ended(self, route: str, run_s: float) -> None:
        """A request of ``route`` has come to its end after ``run_s``."""
        known = self._mean_s.get(route)
        if known is None:
            if len(self._mean_s) < KEPT_ROUTES:
                self._mean_s[route] = run_s
            return
        self._mean_s[route] = known + SMOOTHING * (run_s - known)

    def expected_s(self, route: str) -> float:
        """How long a request of ``route`` will likely go on; 0 if none has ended."""
        return self._mean_s.get(route, 0.0)
