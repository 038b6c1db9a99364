"""Adds a listener for scrapes of its metrics to a role.

A sidecar has no HTTP interface of its own.  Other roles serve metrics on a separate
listener, because the load balancer exposes their HTTP listener to callers.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol, runtime_checkable

from starlette.applications import Starlette

from gooseberrydale.process.cfg import TlsCfg
from gooseberrydale.process.http.client_account import ClientAccount
from gooseberrydale.process.http.server import HttpServer
from gooseberrydale.process.instruments import Level
from gooseberrydale.process.metrics import Metrics
from gooseberrydale.process.role import Role

CLOSE_GRACE_S = 0.5


@runtime_checkable
class HasMetrics(Protocol):
    """A role that has metrics of its own."""

    @property
    def metrics(self) -> Metrics | None:
        """The instruments of the role, if it has any."""


@runtime_checkable
class HasClients(Protocol):
    """A role that accounts for what its clients hold."""

    @property
    def clients(self) -> ClientAccount:
        """The account of the process."""


@runtime_checkable
class HasLevels(Protocol):
    """A role that updates its levels on request."""

    def read_levels(self, level: Level) -> None:
        """Set the fields of ``level`` to the current values."""


class ObservedRole:
    """A role whose metrics listener starts before it and closes after it."""

    def __init__(self, role: Role, fallback: Metrics, address: str) -> None:
        """Serve the role's metrics on ``address``, or ``fallback`` if it has none."""
        self._role = role
        own = role.metrics if isinstance(role, HasMetrics) else None
        metrics = fallback if own is None else own
        if isinstance(role, HasLevels):
            metrics.before_scrape = role.read_levels
        app = Starlette(routes=[metrics.route()])
        clients = role.clients if isinstance(role, HasClients) else None
        self._server = HttpServer(app, address, TlsCfg(), clients=clients)

    @property
    def addresses(self) -> Mapping[str, str]:
        """Addresses of the role's listeners, and of this one as ``metrics``."""
        return {**self._role.addresses, "metrics": self._server.address}

    async def start(self) -> None:
        """Start the listener and the role; raises OSError if an address is in use."""
        await self._server.start()
        await self._role.start()

    async def close(self) -> None:
        """Close the role, then the listener, so that a drain can still be scraped."""
        try:
            await self._role.close()
        finally:
            await self._server.close(CLOSE_GRACE_S)
