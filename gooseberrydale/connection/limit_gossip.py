"""Reports the rate limits that upstreams state to all gateways, by datagrams.

There is one :class:`LimitGossip` per process.  ``version/upstream_limits.py`` decides
what is reported; the next report makes up for one that is lost.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.gateway_datagrams import GatewayDatagrams
from gooseberrydale.version.upstream_limits import LimitReport, UpstreamLimits

POLL_INTERVAL_S = 0.1
"""Interval between two checks whether a report is due."""

RELAYS_PER_ZONE = 2
"""How many relays of a zone take turns in forwarding the reports: one relay that has
failed then doesn't block all of them."""


class LimitGossip:
    """Sends the reports that ``limits`` makes and merges those of other gateways."""

    def __init__(self, datagrams: GatewayDatagrams, limits: UpstreamLimits) -> None:
        self._datagrams = datagrams
        self._limits = limits
        self._relay_index = 0
        self._task: asyncio.Task[None] | None = None
        datagrams.on(LimitReport, self._receive)

    async def start(self) -> None:
        """Start to send reports; the socket must be open."""
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stop sending reports."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _receive(self, report: LimitReport) -> None:
        self._limits.merge(report, asyncio.get_running_loop().time())

    async def _repeat(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            report = self._limits.next_report(loop.time())
            if report is not None:
                self._relay_index = (self._relay_index + 1) % RELAYS_PER_ZONE
                self._datagrams.broadcast(report, self._relay_index)
