"""Decides which orders an example engine executes, by their fencing numbers.

Engines with and without a check of the fencing number can be simulated.  Each engine
has one gate; it does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok, Result

from gooseberrydale.errors import STALE_FENCING_NUMBER, Problem, problem


class OrderKind(StrEnum):
    """What an order makes the engine do."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class Order:
    """An order to the engine; ``number`` is its fencing number."""

    number: int
    kind: OrderKind
    model: str = ""
    version: str = ""


class OrderGate:
    """Stores the newest order; refuses older ones if ``checks_fencing`` is set."""

    def __init__(self, *, checks_fencing: bool) -> None:
        self._checks_fencing = checks_fencing
        self._newest: Order | None = None
        self._executed = False
        self.accepted: list[Order] = []

    def accept(self, order: Order) -> Result[bool, Problem]:
        """Return whether to execute the order; False if it was executed already.

        A different order with the number of the newest one is refused as stale, too.
        """
        newest = self._newest
        if self._checks_fencing and newest is not None:
            if order == newest:
                return Ok(not self._executed)
            if order.number <= newest.number:
                return Err(
                    problem(
                        STALE_FENCING_NUMBER,
                        number=order.number,
                        current=newest.number,
                    )
                )
        self._newest = order
        self._executed = False
        self.accepted.append(order)
        return Ok(True)

    def mark_executed(self) -> None:
        """Record that the newest order was executed."""
        self._executed = True
