"""Finds out where a stream may go on that its caller takes up again.

The gateway that began the stream may have ended since, or be out of reach.  A stream
whose origin is not known is refused: an upstream of another software version would
write events that don't fit to those that the caller has.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from gooseberrydale.errors import (
    NO_UPSTREAM,
    UNKNOWN_ORIGIN,
    Problem,
    problem,
)
from gooseberrydale.process.gateway.origin_client import OriginClient
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.request.gateway_call import CallerRequest
from gooseberrydale.request.retry_after import (
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

STARTUP_WAIT_S = 0.5
"""How long a process that has just started waits for the records of upstreams."""

POLL_INTERVAL_S = 0.02

_Origin = Result[StreamOrigin | None, Problem]


class Resumption:
    """Decides for each call whether and where its stream may go on."""

    def __init__(self, origins: OriginClient, upstreams: Upstreams) -> None:
        self._origins = origins
        self._upstreams = upstreams

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
        only = possible.pop() if len(possible) == 1 else None
        if call.resumes is None:
            # Without the name of the first request, only a single version is certain.
            return self._unknown(call, complete=True) if only is None else Ok(only)
        if only is not None and not only.software:
            return Ok(only)
        lookup = await self._origins.find(stream_key(workspace, call.resumes))
        if lookup.origin is None or lookup.origin.software == UNKNOWN_SOFTWARE:
            return self._unknown(call, complete=lookup.complete)
        return await self._if_served(lookup.origin, call, route, table)

    def _possible_origins(self, route: Route) -> set[StreamOrigin]:
        """Return all that may have begun streams of ``route``."""
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
        loop = asyncio.get_running_loop()
        until = min(self._origins.young_until, loop.time() + STARTUP_WAIT_S)
        while not condition() and loop.time() < until:
            await asyncio.sleep(POLL_INTERVAL_S)

    def _unknown(self, call: CallerRequest, *, complete: bool) -> _Origin:
        """Refuse the call; it may try again if a gateway did not answer."""
        after_s = None if complete else after_unknown_origin_s(call.wait_s)
        return Err(problem(UNKNOWN_ORIGIN, retry_after_s=after_s))
