"""Interface through which control sends orders to engines that have no sidecar.

:class:`EngineOrders` is the interface; implementations translate it into the protocol
of an engine.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from gooseberrydale.connection.mesh import UpstreamRecord


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports; it may lag by some hundred milliseconds.

    ``versions`` holds the weights version by model, ``accepted`` counts the orders that
    this incarnation of the engine has accepted, ``busy`` is True while it executes one,
    ``running`` counts the requests that it processes or queues.  ``born_ms`` is the
    start time of this incarnation in Unix milliseconds, None if the engine does not
    report it.
    """

    versions: dict[str, int]
    accepted: int
    busy: bool
    running: int = 0
    born_ms: int | None = None


class OrderAnswer(Enum):
    """The outcome of sending an order, according to the engine's answer."""

    ACCEPTED = auto()
    """The engine is executing the order."""
    HOLDS = auto()
    """The engine already serves that version."""
    CONFLICT = auto()
    """Another order is in progress, or others were accepted since the report."""
    FENCED = auto()
    """An order with a higher fencing number has been accepted before."""
    REFUSED = auto()
    """The engine does not have the model or the version."""
    OTHER_INCARNATION = auto()
    """Another incarnation of an engine listens at this address."""
    UNKNOWN = auto()
    """No answer: the order may be executed, now or later."""


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Orders an engine to serve ``model`` with ``version`` once its runs have ended.

    ``number`` is the fencing number of ``holder``.  The engine rejects the order unless
    it has accepted exactly ``after`` orders before.  With ``keep_runs`` the engine does
    not wait for its runs; they continue with the new weights.
    """

    model: str
    version: int
    holder: str
    number: int
    after: int
    keep_runs: bool = False


class EngineOrders(Protocol):
    """Calls to engines; each one ends within a second."""

    async def report(self, engine: UpstreamRecord) -> EngineReport | None:
        """Return the state of the engine; None if it did not answer."""

    async def order(self, engine: UpstreamRecord, order: WeightsOrder) -> OrderAnswer:
        """Send an order once, without a retry."""
