"""What a scrape of a gateway's metrics reads of capacity sharing."""

from __future__ import annotations

from collections.abc import Mapping

from gooseberrydale.process.capacity_levels import ReservationCounts
from gooseberrydale.process.gateway.request_queue import RequestQueue
from gooseberrydale.process.gateway.reservation_client import ReservationClient
from gooseberrydale.process.gateway.upstreams import Upstreams


class GatewayLevels:
    """The present values of one gateway, as :class:`CapacityLevels`."""

    def __init__(
        self,
        upstreams: Upstreams,
        queue: RequestQueue,
        reservations: ReservationClient,
    ) -> None:
        self._upstreams = upstreams
        self._queue = queue
        self._reservations = reservations

    def waiting(self) -> Mapping[int, int]:
        """Return how many requests wait at this gateway, by rank."""
        return self._queue.waiting_by_rank()

    def speed_factors(self) -> Mapping[str, float]:
        """Return the learned speed relative to the pool's mean, by upstream."""
        return self._upstreams.speeds.factors()

    def limits(self) -> Mapping[str, float]:
        """Return the learned fraction of declared capacity that is used, by pool."""
        return self._upstreams.capacity.fractions()

    def workspaces_over(self) -> Mapping[str, int]:
        """Return how many workspaces with waiting requests are over their share."""
        return self._queue.workspaces_over()

    def reservations(self) -> ReservationCounts:
        """Return the counts of reservations since the start of the process."""
        counts = self._reservations.counts
        return ReservationCounts(
            asked=counts.granted + counts.refused + counts.alone,
            granted=counts.granted,
            refused=counts.refused,
            unanswered=counts.alone,
        )
