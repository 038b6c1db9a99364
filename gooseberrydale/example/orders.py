"""Orders to an example engine, with or without a check of their fencing number.

Pure; lives as long as one engine.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from result import Err, Ok, Result

from gooseberrydale.errors import STALE_FENCING_NUMBER, Problem, problem


class OrderKind(StrEnum):
    """What an order asks for."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclass(frozen=True, slots=True)
class Order:
    """One order; ``number`` is its fencing number."""

    number: int
    kind: OrderKind
    model: str = ""
    version: str = ""


class OrderGate:
    """Remembers the newest order and refuses older ones if told to check."""

    def __init__(self, *, checks_fencing: bool) -> None:
        self._checks = checks_fencing
        self._newest: Order | None = None
        self._carried_out = False
        self.taken: list[Order] = []

    def take(self, order: Order) -> Result[bool, Problem]:
        """Return whether the order is to be carried out; False if it was already.

        Two different orders under one number are as stale as an old number.
        """
        newest = self._newest
        if self._checks and newest is not None:
            if order == newest:
                return Ok(not self._carried_out)
            if order.number <= newest.number:
                return Err(
                    problem(
                        STALE_FENCING_NUMBER,
                        number=order.number,
                        current=newest.number,
                    )
                )
        self._newest = order
        self._carried_out = False
        self.taken.append(order)
        return Ok(True)

    def done(self) -> None:
        """Note that the newest order was carried out."""
        self._carried_out = True
