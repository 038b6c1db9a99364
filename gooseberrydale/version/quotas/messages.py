"""Messages about quotas between gateways.

A gateway reports what it has spent to the owner of a workspace's quota.  Once little is
left, it asks the owner before it spends.  ``spent`` is the total since the sending
process started, so a lost or repeated message does no harm.  Messages are frequent and
are encoded without field names; new fields are added at the end.
"""

from __future__ import annotations

import msgspec

from gooseberrydale.connection.codec import message


class Spent(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway has spent for one workspace, in total and in the last seconds."""

    workspace: str
    spent: int
    recent: int


class Level(msgspec.Struct, frozen=True, array_like=True):
    """What is left of one workspace's quota, as counted by its owner.

    ``spent`` is the amount spent by the receiving gateway that ``left`` accounts for.
    While ``low``, gateways must ask the owner before each request.  While ``short``,
    requests may be refused, and gateways report even if they have spent nothing.
    ``share`` is the receiving gateway's fraction of recent spending.
    """

    workspace: str
    left: float
    low: bool
    short: bool
    share: float
    spent: int


@message
class QuotaReport(msgspec.Struct, frozen=True, array_like=True):
    """What ``gateway`` has spent; ``seq`` rises within one ``incarnation``.

    ``spare`` marks a report to the fallback owner, which need not answer.
    """

    gateway: str
    incarnation: str
    seq: int
    items: tuple[Spent, ...]
    spare: bool = False


@message
class QuotaLevels(msgspec.Struct, frozen=True, array_like=True):
    """An owner's answer to a report, or its notice that quotas are low or short."""

    owner: str
    items: tuple[Level, ...]


@message
class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner whether ``cost`` may be spent; ``spent`` does not include it.

    ``rank`` is the request's priority, 0 being the highest.  ``request`` identifies the
    request and stays the same in retries.  ``patience_s`` is the longest time that its
    caller would wait before a retry.
    """

    gateway: str
    incarnation: str
    seq: int
    spent: Spent
    cost: int
    rank: int = 0
    request: bytes = b""
    patience_s: float = 0.0


@message
class QuotaTaken(msgspec.Struct, frozen=True, array_like=True):
    """Confirms the receipt of a message, on transports that answer each message."""


@message
class QuotaVerdict(msgspec.Struct, frozen=True, array_like=True):
    """The answer to the :class:`QuotaAsk` with the same ``seq``.

    ``after_s`` is the time until a retry may be granted, if the request is refused.
    ``young`` is True if the owner has recently started to count, in which case the
    other owner may have recorded more that is left.
    """

    owner: str
    seq: int
    granted: bool
    after_s: float
    level: Level
    young: bool = False
