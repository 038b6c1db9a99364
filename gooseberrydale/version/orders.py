"""Orders to upstreams, with fencing numbers that only rise.

Part of the replicated control state.  An upstream has at most one issued order at
a time, in the order of placing; over all upstreams at most ``loads_at_once`` loads
of weights are issued at the same time, since the weight store slows down beyond.
The fencing number is given when an order is issued, so that a later one carries a
higher number whatever became of the earlier.  An issued order whose deadline has
passed in committed time counts as lost and frees its place.
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


class OrderBook:
    """All open orders and the newest closed ones."""

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
            self._put(order)
        self._last_id = last_id
        self._last_number = last_number
        self._fences = dict(fences or {})

    @property
    def orders(self) -> tuple[Order, ...]:
        """All kept orders, the closed ones first, each group as placed or closed."""
        return (*self._closed.values(), *self._open.values())

    @property
    def last_id(self) -> int:
        """Id of the newest order."""
        return self._last_id

    @property
    def last_number(self) -> int:
        """The highest fencing number ever given."""
        return self._last_number

    @property
    def fences(self) -> dict[str, int]:
        """The highest fencing number given to each upstream."""
        return dict(self._fences)

    def fence(self, upstream: str) -> int:
        """The highest fencing number that may have reached ``upstream``.

        An upstream whose own number may have been dropped gets the highest of all,
        which refuses too much rather than too little.
        """
        if len(self._fences) < MAX_UPSTREAMS:
            return self._fences.get(upstream, 0)
        return self._fences.get(upstream, self._last_number)

    def issued(self) -> list[Order]:
        """The orders that are to be given to upstreams now."""
        return [o for o in self._open.values() if o.state is OrderState.ISSUED]

    def next_deadline_s(self) -> float | None:
        """Committed time at which the next issued order counts as lost."""
        return min((order.deadline_s for order in self.issued()), default=None)

    def place(
        self, req: PlaceOrderReq, now_s: float, limits: Limits
    ) -> Result[Order, Problem]:
        """Enter a pending order; it is issued by the next :meth:`advance`."""
        if not NAME_PATTERN.fullmatch(req.upstream):
            return Err(problem(INVALID_DECLARATION, reason="upstream: name one"))
        if not req.model:
            return Err(problem(INVALID_DECLARATION, reason="model: name one"))
        if not req.announced:
            return Err(problem(UNKNOWN_NAME, what="upstream", name=req.upstream))
        if not self._make_room(limits.orders):
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
        self._put(order)
        return Ok(order)

    def report(self, req: ReportOrderReq) -> Problem | None:
        """Close the issued order under ``req.number``; later reports change nothing."""
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
        """Close the lost orders and issue those that have a place."""
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
            # Also a waiting load keeps later orders to its upstream behind it.
            busy.add(order.upstream)
            is_load = order.kind is OrderKind.LOAD_WEIGHTS
            if is_load and loads >= limits.loads_at_once:
                continue
            loads += is_load
            self._issue(order, now_s + limits.order_deadline_s)

    def skip_numbers(self, count: int) -> None:
        """Leave out numbers that a lost part of the log may have given."""
        self._last_number += count

    def _issue(self, order: Order, deadline_s: float) -> None:
        number = self._last_number + 1
        check_fence(self._fences.get(order.upstream, 0), number)
        self._last_number = number
        # Re-entering the upstream keeps the most recently ordered ones at the end.
        self._fences.pop(order.upstream, None)
        self._fences[order.upstream] = number
        if len(self._fences) > MAX_UPSTREAMS:
            del self._fences[next(iter(self._fences))]
        issued = replace(
            order, state=OrderState.ISSUED, number=number, deadline_s=deadline_s
        )
        self._put(issued)

    def _put(self, order: Order) -> None:
        is_open = order.state in OPEN_STATES
        kept = self._open if is_open else self._closed
        kept[order.order_id] = order

    def _close(self, order: Order, state: OrderState, detail: str) -> None:
        if order.state is not OrderState.ISSUED:
            raise InvariantError(f"order {order.order_id} would be closed twice")
        del self._open[order.order_id]
        self._put(replace(order, state=state, detail=detail))

    def _by_number(self, number: int) -> Order | None:
        found = (order for order in self.orders if order.number == number > 0)
        return next(found, None)

    def _make_room(self, keep: int) -> bool:
        while len(self._open) + len(self._closed) >= keep:
            if not self._closed:
                return False
            del self._closed[next(iter(self._closed))]
        return True


def check_fence(current: int, number: int) -> None:
    """Raise InvariantError unless ``number`` is above ``current``."""
    if number <= current:
        raise InvariantError(f"fencing number would fall from {current} to {number}")
