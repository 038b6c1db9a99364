"""Records metrics of the requests that a gateway serves.

There is one recorder per process.  The metrics libraries are loaded only if the
settings ask for a listener, as they cost memory and start-up time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from gooseberrydale.request.capacity_decision import CapacityCause

if TYPE_CHECKING:
    from gooseberrydale.process.metrics import Metrics


MAX_WORKSPACE_SERIES = 200
"""Maximum number of series of one metric; further workspaces share one series."""

OTHER_WORKSPACES = "#others"


class RequestMetrics(Protocol):
    """The events of requests that are recorded."""

    def request_ended(
        self, route: str, outcome: str, first_s: float, took_s: float
    ) -> None:
        """Record the end of a request; ``first_s`` is 0 if no answer was started."""

    def held(self, route: str, seconds: float) -> None:
        """Record how long a request waited before its first send."""

    def retried(self, cause: str) -> None:
        """Record a retry after a send that ended without a complete answer."""

    def over_quota(self, workspace: str, cost: int) -> None:
        """Record that a request of cost ``cost`` was refused for its quota."""

    def no_capacity(self, cause: CapacityCause, rank: int) -> None:
        """Record that a request of ``rank`` was refused for lack of capacity."""


class DisabledMetrics:
    """Records nothing; used without a metrics listener."""

    def request_ended(
        self, route: str, outcome: str, first_s: float, took_s: float
    ) -> None:
        """Do nothing."""

    def held(self, route: str, seconds: float) -> None:
        """Do nothing."""

    def retried(self, cause: str) -> None:
        """Do nothing."""

    def over_quota(self, workspace: str, cost: int) -> None:
        """Do nothing."""

    def no_capacity(self, cause: CapacityCause, rank: int) -> None:
        """Do nothing."""


class RecordedMetrics:
    """Records with the instruments of ``metrics``.

    A gateway's metrics name the route where other roles name the profile.
    """

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

    def retried(self, cause: str) -> None:
        """Count a retry by its cause."""
        self._instruments.retries.add(1, {"cause": cause})

    def over_quota(self, workspace: str, cost: int) -> None:
        """Count refused cost by workspace; those beyond the maximum share a name."""
        recorded = self._workspaces
        if workspace not in recorded and len(recorded) >= MAX_WORKSPACE_SERIES:
            workspace = OTHER_WORKSPACES
        recorded.add(workspace)
        self._instruments.over_quota.add(cost, {"workspace": workspace})

    def no_capacity(self, cause: CapacityCause, rank: int) -> None:
        """Count a refusal by its cause; documents declare few ranks."""
        labels = {"reason": str(cause), "rank": str(rank)}
        self._instruments.capacity_refusals.add(1, labels)
