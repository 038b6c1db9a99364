"""Refuses orders that carry an old fencing number.

Lives as long as the sidecar.  Pure.  It is the check for upstreams that do not check
by themselves, and stands before those that do.  After a restart no order passes
before the highest number issued so far was learned from a quorum of control.
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


class Passage(Enum):
    """What becomes of an order that is not refused."""

    GIVE = "give"
    REPEATED = "repeated"
    WAIT = "wait"


class Fence:
    """The highest number seen, and the order that was given under it."""

    def __init__(self) -> None:
        self._highest: int | None = None
        self._given: OrderReq | None = None

    @property
    def learned(self) -> bool:
        """Whether the current number is known."""
        return self._highest is not None

    def learn(self, number: int) -> None:
        """Take over the highest number that a quorum has issued."""
        self._highest = max(number, self._highest or 0)

    def refusal(self, order: OrderReq) -> Problem | None:
        """Why the order can never be given; None if its time may come."""
        current = self._highest
        if current is None or order.number >= current:
            return None
        return problem(STALE_FENCING_NUMBER, number=order.number, current=current)

    def take(self, order: OrderReq) -> Result[Passage, Problem]:
        """Say whether ``order`` goes to the upstream."""
        if self._highest is None:
            return Ok(Passage.WAIT)
        refusal = self.refusal(order)
        if refusal is not None:
            return Err(refusal)
        if self._given is not None and order.number == self._given.number:
            return self._take_again(order, self._given)
        self._advance(order)
        return Ok(Passage.GIVE)

    def is_given(self, order: OrderReq) -> bool:
        """Whether it is the order that was given last."""
        return order == self._given

    def forget(self, number: int) -> None:
        """The order did not arrive at the upstream: let it be given again."""
        if self._given is not None and self._given.number == number:
            self._given = None

    def _take_again(self, order: OrderReq, given: OrderReq) -> Result[Passage, Problem]:
        if order != given:
            return Err(problem(CHANGE_ID_REUSED, change_id=str(order.number)))
        return Ok(Passage.REPEATED)

    def _advance(self, order: OrderReq) -> None:
        if self._highest is not None and order.number < self._highest:
            raise InvariantError(f"order {order.number} after {self._highest}")
        self._highest = order.number
        self._given = order
