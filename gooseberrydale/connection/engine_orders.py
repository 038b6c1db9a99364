"""What control asks of an engine that takes orders without a sidecar.

One call each; how the engine speaks is up to the implementation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from gooseberrydale.connection.mesh import UpstreamRecord


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself; it may lag by some hundred milliseconds.

    ``versions`` holds the weights version by model, ``accepted`` counts the orders
    that this incarnation of the engine has accepted, ``busy`` is True while one is
    carried out, ``running`` counts the requests that it works on or keeps waiting.
    ``born_ms`` is the start of this incarnation, in Unix milliseconds, None if it is
    not told.
    """

    versions: dict[str, int]
    accepted: int
    busy: bool
    running: int = 0
    born_ms: int | None = None


class OrderAnswer(Enum):
    """What became of an order, as far as the engine's answer tells."""

    ACCEPTED = auto()
    """It is being carried out."""
    HOLDS = auto()
    """It holds already."""
    CONFLICT = auto()
    """Another order is in progress, or other orders came since the report."""
    FENCED = auto()
    """A later holder has given orders."""
    REFUSED = auto()
    """The engine does not know the model or the version."""
    OTHER_INCARNATION = auto()
    """Another incarnation of an engine listens there."""
    UNKNOWN = auto()
    """No answer: the order may be carried out, now or later."""


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """Serve ``model`` with ``version`` once the runs on the engine have ended.

    ``number`` is the fencing number of ``holder``; the order is void if the engine
    has accepted another number of orders than ``after``.  With ``keep_runs`` the engine
    does not wait for its runs; they go on with the new weights.
    """

    model: str
    version: int
    holder: str
    number: int
    after: int
    keep_runs: bool = False


class EngineOrders(Protocol):
    """Calls to engines; each takes a second at most."""

    async def report(self, engine: UpstreamRecord) -> EngineReport | None:
        """What the engine says of itself; None if it did not answer."""

    async def order(self, engine: UpstreamRecord, order: WeightsOrder) -> OrderAnswer:
        """Give an order once."""
