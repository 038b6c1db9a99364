"""The table of orders to upstreams, with increasing fencing numbers.

Part of the replicated control state.  The orders of an upstream are issued one at a
time, in the sequence in which they were placed.  Over all upstreams at most
``loads_at_once`` loads of weights are issued at the same time, because more of them
slow down the weight store.  An order gets its fencing number when it is issued, so a
later order always has a higher number, whatever the outcome of the earlier one.  An
issued order whose deadline has passed in committed time is closed as lost, and the
next order can be issued.
"""

from __future__ import annotations

from dataclasses import replace

from result import Err, Ok, Result

from gooseberrydale.connection.control_messages import (
    Limits,
    Order,
    OrderKind,
    OrderState,
    PlaceOrderReq,
    ReportOrderReq,
)
from gooseberrydale.errors import (
    INVALID_DECLARATION,
    ORDERS_FULL,
    STALE_FENCING_NUMBER,
    UNKNOWN_NAME,
    InvariantError,
    Problem,
    problem,
)
from gooseberrydale.version.validation import NAME_PATTERN

MAX_DETAIL_CHARS = 500
MAX_UPSTREAMS = 10_000
OPEN_STATES = (OrderState.PENDING, OrderState.ISSUED)


class OrderTable:
    """All open orders and the most recent closed ones."""

    def __init__(
        self,
        orders: tuple[Order, ...] = (),
        last_id: int = 0,
        last_number: int = 0,
        fences: dict[str, int] | None = None,
    ) -> None:
        self._open: dict[int, Order] = {}
        self._closed: dict[int, Order] = {}
        for order in orders:
            self._store(order)
        self._last_id = last_id
        self._last_number = last_number
        self._fences = dict(fences or {})

    @property
    def orders(self) -> tuple[Order, ...]:
        """All retained orders: closed ones as closed, then open ones as placed."""
        return (*self._closed.values(), *self._open.values())

    @property
    def last_id(self) -> int:
        """Id of the newest order."""
        return self._last_id

    @property
    def last_number(self) -> int:
        """The highest fencing number ever assigned."""
        return self._last_number

    @property
    def fences(self) -> dict[str, int]:
        """The highest fencing number assigned to each upstream."""
        return dict(self._fences)

    def fence(self, upstream: str) -> int:
        """The highest fencing number that may have reached ``upstream``.

        Only ``MAX_UPSTREAMS`` numbers are retained.  For an upstream whose number may
        have been dropped, the highest of all is returned: it may refuse a valid order,
        but never lets an outdated one pass.
        """
        if len(self._fences) < MAX_UPSTREAMS:
            return self._fences.get(upstream, 0)
        return self._fences.get(upstream, self._last_number)

    def issued(self) -> list[Order]:
        """The orders that upstreams should execute now."""
        return [o for o in self._open.values() if o.state is OrderState.ISSUED]

    def next_deadline_s(self) -> float | None:
        """Committed time at which the next issued order will be closed as lost."""
        return min((order.deadline_s for order in self.issued()), default=None)

    def place(
        self, req: PlaceOrderReq, now_s: float, limits: Limits
    ) -> Result[Order, Problem]:
        """Add a pending order; the next :meth:`advance` may issue it."""
        if not NAME_PATTERN.fullmatch(req.upstream):
            return Err(
                problem(INVALID_DECLARATION, reason="upstream: name a valid one")
            )
        if not req.model:
            return Err(problem(INVALID_DECLARATION, reason="model: is empty; name one"))
        if not req.announced:
            return Err(problem(UNKNOWN_NAME, what="upstream", name=req.upstream))
        if not self._evict_closed(limits.orders):
            refused = problem(
                ORDERS_FULL, retry_after_s=limits.order_deadline_s, limit=limits.orders
            )
            return Err(refused)
        self._last_id += 1
        order = Order(
            order_id=self._last_id,
            kind=req.kind,
            upstream=req.upstream,
            model=req.model,
            version=req.version,
            operator=req.operator,
            placed_s=now_s,
        )
        self._store(order)
        return Ok(order)

    def report(self, req: ReportOrderReq) -> Problem | None:
        """Close the issued order ``req.number``; repeated reports are ignored."""
        order = self._by_number(req.number)
        if order is None or order.upstream != req.upstream:
            return problem(
                STALE_FENCING_NUMBER, number=req.number, current=self._last_number
            )
        if order.state is OrderState.ISSUED:
            state = OrderState.DONE if req.done else OrderState.FAILED
            self._close(order, state, req.detail[:MAX_DETAIL_CHARS])
        return None

    def advance(self, now_s: float, limits: Limits) -> None:
        """Close lost orders, then issue pending ones as far as the limits allow."""
        for order in self.issued():
            if order.deadline_s <= now_s:
                self._close(order, OrderState.LOST, "no report before the deadline")
        issued = self.issued()
        busy = {order.upstream for order in issued}
        loads = sum(order.kind is OrderKind.LOAD_WEIGHTS for order in issued)
        pending = [o for o in self._open.values() if o.state is OrderState.PENDING]
        for order in pending:
            if order.upstream in busy:
                continue
            # A load that has to wait blocks the later orders to its upstream, too.
            busy.add(order.upstream)
            is_load = order.kind is OrderKind.LOAD_WEIGHTS
            if is_load and loads >= limits.loads_at_once:
                continue
            loads += is_load
            self._issue(order, now_s + limits.order_deadline_s)

    def skip_numbers(self, count: int) -> None:
        """Skip numbers that lost entries of the log may have assigned."""
        self._last_number += count

    def _issue(self, order: Order, deadline_s: float) -> None:
        number = self._last_number + 1
        check_fence(self._fences.get(order.upstream, 0), number)
        self._last_number = number
        # Reinsert, so the upstreams with the oldest orders are dropped first.
        self._fences.pop(order.upstream, None)
        self._fences[order.upstream] = number
        if len(self._fences) > MAX_UPSTREAMS:
            del self._fences[next(iter(self._fences))]
        issued = replace(
            order, state=OrderState.ISSUED, number=number, deadline_s=deadline_s
        )
        self._store(issued)

    def _store(self, order: Order) -> None:
        is_open = order.state in OPEN_STATES
        table = self._open if is_open else self._closed
        table[order.order_id] = order

    def _close(self, order: Order, state: OrderState, detail: str) -> None:
        if order.state is not OrderState.ISSUED:
            raise InvariantError(
                f"order {order.order_id} is {order.state}, so it can't be closed"
            )
        del self._open[order.order_id]
        self._store(replace(order, state=state, detail=detail))

    def _by_number(self, number: int) -> Order | None:
        matching = (order for order in self.orders if order.number == number > 0)
        return next(matching, None)

    def _evict_closed(self, keep: int) -> bool:
        while len(self._open) + len(self._closed) >= keep:
            if not self._closed:
                return False
            del self._closed[next(iter(self._closed))]
        return True


def check_fence(current: int, number: int) -> None:
    """Raise InvariantError unless ``number`` is above ``current``."""
    if number <= current:
        raise InvariantError(
            f"fencing number would not rise from {current} to {number}"
        )
