"""Messages about quotas between gateways.

A gateway reports what it has spent to the owner of a workspace, and asks the owner
before it spends once little is left.  ``spent`` counts from the start of the sending
process, so that a message that is lost or comes twice does no harm.  They go without
field names on the wire, as there are many of them; new fields are added at the end.
"""

from __future__ import annotations

import msgspec

from gooseberrydale.connection.codec import message


class Spent(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway has spent for one workspace; ``recent`` in the last seconds."""

    workspace: str
    spent: int
    recent: int


class Level(msgspec.Struct, frozen=True, array_like=True):
    """What is left of one workspace's quota, by its owner's count.

    It includes ``spent`` of the gateway that gets it.  While ``low``, requests are
    granted by the owner alone; while ``short``, gateways report without being asked, as
    they may be refused.  ``share`` is the gateway's part of what was spent.
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

    A ``spare`` owner need not answer.
    """

    gateway: str
    incarnation: str
    seq: int
    items: tuple[Spent, ...]
    spare: bool = False


@message
class QuotaLevels(msgspec.Struct, frozen=True, array_like=True):
    """An owner's answer to a report, or the notice that a quota is low or short."""

    owner: str
    items: tuple[Level, ...]


@message
class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """Whether ``cost`` may be spent; ``spent`` doesn't include it.

    ``rank`` is the request's, 0 first; ``request`` names it, the same for each repeat.
    Its caller would wait ``patience_s`` at most before it returns.
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
    """A message has arrived; for transports that answer each."""


@message
class QuotaVerdict(msgspec.Struct, frozen=True, array_like=True):
    """The answer to the ask ``seq``; ``after_s`` is set if it is refused.

    An owner is ``young`` that has just begun to count: the other one may know of more
    that is left.
    """

    owner: str
    seq: int
    granted: bool
    after_s: float
    level: Level
    young: bool = False
