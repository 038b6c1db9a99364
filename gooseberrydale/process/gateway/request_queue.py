"""Requests of this gateway that wait for capacity: their futures and timers.

There is one :class:`RequestQueue` per process.  The order is that of
``request/waiting``.  A request is woken when capacity may have become free; only the
first ones are, since the others could not be sent before them.
"""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from types import TracebackType

from gooseberrydale.request.capacity_ports import Ahead
from gooseberrydale.request.waiting.backlog import FleetBacklog, PoolWaiting
from gooseberrydale.request.waiting.pace import name_hash
from gooseberrydale.request.waiting.queue import Ticket, WaitClass, WaitQueue
from gooseberrydale.request.waiting.shares import WorkspaceShares

FIRST_WOKEN = 2
"""How many requests of a pool are woken at a change.  Each one that is sent wakes the
next, and the second one replaces a first one that can't use what is free."""

WAKE_INTERVAL_S = 0.03
"""Least time between two changes that wake requests.  Each one compares the upstreams
of its pool, and reports of other gateways come much more often than capacity is
freed."""

TIMER_S = 0.05
"""Time after which the first requests are woken without a change, in case that the
report of one was lost."""

REPORT_REMINDER_S = 0.2
"""Time after which a report is asked for while requests wait, in case that nothing else
causes one.  It is below the time for which others use a report."""

MAX_RANKS = 16
"""How many ranks of a pool are kept; declarations name few."""

SUMS_TTL_S = 0.01
"""How long sums of the waiting requests are used: each of them may ask for the sums,
and the classes of requests change slowly."""

MIN_WAIT_S = 0.001
"""A shorter wait is of no use; without a minimum, a deadline that is rounded down
would cause waits without any time between them."""

RECHECK_S = 0.1
"""Time after which a waiting request checks whether it should still wait."""


@dataclass(frozen=True, slots=True)
class NewTicket:
    """A request that may have to wait; see ``Ticket`` for its fields."""

    rank: int
    workspace: str
    tokens: int
    since: float
    due_at: float = math.inf
    weight: int = 0


class RequestQueue:
    """The waiting requests of all pools of this gateway.

    ``recipients`` returns how many gateways receive its reports; ``report`` is called
    when there is something to report.
    """

    def __init__(
        self, recipients: Callable[[], int], report: Callable[[], None]
    ) -> None:
        self._pools: dict[str, WaitQueue] = {}
        self._ranks: dict[str, set[int]] = {}
        self._futures: dict[int, asyncio.Future[None]] = {}
        self._ids = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._woken_at = -math.inf
        self._reminded_at = -math.inf
        self._report = report
        # Sums of what waits in each pool, until something joins or leaves.
        self._sums: dict[str, tuple[float, PoolWaiting]] = {}
        self.backlog = FleetBacklog(self._classes, recipients)
        self.shares = WorkspaceShares(self, recipients)
        self.extras = (self.backlog, self.shares)

    def close(self) -> None:
        """Stop waking requests."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def visit(self, pool: str, new: NewTicket, *, fair: bool) -> Visit:
        """Return the passage of a request through the queue of ``pool``.

        Unless it is ``fair``, its workspace has no influence.
        """
        ranks = self._ranks.setdefault(pool, set())
        if len(ranks) < MAX_RANKS:
            ranks.add(new.rank)
        weight = math.inf
        if fair:
            weight = new.weight or self.shares.mean_weight(pool)
        ticket = Ticket(
            next(self._ids),
            new.rank,
            new.workspace if fair else "",
            new.tokens,
            new.since,
            new.due_at,
            weight,
        )
        return Visit(self, pool, ticket, new.weight)

    def capacity_changed(self) -> None:
        """Wake the first requests of each pool, as capacity may have become free."""
        if not self._futures:
            return
        due_at = max(_now(), self._woken_at + WAKE_INTERVAL_S)
        if self._timer is None or due_at < self._timer.when():
            self._set_timer(due_at)

    def tokens(self, pool: str) -> Mapping[str, int]:
        """Return the tokens of this gateway's waiting requests by workspace."""
        queue = self._pools.get(pool)
        return {} if queue is None else queue.tokens

    def waiting_by_rank(self) -> dict[int, int]:
        """Return how many requests wait here, of all pools."""
        waiting: Counter[int] = Counter()
        for sums in self._classes(_now()).values():
            for key, one in sums.items():
                waiting[key.rank] += one.requests
        return dict(waiting)

    def workspaces_over(self) -> dict[str, int]:
        """Return by pool how many workspaces that wait here are over their share."""
        now = _now()
        return {
            pool: sum(self.is_over(pool, name, now) for name in queue.tokens)
            for pool, queue in self._pools.items()
        }

    def any_waits(self, pool: str, now: float) -> bool:
        """Return whether a request of the pool waits at any gateway."""
        return pool in self._pools or self.backlog.has_elsewhere(pool, now)

    def waiting(self, pool: str) -> int:
        """Return how many requests of the pool wait here."""
        return len(self._pools.get(pool, ()))

    def ranks(self, pool: str) -> Collection[int]:
        """Return the ranks of the requests that this gateway had for a pool."""
        return self._ranks.get(pool, ())

    def is_over(self, pool: str, workspace: str, now: float) -> bool:
        """Return whether a workspace is over its share of a pool."""
        return self._over_check(pool, now)(workspace)

    def is_first(self, pool: str, ticket: Ticket, now: float) -> bool:
        """Return whether no request that waits here comes before ``ticket``."""
        queue = self._pools.get(pool)
        if queue is None:
            return True
        return queue.is_first(ticket, now, self._over_check(pool, now))

    def holds(self, pool: str, ticket: Ticket) -> bool:
        """Return whether a request waits here."""
        return pool in self._pools and ticket in self._pools[pool]

    def join(self, pool: str, ticket: Ticket) -> None:
        """Add a request that has to wait."""
        queue = self._pools.setdefault(pool, WaitQueue())
        if ticket not in queue:
            queue.join(ticket)
            self._changed(pool)
        if self._timer is None:
            self._set_timer(_now() + TIMER_S)

    def leave(self, pool: str, ticket: Ticket, *, sent: bool) -> None:
        """Remove a request, and wake the one that comes first now."""
        queue = self._pools.get(pool)
        if queue is None:
            return
        if ticket in queue:
            queue.leave(ticket, sent=sent)
            self._changed(pool)
        if not queue:
            del self._pools[pool]
            return
        self._wake(pool, queue, 1)

    async def wait(self, ticket: Ticket, until: float) -> None:
        """Wait until the request is woken, or until ``until``."""
        loop = asyncio.get_running_loop()
        future = self._futures[ticket.id] = loop.create_future()
        timer = loop.call_at(until, _complete, future)
        try:
            await future
        finally:
            timer.cancel()
            del self._futures[ticket.id]

    def _set_timer(self, due_at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due_at, self._wake_all)

    def _wake_all(self) -> None:
        self._timer, now = None, _now()
        if not self._pools:
            return
        self._woken_at = now
        for pool, queue in self._pools.items():
            self._wake(pool, queue, FIRST_WOKEN)
        self._set_timer(now + TIMER_S)
        if now >= self._reminded_at + REPORT_REMINDER_S:
            self._reminded_at = now
            self._report()

    def _wake(self, pool: str, queue: WaitQueue, count: int) -> None:
        now = _now()
        for ticket in queue.first(count, now, self._over_check(pool, now)):
            future = self._futures.get(ticket.id)
            if future is not None:
                _complete(future)

    def _changed(self, pool: str) -> None:
        self._sums.pop(pool, None)
        self._report()

    def _classes(self, now: float) -> dict[str, PoolWaiting]:
        return {pool: self._classes_of(pool, now) for pool in self._pools}

    def _classes_of(self, pool: str, now: float) -> PoolWaiting:
        summed_at, sums = self._sums.get(pool, (-math.inf, {}))
        if now >= summed_at + SUMS_TTL_S:
            sums = self._pools[pool].classes(now, self._over_check(pool, now))
            self._sums[pool] = now, sums
        return sums

    def _over_check(self, pool: str, now: float) -> Callable[[str], bool]:
        overs = self.shares.overs(pool, now)
        return lambda name: bool(overs and name) and name_hash(name) in overs


class Visit:
    """The passage of one request through the queue of its pool.

    Use it as a context manager: the request leaves the queue at the end, also if its
    caller has left.
    """

    def __init__(
        self, queue: RequestQueue, pool: str, ticket: Ticket, weight: int
    ) -> None:
        self._queue = queue
        self._pool = pool
        self._ticket = ticket
        self._weight = weight
        self._sent = False

    def __enter__(self) -> Visit:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._queue.leave(self._pool, self._ticket, sent=self._sent)

    def is_first(self) -> bool:
        """Return whether no request that waits here comes before this one."""
        return self._queue.is_first(self._pool, self._ticket, _now())

    def is_over_share(self) -> bool:
        """Return whether the request's workspace is over its share now."""
        return self._queue.is_over(self._pool, self._ticket.workspace, _now())

    def ahead_elsewhere(self) -> Ahead:
        """Return what waits at other gateways and is served before this request."""
        now, ticket = _now(), self._ticket
        backlog = self._queue.backlog
        if not backlog.has_elsewhere(self._pool, now):
            return Ahead()
        over = self.is_over_share()
        key = WaitClass(ticket.rank, over, now > ticket.due_at)
        return backlog.ahead_elsewhere(self._pool, key, now - ticket.since, now)

    def more_urgent_waits(self) -> bool:
        """Return whether a more urgent request waits at another gateway."""
        backlog = self._queue.backlog
        return backlog.more_urgent_elsewhere(self._pool, self._ticket.rank, _now())

    @property
    def is_waiting(self) -> bool:
        """Whether the request has joined the queue."""
        return self._queue.holds(self._pool, self._ticket)

    def ahead(self) -> Ahead:
        """Return what waits at any gateway and is served before this request."""
        now, ticket = _now(), self._ticket
        return self._queue.backlog.ahead_of(
            self._pool, ticket.rank, self.is_over_share(), now - ticket.since, now
        )

    def first_rank(self) -> int:
        """Return the most urgent rank that waits at any gateway, or the own one."""
        first = self._queue.backlog.first_rank(self._pool, _now())
        return self._ticket.rank if first is None else first

    async def wait(self, until: float) -> None:
        """Wait until woken or until ``until``; the request joins the queue."""
        self._queue.join(self._pool, self._ticket)
        now = _now()
        until = max(now + MIN_WAIT_S, min(until, now + RECHECK_S))
        await self._queue.wait(self._ticket, until)

    def sent(self) -> None:
        """Record that the request is sent now."""
        self._sent = True
        ticket, shares = self._ticket, self._queue.shares
        if ticket.workspace:
            shares.sent(
                self._pool, ticket.workspace, ticket.tokens, self._weight, _now()
            )


def _complete(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


def _now() -> float:
    return asyncio.get_running_loop().time()
