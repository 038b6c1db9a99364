"""Accounts for what clients make a process hold, and refuses them beyond its limits.

There is one :class:`ClientAccount` per process, for all of its HTTP listeners.  It has
the bytes that connections hold, by the rule in ``held_bytes``, and the connections that
wait for a request: while connections take too many descriptors or too much memory by
themselves, those that have waited longest are closed.
"""

from __future__ import annotations

import asyncio
import math
import resource
from collections import Counter
from collections.abc import Hashable
from typing import Protocol

from gooseberrydale.errors import Problem
from gooseberrydale.log_events import BodyRefused, ClientsRefused, emit
from gooseberrydale.process.cfg import MAX_HELD_BYTES
from gooseberrydale.process.http.held_bytes import HeldBytes

CONNECTION_FRACTION = 0.65
"""Fraction of the descriptors that connections of clients may use before idle ones are
closed.  It is below the one at which new connections are not taken."""

RELIEF_FRACTION = 0.9
"""Fraction of these connections down to which idle ones are closed, so that they are
not looked through for each new connection."""

MIN_WAIT_S = 5.0
"""Connections that have waited less than this for a request are not closed: clients
open some in advance."""

LOG_INTERVAL_S = 1.0
RETRY_AFTER_S = 0.5
"""Retry time of a refused request: large bodies are usually passed on within it."""

REFUSED_HELD = "memory"
REFUSED_IDLE = "descriptors"
REFUSED_CONNECTIONS = "connections"
REFUSED_HANDSHAKES = "handshakes"
REFUSED_BODY = "body"

_refused: Counter[str] = Counter()


class Connection(Hashable, Protocol):
    """A client's connection, as the account sees it."""

    def refuse_held(self) -> None:
        """Refuse the request that is being read, or whatever frees its bytes."""

    def close_waiting(self) -> None:
        """Close the connection, which has no request that was passed on."""


class ClientAccount:
    """Counts bytes and connections of the clients of one process.

    Connections may hold ``max_bytes``, and take as much by themselves.  ``max_fds`` is
    the number of descriptors that the process may use, 0 if only the operating system
    limits it.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES, max_fds: int = 0) -> None:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        fds = min((limit for limit in (soft, max_fds) if limit > 0), default=math.inf)
        self._max_connections = fds * CONNECTION_FRACTION
        self._held: HeldBytes[Connection] = HeldBytes(max_bytes)
        self._max_bytes = max_bytes
        # What each open connection takes by itself.
        self._taken: dict[Connection, int] = {}
        self._taken_bytes = 0
        # Since when each waits, in this order.
        self._waiting: dict[Connection, float] = {}
        self._is_refusing = False
        self._unlogged: Counter[str] = Counter()
        self._log_timer: asyncio.TimerHandle | None = None
        self.connections = 0

    @property
    def held_bytes(self) -> int:
        """The bytes that connections hold."""
        return self._held.total

    def make_room(self) -> None:
        """Close the connections that have waited longest, if there are too many."""
        if self.connections < self._max_connections:
            return
        excess = self.connections - self._max_connections * RELIEF_FRACTION
        waiting_before = _now() - MIN_WAIT_S
        for conn, since in list(self._waiting.items()):
            if excess <= 0 or since > waiting_before:
                break
            excess -= 1
            del self._waiting[conn]
            self._refused(REFUSED_IDLE)
            conn.close_waiting()

    def opened(self, conn: Connection, size: int) -> None:
        """Count a connection that takes ``size`` bytes, and make room for it."""
        self.make_room()
        self.connections += 1
        self._waiting[conn] = _now()
        self._taken[conn] = size
        self._taken_bytes += size
        while self._taken_bytes > self._max_bytes and self._waiting:
            longest = next(iter(self._waiting))
            del self._waiting[longest]
            self._forget_taken(longest)
            self._refused(REFUSED_CONNECTIONS)
            longest.close_waiting()

    def closed(self, conn: Connection) -> None:
        """Forget a connection."""
        self.connections -= 1
        self._waiting.pop(conn, None)
        self._held.release(conn)
        self._forget_taken(conn)

    def waits(self, conn: Connection) -> None:
        """Note that a connection waits for a request, as all others are answered."""
        self._waiting.pop(conn, None)
        self._waiting[conn] = _now()

    def serves(self, conn: Connection) -> None:
        """Note that a connection has a complete request, which is not answered yet."""
        self._waiting.pop(conn, None)

    def hold(self, conn: Connection, size: int, refusable: int) -> None:
        """Set what a connection holds, and how much of it a refusal would free."""
        held = self._held
        if not size:
            held.release(conn)
            return
        held.hold(conn, size, refusable, _now())
        if held.is_exceeded and not self._is_refusing:
            # A refused connection that still holds something reports it here.
            self._is_refusing = True
            try:
                for costliest in held.to_refuse(_now()):
                    self._refused(REFUSED_HELD)
                    costliest.refuse_held()
            finally:
                self._is_refusing = False

    def has_room(self, size: int) -> bool:
        """Whether an announced request fits; it counts as refused if it doesn't."""
        if self._held.has_room(size):
            return True
        self._refused(REFUSED_HELD)
        return False

    def refused_handshake(self) -> None:
        """Count a connection that was closed as too many were in their handshake."""
        self._refused(REFUSED_HANDSHAKES)

    def _forget_taken(self, conn: Connection) -> None:
        self._taken_bytes -= self._taken.pop(conn, 0)

    def _refused(self, reason: str) -> None:
        _refused[reason] += 1
        self._unlogged[reason] += 1
        if self._log_timer is None:
            self._log()

    def _log(self) -> None:
        """Log what was refused, at most once in an interval."""
        self._log_timer = None
        for reason, refused in self._unlogged.items():
            held, open_ = self._held.total, self.connections
            emit(ClientsRefused(reason, refused, held, open_))
        if self._unlogged:
            loop = asyncio.get_running_loop()
            self._log_timer = loop.call_later(LOG_INTERVAL_S, self._log)
        self._unlogged.clear()


def body_refused(path: str, why: Problem) -> None:
    """Count and log a call to control whose body was refused."""
    _refused[REFUSED_BODY] += 1
    emit(BodyRefused(path, why.code))


def clients_refused() -> Counter[str]:
    """How many requests and connections this process has refused, by reason."""
    return _refused


def _now() -> float:
    return asyncio.get_running_loop().time()
