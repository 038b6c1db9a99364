"""Exchanges speeds with other gateways, as data of their work reports.  No I/O."""

from __future__ import annotations

import math
from collections.abc import Callable

from gooseberrydale.version.gateway_peers import Fleet
from gooseberrydale.version.peer_loads import OTHER_ZONES
from gooseberrydale.version.speeds.messages import (
    PoolReport,
    SpeedReport,
    SpeedReportError,
    decode_report,
)
from gooseberrydale.version.speeds.outbox import FACTOR_INTERVAL_S, Outbox
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds

NEAR_BYTES_PER_S = 1_300.0
"""Bytes per second that a gateway receives of all nearby ones together."""

FAR_BYTES_PER_S = 700.0
"""Bytes per second that a relay receives of other zones, and each gateway of a relay.
Both together are below 2 KB/s, a fifth of what a node may spend on control data."""

RATES_PER_S = 2.0
"""Reports of rates that a gateway receives in a second.  Rates change slowly; one that
has just started gets the first of them within half a second."""


class SpeedReports:
    """The speeds that this gateway reports, and those that it receives.

    Nearby gateways report what they observed themselves.  The relay of a zone reports
    that of its zone to the others, and forwards what it receives from them.
    """

    name = "speeds"

    def __init__(self, speeds: UpstreamSpeeds, fleet: Callable[[], Fleet]) -> None:
        self._speeds = speeds
        self._fleet = fleet
        self._own = Outbox(self._own_bytes_per_s)
        self._zone = Outbox(lambda: FAR_BYTES_PER_S / max(1, len(fleet().far)))
        self._elsewhere = Outbox(lambda: FAR_BYTES_PER_S)
        self._rates_due_at = -math.inf
        speeds.report_to(self._own, self._zone)

    def own(self, now: float) -> bytes:
        """Return what this gateway itself observed."""
        pools: tuple[PoolReport, ...] = ()
        if now >= self._rates_due_at:
            near = len(self._fleet().near)
            self._rates_due_at = now + max(FACTOR_INTERVAL_S, near / RATES_PER_S)
            pools = tuple(self._speeds.own_rates())
        return self._own.take(now, pools)

    def merge_own(self, gateway: str, data: bytes, now: float) -> None:
        """Merge what a nearby gateway observed."""
        report = _decode(data, now)
        for pool in report.pools:
            self._speeds.peer_rates(gateway, pool, now)
        self._merge(report, self._zone, now)

    def zone(self, now: float) -> bytes:
        """Return what the gateways of this zone observed."""
        return self._zone.take(now)

    def elsewhere(self, now: float) -> bytes:
        """Return what other zones reported."""
        return self._elsewhere.take(now)

    def merge_area(self, area: str, data: bytes, now: float) -> None:
        """Merge what the gateways of an area observed."""
        forward_to = self._elsewhere if area != OTHER_ZONES else None
        self._merge(_decode(data, now), forward_to, now)

    def _merge(
        self, report: SpeedReport, forward_to: Outbox | None, now: float
    ) -> None:
        for stated in report.stated:
            change = self._speeds.peer_stated(stated, now)
            if change is not None and forward_to is not None:
                forward_to.add_statement(stated, change)
        for ratios in report.ratios:
            if self._speeds.peer_ratios(ratios) and forward_to is not None:
                forward_to.add_ratios(ratios.key, ratios.values)

    def _own_bytes_per_s(self) -> float:
        return NEAR_BYTES_PER_S / max(1, len(self._fleet().near))


def _decode(data: bytes, now: float) -> SpeedReport:
    """Decode a report; what can't be decoded counts as empty.

    Gateways of another release may report in another format during an upgrade.
    """
    try:
        return decode_report(data, now)
    except SpeedReportError:
        return SpeedReport()
