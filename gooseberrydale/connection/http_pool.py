"""Kept connections to upstreams, by address and incarnation.

Lives as long as the process.  A connection serves one request at a time; whoever takes
it gives it back or breaks it.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Iterable

from gooseberrydale.connection.http_conn import HttpConn
from gooseberrydale.connection.upstream_reply import UpstreamError

SURE_MARGIN = 0.5
"""A request that must not be sent twice uses a connection only in the first half of
its idle time: one that closes under the request would leave its outcome unknown."""

KEPT_PER_UPSTREAM = 16
"""Idle connections kept to one upstream; more than the requests that one entry sends
it at once, a small part of the connections that it accepts."""

Key = tuple[str, str]


class ConnectionsTakenError(UpstreamError):
    """As many connections as allowed are in use; the upstream itself may be well."""

    def __init__(self, bound: int) -> None:
        super().__init__(f"all {bound} connections are in use", sent=False)


class HttpPool:
    """Idle connections; the one used last goes out first."""

    def __init__(self) -> None:
        self._idle: dict[Key, deque[HttpConn]] = {}
        self._in_use: Counter[Key] = Counter()

    async def take(
        self, address: str, instance: str, *, sure: bool, bound: int | None = None
    ) -> HttpConn:
        """A connection to one incarnation of an upstream, kept or new.

        ``sure`` asks for one that will hardly close under the request.  At most
        ``bound`` connections are open, idle ones included.  Whoever takes one calls
        ``give_back`` or ``drop`` once.  Raises :class:`UpstreamError`, with nothing
        sent.
        """
        key = address, instance
        if bound is not None and self._in_use[key] >= bound:
            raise ConnectionsTakenError(bound)
        self._in_use[key] += 1
        try:
            return self._reuse(key, sure) or await HttpConn.open(address)
        except BaseException:
            self._release(key)
            raise

    def _reuse(self, key: Key, sure: bool) -> HttpConn | None:
        margin = SURE_MARGIN if sure else 1.0
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(key)
        while idle:
            conn = idle.pop()
            if conn.reusable(now, margin=margin):
                conn.sent = False
                return conn
            conn.abort()
        return None

    def give_back(
        self, address: str, instance: str, conn: HttpConn, bound: int | None = None
    ) -> None:
        """Keep a connection for the next request, if it may be used again."""
        key = address, instance
        self._release(key)
        now = asyncio.get_running_loop().time()
        if not conn.reusable(now):
            conn.abort()
            return
        idle = self._idle.setdefault(key, deque())
        idle.append(conn)
        kept = KEPT_PER_UPSTREAM
        if bound is not None:
            kept = min(kept, max(0, bound - self._in_use[key]))
        while len(idle) > kept:
            idle.popleft().abort()

    def drop(self, address: str, instance: str) -> None:
        """A connection that was taken is not kept; who took it breaks it."""
        self._release((address, instance))

    def _release(self, key: Key) -> None:
        self._in_use[key] -= 1
        if self._in_use[key] <= 0:
            del self._in_use[key]

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
