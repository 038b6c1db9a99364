"""Refuses orders with an outdated fencing number, in the sidecar of an upstream.

The check applies to all upstreams, whether or not they check the number themselves.
After a restart, no order is sent to the upstream until the highest number issued so
far has been read from a quorum of the control replicas.
"""

from __future__ import annotations

from enum import Enum

from result import Err, Ok, Result

from gooseberrydale.connection.control_messages import OrderReq
from gooseberrydale.errors import (
    CHANGE_ID_REUSED,
    STALE_FENCING_NUMBER,
    InvariantError,
    Problem,
    problem,
)


class OrderDecision(Enum):
    """What to do with an order that is not refused."""

    SEND = "give"
    DUPLICATE = "repeated"
    WAIT = "wait"


class Fence:
    """The highest fencing number seen, and the last order sent to the upstream."""

    def __init__(self) -> None:
        self._highest: int | None = None
        self._last_sent: OrderReq | None = None

    @property
    def learned(self) -> bool:
        """Whether the current number has been read from control."""
        return self._highest is not None

    def learn(self, number: int) -> None:
        """Record the highest number that a quorum of control has issued."""
        self._highest = max(number, self._highest or 0)

    def refusal(self, order: OrderReq) -> Problem | None:
        """Why the order can never be sent; None if it may be sent now or later."""
        current = self._highest
        if current is None or order.number >= current:
            return None
        return problem(STALE_FENCING_NUMBER, number=order.number, current=current)

    def decide(self, order: OrderReq) -> Result[OrderDecision, Problem]:
        """Decide whether to send ``order``, to wait, or to refuse it."""
        if self._highest is None:
            return Ok(OrderDecision.WAIT)
        refusal = self.refusal(order)
        if refusal is not None:
            return Err(refusal)
        if self._last_sent is not None and order.number == self._last_sent.number:
            return self._check_duplicate(order, self._last_sent)
        self._advance(order)
        return Ok(OrderDecision.SEND)

    def is_last_sent(self, order: OrderReq) -> bool:
        """Whether ``order`` is the one that was sent last."""
        return order == self._last_sent

    def mark_undelivered(self, number: int) -> None:
        """Allow an order that did not reach the upstream to be sent again."""
        if self._last_sent is not None and self._last_sent.number == number:
            self._last_sent = None

    def _check_duplicate(
        self, order: OrderReq, last_sent: OrderReq
    ) -> Result[OrderDecision, Problem]:
        if order != last_sent:
            return Err(problem(CHANGE_ID_REUSED, change_id=str(order.number)))
        return Ok(OrderDecision.DUPLICATE)

    def _advance(self, order: OrderReq) -> None:
        if self._highest is not None and order.number < self._highest:
            raise InvariantError(
                f"order {order.number} would be sent after {self._highest}"
            )
        self._highest = order.number
        self._last_sent = order
