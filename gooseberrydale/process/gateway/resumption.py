"""Finds out where a stream may go on that its caller takes up again.

The gateway that began the stream may have ended since, or be out of reach.  A stream
whose origin is not known is refused: an upstream of another software version would
write events that don't fit to those that the caller has.

Without a record, the origin is certain only if the configuration, which has each
version before any upstream of it is in service, lists a single one.  What this process
knows of upstreams is no proof: it may have started since, and others may have left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok, Result

from gooseberrydale.errors import (
    NO_UPSTREAM,
    UNKNOWN_ORIGIN,
    Problem,
    problem,
)
from gooseberrydale.process.gateway.origin_client import OriginClient
from gooseberrydale.process.gateway.routed_request import ORIGIN_MARGIN_S
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.request.gateway_call import CallerRequest
from gooseberrydale.request.retry_after import (
    REMAINING_TIME_FRACTION,
    after_unknown_origin_s,
    without_upstream_s,
)
from gooseberrydale.version.declared import Route
from gooseberrydale.version.origins.origin import (
    UNKNOWN_SOFTWARE,
    StreamOrigin,
    software_gone,
)
from gooseberrydale.version.origins.store import stream_key
from gooseberrydale.version.route_table import RouteTable
from gooseberrydale.version.served_software import KEPT_S, Served

STARTUP_WAIT_S = 0.5
"""How long a process that has just started waits for the records of upstreams."""

POLL_INTERVAL_S = 0.02

CONFIRMATION_WAIT_S = 1.0
"""How long a call waits until the configuration is known to be the newest.  After all
processes were restarted, a leader is elected first."""

_Origin = Result[StreamOrigin | None, Problem]


class ServedSoftware(Protocol):
    """The software versions in the configuration."""

    @property
    def software(self) -> Served:
        """Versions that upstreams run, or ran until recently, by pool."""

    @property
    def is_current(self) -> bool:
        """Whether the configuration is known to be the newest."""


class Resumption:
    """Decides for each call whether and where its stream may go on."""

    def __init__(
        self, origins: OriginClient, upstreams: Upstreams, served: ServedSoftware
    ) -> None:
        self._origins = origins
        self._upstreams = upstreams
        self._served = served

    async def origin(
        self, call: CallerRequest, route: Route, table: RouteTable, workspace: str
    ) -> _Origin:
        """Return the origin of the stream that ``call`` continues.

        None if it continues none.  The error says why the stream can't go on; the call
        has not been sent.
        """
        if call.last_event_id is None or not route.streamed:
            return Ok(None)
        await self._wait_until(lambda: bool(self._possible_origins(route)))
        possible = self._possible_origins(route)
        if not possible:
            after_s = without_upstream_s(call.wait_s or route.timeout_s)
            pool = route.shares[0].pool
            return Err(problem(NO_UPSTREAM, pool=pool, retry_after_s=after_s))
        if call.resumes is None:
            # Without the name of the first request, only a single version is certain.
            return await self._single_origin(call, route)
        if not any(origin.software for origin in possible):
            # Origins of upstreams that announce no version are not recorded.
            single = await self._single_origin(call, route)
            if isinstance(single, Err) or not single.ok_value.software:
                return single
        lookup = await self._origins.find(stream_key(workspace, call.resumes))
        if lookup.origin is None or lookup.origin.software == UNKNOWN_SOFTWARE:
            return self._unknown(call, complete=lookup.complete)
        return await self._if_served(lookup.origin, call, route, table)

    async def _single_origin(
        self, call: CallerRequest, route: Route
    ) -> Result[StreamOrigin, Problem]:
        """Return what must have begun any stream of ``route`` that may go on now."""
        wait_s = CONFIRMATION_WAIT_S
        if call.wait_s is not None:
            wait_s = min(wait_s, call.wait_s * REMAINING_TIME_FRACTION)
        if not self._served.is_current:
            await self._poll(lambda: self._served.is_current, wait_s)
        if not self._served.is_current:
            return self._unknown(call, complete=False)
        origins = self._possible_origins(route)
        for share in route.shares:
            versions = self._served.software.get(share.pool, ())
            if not versions:
                return self._unknown(call, complete=True)
            origins |= {StreamOrigin(share.pool, version) for version in versions}
        origin = origins.pop()
        longest_s = max(route.timeout_s, call.wait_s or 0.0) + ORIGIN_MARGIN_S
        # Earlier versions may have been dropped from the list.
        is_forgotten = longest_s > KEPT_S and bool(origin.software)
        if origins or is_forgotten:
            return self._unknown(call, complete=True)
        return Ok(origin)

    def _possible_origins(self, route: Route) -> set[StreamOrigin]:
        """Return all of ``route`` that this process knows."""
        now = asyncio.get_running_loop().time()
        return {
            StreamOrigin(share.pool, software)
            for share in route.shares
            for software in self._upstreams.software_versions(share.pool, now)
        }

    async def _if_served(
        self,
        origin: StreamOrigin,
        call: CallerRequest,
        route: Route,
        table: RouteTable,
    ) -> _Origin:
        """Return ``origin`` if the route leads to an upstream that may continue it."""
        if any(share.pool == origin.pool for share in route.shares):
            pool = table.declared.pools[origin.pool]
            query = UpstreamQuery(pool, call.prompt, "", origin=origin)

            def is_served() -> bool:
                now = asyncio.get_running_loop().time()
                return self._upstreams.has_eligible(query, now)

            await self._wait_until(is_served)
            if is_served():
                return Ok(origin)
        return Err(software_gone(origin))

    async def _wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition on the upstreams, of which a new process learns late."""
        now = asyncio.get_running_loop().time()
        until_s = min(self._origins.young_until - now, STARTUP_WAIT_S)
        await self._poll(condition, until_s)

    async def _poll(self, condition: Callable[[], bool], wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not condition() and loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _unknown(self, call: CallerRequest, *, complete: bool) -> Err[Problem]:
        """Refuse the call; it may try again if a gateway did not answer."""
        after_s = None if complete else after_unknown_origin_s(call.wait_s)
        return Err(problem(UNKNOWN_ORIGIN, retry_after_s=after_s))
