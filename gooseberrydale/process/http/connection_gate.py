"""Decides whether a listener takes a new connection, or closes it unread.

A balancer may send most new connections to one process.  Connections beyond what the
process can serve are closed before anything is read from them: their callers can then
send any request again, at another process.  Open connections are not affected.

There is one gate per listener.  It bounds the number of connections by the descriptors
of the process, and takes none while the process has nearly used up its memory, while
requests nearly fill the link of its node, and while its event loop falls behind.
"""

from __future__ import annotations

import asyncio
import math
import resource
from collections import deque
from pathlib import Path
from typing import Protocol

from gooseberrydale.log_events import ConnectionsRefused, emit

DESCRIPTOR_FRACTION = 0.7
"""Fraction of the descriptors that callers may use; the rest is for upstreams, sessions
and files."""

MEMORY_FRACTION = 0.85
"""Fraction of the memory above which no connection is taken."""

TICK_S = 0.02
LATE_S = 0.06
"""How late a tick of the event loop is while it falls behind.  Requests wait as long
several times: to be accepted, to be read, and for their upstream's answer."""

OVERLOADED_AFTER_S = 0.25
"""How long all ticks have to be late.  A single long callback, such as a new document,
is no overload."""

MIN_MEMORY_FRACTION = 0.25
"""Fraction of the memory that connections may use in any case, beyond what the process
uses when it starts: a wrong setting must not close its listener for good."""

MEMORY_CHECK_S = 0.25
RETURN_INTERVAL_S = 1.0
"""How often free memory is returned while memory is short: it takes milliseconds."""

PAGE_BYTES = resource.getpagesize()
BYTES_PER_MB = 1024 * 1024
STATM = Path("/proc/self/statm")

LINK_FRACTION = 0.9
"""Fraction of the link's rate that requests may take; above it packets queue.  A lower
bound refuses callers that would have been served."""

LINK_WINDOW_S = 1.0
BITS_PER_BYTE = 8
BITS_PER_MBIT = 1_000_000


class LinkUse:
    """Bytes received from callers within the last ``LINK_WINDOW_S``.  Pure.

    ``link_mbps`` is the rate of the node's link in Mbit/s, 0 if unknown.
    """

    def __init__(self, link_mbps: float) -> None:
        bits = link_mbps * BITS_PER_MBIT * LINK_FRACTION * LINK_WINDOW_S
        self._max_bytes = bits / BITS_PER_BYTE
        self._received: deque[tuple[float, int]] = deque()
        self._sum = 0

    def received(self, size: int, now: float) -> None:
        """Record bytes of a request."""
        if self._max_bytes:
            self._received.append((now, size))
            self._sum += size
            self._drop_expired(now)

    def is_full(self, now: float) -> bool:
        """Whether requests nearly fill the link."""
        self._drop_expired(now)
        return bool(self._max_bytes) and self._sum > self._max_bytes

    def fraction(self, now: float) -> float:
        """Return the used fraction of what requests may take; 0 if it is unknown."""
        self._drop_expired(now)
        return self._sum / self._max_bytes if self._max_bytes else 0.0

    def _drop_expired(self, now: float) -> None:
        while self._received and self._received[0][0] <= now - LINK_WINDOW_S:
            self._sum -= self._received.popleft()[1]


class LoopDelay:
    """Whether an event loop falls behind, from how late its ticks are.  Pure."""

    def __init__(self) -> None:
        self._late_since: float | None = None
        self.is_overloaded = False

    def ticked(self, due_at: float, now: float) -> None:
        """Record a tick that was due at ``due_at``."""
        if now - due_at < LATE_S:
            self._late_since, self.is_overloaded = None, False
            return
        if self._late_since is None:
            self._late_since = now
        self.is_overloaded = now - self._late_since >= OVERLOADED_AFTER_S


class GateObserver(Protocol):
    """Is told of what a gate observes."""

    def ticked(self, due_at: float, now: float) -> None:
        """Record a tick of the event loop that was due at ``due_at``."""

    def received(self, size: int, now: float) -> None:
        """Record bytes that arrived on an open connection."""


class ConnectionGate:
    """Counts the open connections of one listener.

    ``max_fds`` is the number of descriptors that the process may use, 0 if only the
    operating system limits it; ``memory_mb`` the memory that it may use and
    ``link_mbps`` the rate of its node's link, 0 if unknown.  ``observer`` is told of
    what is observed here.
    """

    def __init__(
        self, max_fds: int = 0, memory_mb: float = 0.0, link_mbps: float = 0.0
    ) -> None:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        fds = min((limit for limit in (soft, max_fds) if limit > 0), default=math.inf)
        self._max_connections = fds * DESCRIPTOR_FRACTION
        self._memory_bytes = memory_mb * BYTES_PER_MB
        self._max_bytes = 0.0
        self._delay = LoopDelay()
        self._link = LinkUse(link_mbps)
        self._memory_used = 0.0
        self._memory_checked_at = 0.0
        self._returned_at = -math.inf
        self._refused = 0
        self._refused_for = ""
        self._task: asyncio.Task[None] | None = None
        self.open = 0
        self.observer: GateObserver | None = None

    async def start(self) -> None:
        """Start to observe the event loop and the memory."""
        self._max_bytes = max(
            self._memory_bytes * MEMORY_FRACTION,
            private_bytes() + self._memory_bytes * MIN_MEMORY_FRACTION,
        )
        self._task = asyncio.create_task(self._observe())

    async def close(self) -> None:
        """Stop observing."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def opened(self) -> bool:
        """Count a new connection; return False if it must be closed unread."""
        reason = self._reason()
        if reason:
            self._refused += 1
            self._refused_for = reason
            return False
        self.open += 1
        return True

    def closed(self) -> None:
        """Count the end of a connection that was taken."""
        self.open -= 1

    def received(self, size: int) -> None:
        """Count bytes that arrived on an open connection."""
        now = asyncio.get_running_loop().time()
        self._link.received(size, now)
        if self.observer is not None:
            self.observer.received(size, now)

    @property
    def used_fraction(self) -> float:
        """The used fraction of descriptors or memory; at 1.0, none is taken."""
        return max(self.open / self._max_connections, self._memory_used)

    def _reason(self) -> str:
        """Return why no connection is taken now; empty if one is."""
        if self.open + 1 > self._max_connections:
            return "descriptors"
        if self._memory_used > 1.0:
            return "memory"
        if self._link.is_full(asyncio.get_running_loop().time()):
            return "link"
        return "event loop" if self._delay.is_overloaded else ""

    async def _observe(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self._delay.ticked(due_at, loop.time())
            self._check_memory(loop.time())
            if self.observer is not None:
                self.observer.ticked(due_at, loop.time())
            if self._refused and self._reason() != self._refused_for:
                emit(ConnectionsRefused(self._refused_for, self._refused, self.open))
                self._refused = 0

    def _check_memory(self, now: float) -> None:
        if not self._memory_bytes or now < self._memory_checked_at + MEMORY_CHECK_S:
            return
        self._memory_checked_at = now
        self._memory_used = private_bytes() / self._max_bytes
        if self._memory_used > 1.0 and now >= self._returned_at + RETURN_INTERVAL_S:
            self._returned_at = now
            # Imported here, as ctypes takes memory and most processes never need it.
            from gooseberrydale.process.http.free_memory import return_free_memory

            return_free_memory()
            self._memory_used = private_bytes() / self._max_bytes


def private_bytes() -> int:
    """Return the resident memory of this process, without what files back."""
    _, resident, shared, *_ = STATM.read_text().split()
    return (int(resident) - int(shared)) * PAGE_BYTES
