"""Reports to all gateways what limits upstreams name, by datagrams.

Lives as long as the process.  What is reported is decided in
``version/upstream_limits.py``; a lost report is made up for by the next one.
"""

from __future__ import annotations

import asyncio

from gooseberrydale.connection.gateway_datagrams import GatewayDatagrams
from gooseberrydale.version.upstream_limits import LimitReport, UpstreamLimits

LOOK_S = 0.1

LANES = 2
"""Reports alternate between relays, so that one that is gone doesn't keep them."""


class LimitGossip:
    """One task that reports; what other gateways report goes to ``limits``."""

    def __init__(self, datagrams: GatewayDatagrams, limits: UpstreamLimits) -> None:
        self._datagrams = datagrams
        self._limits = limits
        self._lane = 0
        self._task: asyncio.Task[None] | None = None
        datagrams.on(LimitReport, self._hear)

    async def start(self) -> None:
        """Begin to report; the socket is open."""
        self._task = asyncio.create_task(self._repeat())

    async def close(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _hear(self, report: LimitReport) -> None:
        self._limits.take(report, asyncio.get_running_loop().time())

    async def _repeat(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(LOOK_S)
            report = self._limits.due(loop.time())
            if report is not None:
                self._lane = (self._lane + 1) % LANES
                self._datagrams.spread(report, self._lane)
