"""The quota of a workspace, and how much of it one request uses."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from gooseberrydale.connection.codec import message

MAX_QUOTA_VALUE = float(2**53)
"""Largest value of a quota; above it a float can't represent every integer."""


MIN_BURST_S = 0.1
"""Minimum capacity of a bucket, as the time in which it fills.  With no capacity no
request could be granted."""


class QuotaUnit(StrEnum):
    """The unit in which a quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@message
@dataclass(frozen=True, slots=True)
class Quota:
    """A token bucket for the requests of a workspace at all gateways together.

    It gains ``per_s`` units a second, up to ``burst``.  In requests, each request costs
    1.  In tokens, it costs its prompt tokens and those that it may generate, or
    ``plain_tokens`` if it does not name a number.
    """

    per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 1

    @property
    def capacity(self) -> float:
        """Size of the bucket, large enough to grant requests with a ``burst`` of 0."""
        return max(self.burst, MIN_BURST_S * self.per_s)

    def cost(self, tokens: int | None) -> int:
        """Return the cost of a request; ``tokens`` is None if it names no number."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.plain_tokens if tokens is None else tokens


QUOTA_REMEDY = "use a number of 0 or more, 2**53 at most"


def quota_faults(quota: Quota) -> Iterator[tuple[str, float]]:
    """Yield the name and value of each field that is out of range."""
    fields = {
        "per_s": quota.per_s,
        "burst": quota.burst,
        "plain_tokens": quota.plain_tokens,
    }
    for name, value in fields.items():
        if not math.isfinite(value) or not 0 <= value <= MAX_QUOTA_VALUE:
            yield name, value
