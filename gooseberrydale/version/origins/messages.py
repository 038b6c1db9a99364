"""Messages about origins of streams between gateways, also stored on disk.

They are frequent and are encoded without field names; new fields are added at the end.
"""

from __future__ import annotations

import msgspec

from gooseberrydale.connection.codec import message


@message
class OriginNotice(msgspec.Struct, frozen=True, array_like=True):
    """The origin of stream ``key``, to be kept for ``keep_s`` seconds."""

    key: bytes
    pool: str
    software: str
    keep_s: float


@message
class OriginAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the origin of stream ``key``; the answer goes to ``reply_to``."""

    key: bytes
    seq: int
    reply_to: str


@message
class OriginReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer of ``gateway`` to the ask with the same ``seq``.

    ``notice`` is None if it does not know the origin.
    """

    seq: int
    gateway: str
    notice: OriginNotice | None = None
