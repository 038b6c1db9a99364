"""A role together with a listener for scrapes of its metrics.

Lives as long as the role.  The sidecar has no HTTP interface of its own, and scrapes
shall not come in through the listener that the balancer sends callers to.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol, runtime_checkable

from starlette.applications import Starlette

from gooseberrydale.process.cfg import TlsCfg
from gooseberrydale.process.http_server import HttpServer
from gooseberrydale.process.instruments import Level
from gooseberrydale.process.metrics import Metrics
from gooseberrydale.process.role import Role

CLOSE_GRACE_S = 0.5


@runtime_checkable
class HasMetrics(Protocol):
    """A role that measures itself."""

    @property
    def metrics(self) -> Metrics | None:
        """The instruments of the role, if it has any."""


@runtime_checkable
class HasLevels(Protocol):
    """A role that can be asked for its current levels."""

    def read_levels(self, level: Level) -> None:
        """Write into ``level`` what holds right now."""


class ObservedRole:
    """Starts the listener before the role and closes it after the role."""

    def __init__(self, role: Role, spare: Metrics, address: str) -> None:
        """Serve the role's metrics, or ``spare`` if the role has none."""
        self._role = role
        own = role.metrics if isinstance(role, HasMetrics) else None
        metrics = spare if own is None else own
        if isinstance(role, HasLevels):
            metrics.before_scrape = role.read_levels
        app = Starlette(routes=[metrics.route()])
        self._server = HttpServer(app, address, TlsCfg())

    @property
    def addresses(self) -> Mapping[str, str]:
        """Listeners of the role, and ``metrics``."""
        return {**self._role.addresses, "metrics": self._server.address}

    async def start(self) -> None:
        """Start both; raises OSError if an address is taken."""
        await self._server.start()
        await self._role.start()

    async def close(self) -> None:
        """Drain the role, watched until its end, then stop listening."""
        try:
            await self._role.close()
        finally:
            await self._server.close(CLOSE_GRACE_S)
