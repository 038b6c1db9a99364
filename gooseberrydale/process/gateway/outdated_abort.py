"""Aborts a send to an engine that may not start it any more.

A request may wait inside an engine until its weights have been outdated for too long.
There is one limit per send.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.process.gateway.upstreams import Upstreams

READ_GRACE_S = 0.02
"""Delay between the limit and the abort.  If the event loop was stalled, it reads what
has arrived meanwhile within this time, which may be the first event."""

CHECK_INTERVAL_S = 0.5
"""Interval at which the limit is computed again, as newer weights may be named, or turn
out to be older than known, while the request waits."""


class OutdatedAbort:
    """Calls ``abort`` at the limit; ``start`` it at the send, ``close`` it at the first
    event of the answer."""

    def __init__(
        self, upstreams: Upstreams, record: UpstreamRecord, abort: Callable[[], None]
    ) -> None:
        self._upstreams = upstreams
        self._record = record
        self._abort = abort
        self._timer: asyncio.TimerHandle | None = None
        self.has_aborted = False

    def is_due(self) -> bool:
        """Whether the request may not start any more."""
        now = asyncio.get_running_loop().time()
        return now >= self._upstreams.abort_outdated_at(self._record, now)

    def start(self) -> None:
        """Start to check the limit; an upstream without a model has none."""
        if self._record.model:
            self._check()

    def close(self) -> None:
        """Stop checking: the request has started or ended."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        limit_at = self._upstreams.abort_outdated_at(self._record, now)
        if now < limit_at:
            check_at = min(limit_at, now + CHECK_INTERVAL_S)
            self._timer = loop.call_at(check_at, self._check)
        else:
            self._timer = loop.call_later(READ_GRACE_S, self._expire)

    def _expire(self) -> None:
        self.has_aborted = True
        self._abort()
