"""What a gateway counts and measures, for scrapes of its metrics.

Lives as long as the process.  The libraries for metrics are loaded only if the settings
ask for a listener: they take memory and time at the start that others can save.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from gooseberrydale.process.metrics import Metrics


MOST_WORKSPACES = 200
"""Series of one metric; workspaces beyond that share one."""

OTHER_WORKSPACES = "#others"


class Measures(Protocol):
    """What the request path tells."""

    def request_ended(
        self, route: str, outcome: str, first_s: float, took_s: float
    ) -> None:
        """A request has ended; ``first_s`` is 0 if no answer began."""

    def held(self, route: str, seconds: float) -> None:
        """A request waited for its first upstream."""

    def sent_again(self, cause: str) -> None:
        """A send ended without a whole answer, and another one follows."""

    def over_quota(self, workspace: str, cost: int) -> None:
        """A request that counts ``cost`` was refused for its quota."""


class Unmeasured:
    """Measures nothing."""

    def request_ended(
        self, route: str, outcome: str, first_s: float, took_s: float
    ) -> None:
        """Nothing."""

    def held(self, route: str, seconds: float) -> None:
        """Nothing."""

    def sent_again(self, cause: str) -> None:
        """Nothing."""

    def over_quota(self, workspace: str, cost: int) -> None:
        """Nothing."""


class Measured:
    """Tells the instruments of ``metrics``; a route stands in place of a profile."""

    def __init__(self, metrics: Metrics) -> None:
        self._instruments = metrics.instruments
        self._workspaces: set[str] = set()

    def request_ended(
        self, route: str, outcome: str, first_s: float, took_s: float
    ) -> None:
        """Count a request and its times."""
        instruments = self._instruments
        instruments.count_request(route, outcome)
        if first_s > 0.0:
            instruments.observe_ttft(route, first_s)
        instruments.request_s.record(took_s, {"profile": route, "outcome": outcome})

    def held(self, route: str, seconds: float) -> None:
        """Record the time before the first send."""
        self._instruments.held_s.record(seconds, {"profile": route})

    def sent_again(self, cause: str) -> None:
        """Count a retry by its cause."""
        self._instruments.retries.add(1, {"cause": cause})

    def over_quota(self, workspace: str, cost: int) -> None:
        """Count what was refused of a workspace; many of them are counted together."""
        known = self._workspaces
        if workspace not in known and len(known) >= MOST_WORKSPACES:
            workspace = OTHER_WORKSPACES
        known.add(workspace)
        self._instruments.over_quota.add(cost, {"workspace": workspace})
