"""Metrics of a role: OpenTelemetry meters exported for Prometheus scrapes.

Each role has its own :class:`Metrics` with its own registry, so that one process can
run several roles.  Mount ``route`` in any starlette app, or let the runner serve it
on a separate listener.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    ProcessCollector,
    generate_latest,
)
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from gooseberrydale.process.capacity_levels import (
    CapacityLevels,
    NeutralCapacityLevels,
)
from gooseberrydale.process.instruments import PREFIX, Level, make_instruments

METRICS_PATH = "/metrics"

SHARED_S = 0.5
"""Seconds for which scrapes get the same text: rendering takes milliseconds, in which
the process serves nobody."""


class Metrics:
    """The instruments of one role and their export in Prometheus' text format."""

    def __init__(self, role: str, name: str, zone: str = "") -> None:
        # Called before each scrape, for roles that don't update the levels themselves.
        self.before_scrape: Callable[[Level], None] | None = None
        # Replaced by a gateway that shares capacity, once it has built the parts.
        self.capacity_levels: CapacityLevels = NeutralCapacityLevels()
        self._rendered = b""
        self._rendered_at = -math.inf
        self._registry = CollectorRegistry()
        # Exports CPU time, memory and open files of the process.
        ProcessCollector(registry=self._registry)
        reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        resource = Resource(
            {
                "service.name": f"{PREFIX}-{role}",
                "service.instance.id": name,
                "cloud.availability_zone": zone,
            }
        )
        self._provider = MeterProvider(
            [reader], resource=resource, shutdown_on_exit=False
        )
        self.instruments = make_instruments(
            self._provider.get_meter(PREFIX), lambda: self.capacity_levels
        )

    def render(self) -> bytes:
        """Return all values in Prometheus' text format."""
        if self.before_scrape is not None:
            self.before_scrape(self.instruments.level)
        return generate_latest(self._registry)

    def route(self) -> Route:
        """Return a starlette route that answers scrapes at ``/metrics``."""

        async def scrape(_: Request) -> Response:
            now = asyncio.get_running_loop().time()
            if now >= self._rendered_at + SHARED_S:
                self._rendered, self._rendered_at = self.render(), now
            return Response(self._rendered, media_type=CONTENT_TYPE_LATEST)

        return Route(METRICS_PATH, scrape, methods=["GET"])

    def close(self) -> None:
        """Detach the reader; later calls of the instruments have no effect."""
        self._provider.shutdown()
