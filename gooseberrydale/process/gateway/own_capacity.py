"""Observes what this gateway itself can take, and declines requests beyond that.

There is one :class:`OwnCapacity` per process.  The rule is in
``request/self_limit.py``.  A declined request has been sent nowhere, and its caller's
retry reaches another gateway.  Without another gateway, and while no pool shares
capacity, nothing is declined.
"""

from __future__ import annotations

import asyncio

from starlette.types import Message, Send

from gooseberrydale.connection.gateway_datagrams import FleetView
from gooseberrydale.log_events import emit
from gooseberrydale.log_events.capacity import GatewayOverloaded
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.process.gateway.routed_request import RoutedRequest
from gooseberrydale.process.gateway.slow_readers import MAX_HELD_BYTES, SlowReaders
from gooseberrydale.process.http.connection_gate import ConnectionGate, LinkUse
from gooseberrydale.request.retry_after import (
    MIN_RETRY_AFTER_S,
    REMAINING_TIME_FRACTION,
)
from gooseberrydale.request.self_limit import (
    NEARLY_FULL,
    LoopLateness,
    OwnUse,
    SelfLimit,
    excess_s,
)
from gooseberrydale.version.wait_limits import WaitLimits

SAME_LIMIT_TOLERANCE = 0.002
"""Relative difference up to which two callers' wait limits count as the same: 24 ms of
12 s. A retry after the shortest time that is asked for here differs by more."""

RETRY_AFTER_FRACTION = 0.005
"""Shortest retry time as a fraction of the caller's remaining time, so that the retry
is recognized by the time that its caller has left."""

REPORT_INTERVAL_S = 0.25
REPORT_RETENTION_S = 1.5
"""Time for which a reported delay counts.  A gateway reports at least once a second."""

DELAY_UNIT_S = 0.01
MAX_UNITS = 255


class OwnCapacity:
    """Observes the event loop, the link, descriptors and memory of this gateway.

    It is also the report of the own delay to nearby gateways, a ``ReportExtra``.
    """

    name = "delay"

    def __init__(
        self,
        gate: ConnectionGate,
        readers: SlowReaders,
        sharing: CapacitySharing,
        fleet: FleetView,
        link_mbps: float,
    ) -> None:
        self._gate = gate
        self._readers = readers
        self._sharing = sharing
        self._fleet = fleet
        self._link = LinkUse(link_mbps)
        self._lateness = LoopLateness()
        self._limit = SelfLimit()
        self._wait_limits = WaitLimits(SAME_LIMIT_TOLERANCE)
        # By gateway: the delay it reported, and when.
        self._others: dict[str, tuple[float, float]] = {}
        self._reported_at = 0.0
        self._declined_from: int | None = None

    # Observations.

    def ticked(self, due_at: float, now: float) -> None:
        """Record a tick of the event loop that was due at ``due_at``."""
        if not self._sharing.any_applies:
            return
        self._lateness.ticked(due_at, now)
        use = OwnUse(
            excess_s(self._lateness.delay_s, self._delays_of_others(now)),
            max(
                self._gate.used_fraction,
                self._link.fraction(now),
                self._readers.held_bytes / MAX_HELD_BYTES,
            ),
        )
        self._limit.updated(use, now)
        self._log_changes(use)

    def received(self, size: int, now: float) -> None:
        """Count bytes from callers; they pass the link again to an upstream."""
        if self._sharing.any_applies:
            self._link.received(size, now)

    def counted(self, send: Send) -> Send:
        """Return ``send`` so that bytes of the answer's body are counted."""
        if not self._sharing.any_applies:
            return send

        async def send_counted(message: Message) -> None:
            self._link.received(len(message.get("body", b"")), _now())
            await send(message)

        return send_counted

    # Decisions.

    def decline_after_s(self, job: RoutedRequest) -> float | None:
        """Return the retry time with which to decline a request; None to serve it.

        Resumed streams and requests that were refused before are served.
        """
        if not self._sharing.any_applies:
            return None
        now, left_s = _now(), job.left_s()
        self._limit.arrived(job.rank, job.route.objective_s, now)
        wait_s = job.call.wait_s
        prior_wait_s = self._wait_limits.prior_wait_s(job.route.name, wait_s)
        after_s = max(MIN_RETRY_AFTER_S, RETRY_AFTER_FRACTION * left_s)
        is_last_try = prior_wait_s > 0.0 or after_s > REMAINING_TIME_FRACTION * left_s
        if is_last_try or job.call.last_event_id is not None or not self._fleet().near:
            return None
        if not self._limit.declines(job.rank):
            return None
        return after_s

    # Reports to nearby gateways.

    def own(self, now: float) -> bytes:
        """Return the own delay in units of 10 ms, at most four times a second."""
        due = now >= self._reported_at + REPORT_INTERVAL_S
        if not due or not self._sharing.any_applies:
            return b""
        self._reported_at = now
        return bytes([min(MAX_UNITS, round(self._lateness.delay_s / DELAY_UNIT_S))])

    def merge_own(self, gateway: str, data: bytes, now: float) -> None:
        """Record the delay of a nearby gateway."""
        if len(data) == 1:
            self._others[gateway] = data[0] * DELAY_UNIT_S, now

    def zone(self, now: float) -> bytes:
        """Return nothing: callers retry within their zone."""
        return b""

    def elsewhere(self, now: float) -> bytes:
        """Return nothing, as for the own zone."""
        return b""

    def merge_area(self, area: str, data: bytes, now: float) -> None:
        """Ignore the data, as no area reports any."""

    def _delays_of_others(self, now: float) -> list[float]:
        for name, (_, at) in list(self._others.items()):
            if at < now - REPORT_RETENTION_S:
                del self._others[name]
        return [delay_s for delay_s, _ in self._others.values()]

    def _log_changes(self, use: OwnUse) -> None:
        from_rank = self._limit.first_declined
        if from_rank == self._declined_from:
            return
        self._declined_from = from_rank
        reason = "event loop" if use.used < NEARLY_FULL else "link, fds or memory"
        emit(GatewayOverloaded(reason, round(use.used, 2), from_rank))


def _now() -> float:
    return asyncio.get_running_loop().time()
