"""Kept connections to upstreams, by address and life.

Lives as long as the process.  A connection serves one request at a time; whoever takes
it gives it back or breaks it.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable

from gooseberrydale.connection.http_conn import HttpConn

SURE_MARGIN = 0.5
"""A request that must not be sent twice uses a connection only in the first half of
its idle time: one that closes under the request would leave its outcome unknown."""

KEPT_PER_UPSTREAM = 16
"""Idle connections kept to one upstream; more than the requests that one entry sends
it at once, a small part of the connections that it accepts."""

Key = tuple[str, str]


class HttpPool:
    """Idle connections; the one used last goes out first."""

    def __init__(self) -> None:
        self._idle: dict[Key, deque[HttpConn]] = {}
        self.opened = 0
        self.reused = 0

    async def take(self, address: str, instance: str, *, sure: bool) -> HttpConn:
        """A connection to one life of an upstream, kept or new.

        ``sure`` asks for one that will hardly close under the request.  Raises
        :class:`UpstreamError`, with nothing sent.
        """
        margin = SURE_MARGIN if sure else 1.0
        now = asyncio.get_running_loop().time()
        idle = self._idle.get((address, instance))
        while idle:
            conn = idle.pop()
            if conn.reusable(now, margin=margin):
                self.reused += 1
                conn.sent = False
                return conn
            conn.abort()
        self.opened += 1
        return await HttpConn.open(address)

    def give_back(self, address: str, instance: str, conn: HttpConn) -> None:
        """Keep a connection for the next request, if it may be used again."""
        now = asyncio.get_running_loop().time()
        if not conn.reusable(now):
            conn.abort()
            return
        idle = self._idle.setdefault((address, instance), deque())
        idle.append(conn)
        while len(idle) > KEPT_PER_UPSTREAM:
            idle.popleft().abort()

    def sweep(self, instances: Iterable[str]) -> None:
        """Close connections that idled too long, or whose upstream is not listed."""
        now = asyncio.get_running_loop().time()
        known = set(instances)
        for key, idle in list(self._idle.items()):
            kept = [c for c in idle if c.reusable(now) and key[1] in known]
            for conn in idle:
                if conn not in kept:
                    conn.abort()
            self._idle[key] = deque(kept)
            if not kept:
                del self._idle[key]

    def close(self) -> None:
        """Break all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.abort()
        self._idle.clear()
