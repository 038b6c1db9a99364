"""Pool of persistent HTTP connections to upstreams, by address and incarnation.

There is one pool per process.  A connection serves one request at a time.  Its user
either releases it into the pool, or discards and aborts it.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Iterable

from gooseberrydale.connection.http_conn import HttpConn
from gooseberrydale.connection.upstream_reply import UpstreamError

MUST_NOT_RESEND_IDLE_FRACTION = 0.5
"""A request that must not be sent twice uses an idle connection only in the first half
of its idle time.  If the upstream closed the connection just as the request is sent,
the outcome of the request would be unknown."""

MAX_IDLE_PER_UPSTREAM = 16
"""Most idle connections to one upstream.  This is more than the requests that one entry
sends it concurrently, and a small fraction of the connections that it accepts."""

Key = tuple[str, str]


class PoolExhaustedError(UpstreamError):
    """All allowed connections are in use; the upstream itself may be healthy."""

    def __init__(self, max_conns: int) -> None:
        super().__init__(f"all {max_conns} allowed connections are in use", sent=False)


class HttpPool:
    """Idle connections; the most recently used one is reused first."""

    def __init__(self) -> None:
        self._idle: dict[Key, deque[HttpConn]] = {}
        self._in_use: Counter[Key] = Counter()

    async def acquire(
        self,
        address: str,
        instance: str,
        *,
        must_not_resend: bool,
        max_conns: int | None = None,
    ) -> HttpConn:
        """Return a connection to one incarnation of an upstream, idle or new.

        With ``must_not_resend`` set, an idle connection is used only if the upstream is
        unlikely to close it during the request.  At most ``max_conns`` connections are
        open, idle ones included.  The caller must call ``release`` or ``discard``
        exactly once.  Raises :class:`UpstreamError`; nothing has been sent then.
        """
        key = address, instance
        if max_conns is not None and self._in_use[key] >= max_conns:
            raise PoolExhaustedError(max_conns)
        self._in_use[key] += 1
        try:
            return self._reuse(key, must_not_resend) or await HttpConn.open(address)
        except BaseException:
            self._decrement_in_use(key)
            raise

    def _reuse(self, key: Key, must_not_resend: bool) -> HttpConn | None:
        idle_fraction = MUST_NOT_RESEND_IDLE_FRACTION if must_not_resend else 1.0
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(key)
        while idle:
            conn = idle.pop()
            if conn.reusable(now, idle_fraction=idle_fraction):
                conn.sent = False
                return conn
            conn.abort()
        return None

    def release(
        self, address: str, instance: str, conn: HttpConn, max_conns: int | None = None
    ) -> None:
        """Return a connection to the pool, or abort it if it can't be reused."""
        key = address, instance
        self._decrement_in_use(key)
        now = asyncio.get_running_loop().time()
        if not conn.reusable(now):
            conn.abort()
            return
        idle = self._idle.setdefault(key, deque())
        idle.append(conn)
        retained = MAX_IDLE_PER_UPSTREAM
        if max_conns is not None:
            retained = min(retained, max(0, max_conns - self._in_use[key]))
        while len(idle) > retained:
            idle.popleft().abort()

    def discard(self, address: str, instance: str) -> None:
        """Stop counting an acquired connection, which the caller aborts itself."""
        self._decrement_in_use((address, instance))

    def _decrement_in_use(self, key: Key) -> None:
        self._in_use[key] -= 1
        if self._in_use[key] <= 0:
            del self._in_use[key]

    def sweep(self, instances: Iterable[str]) -> None:
        """Abort connections that idled too long or whose instance is not listed."""
        now = asyncio.get_running_loop().time()
        known = set(instances)
        for key, idle in list(self._idle.items()):
            retained = [c for c in idle if c.reusable(now) and key[1] in known]
            for conn in idle:
                if conn not in retained:
                    conn.abort()
            self._idle[key] = deque(retained)
            if not retained:
                del self._idle[key]

    def close(self) -> None:
        """Abort all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.abort()
        self._idle.clear()
