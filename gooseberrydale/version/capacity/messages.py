"""Messages about reservations between gateways.

A gateway asks the owner of an upstream before it sends there while the upstream is
nearly full.  The messages are frequent and are encoded without field names; new fields
are added at the end.
"""

from __future__ import annotations

import msgspec

from gooseberrydale.connection.codec import message
from gooseberrydale.request.capacity_ports import Need

MAX_RANK = 64
MAX_REQUESTS = 10_000
MAX_TOKENS = 2**40


@message
class ReserveAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks whether ``gateway`` may send to an upstream now; ``seq`` numbers its asks.

    The other fields are those of :class:`Need`.
    """

    gateway: str
    seq: int
    pool: str
    upstream: str
    rank: int
    kv_tokens: int
    unshared_tokens: int
    requests: int = 1

    def need(self) -> Need | None:
        """Return what the request needs; None if a value is out of bounds."""
        tokens, unshared = self.kv_tokens, self.unshared_tokens
        if not (0 <= self.rank <= MAX_RANK and 1 <= self.requests <= MAX_REQUESTS):
            return None
        if not 0 <= unshared <= MAX_TOKENS or not 0 <= tokens <= MAX_TOKENS:
            return None
        return Need(self.rank, tokens, 0, self.requests, unshared)


@message
class Granted(msgspec.Struct, frozen=True, array_like=True):
    """Tells the other owner of an upstream that ``ask`` was granted."""

    ask: ReserveAsk


@message
class Reserved(msgspec.Struct, frozen=True, array_like=True):
    """The answer to the ask with the same ``seq``.

    If it is not granted, the same upstream may be asked for after ``after_ms``.
    """

    owner: str
    seq: int
    granted: bool
    after_ms: int = 0
