"""Small versions of the request decisions, until the real modules are merged."""

from __future__ import annotations

from dataclasses import dataclass, field

from gooseberrydale.connection.mesh import UpstreamRecord
from gooseberrydale.connection.messages import Chunk, Piece


@dataclass(frozen=True, slots=True)
class RouteReq:
    """What routing needs to know of a request."""

    pool: str
    pieces: tuple[Piece, ...] = ()
    exclude: frozenset[str] = frozenset()


class Router:
    """Takes each upstream in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, req: RouteReq, upstreams: tuple[UpstreamRecord, ...], now: float
    ) -> UpstreamRecord | None:
        """The next upstream in turn that is not excluded."""
        fit = [u for u in upstreams if u.name not in req.exclude]
        if not fit:
            return None
        self._turn += 1
        return fit[self._turn % len(fit)]


def prompt_pieces(path: str, body: bytes) -> tuple[Piece, ...]:
    """No pieces yet."""
    return ()


@dataclass(slots=True)
class Reassembly:
    """Delivers events strictly in order."""

    offset: int = 0
    dropped: int = field(default=0)

    def take(self, chunk: Chunk) -> tuple[bytes, ...] | None:
        """Events of the chunk that were not delivered yet; None on a gap."""
        if chunk.offset > self.offset:
            return None
        new = chunk.events[self.offset - chunk.offset :]
        self.offset += len(new)
        return new


class RetryBudget:
    """A retry for each so many requests."""

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._tokens = 10.0

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._tokens + self._ratio, 10.0)

    def spend(self) -> bool:
        """Take one retry, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
