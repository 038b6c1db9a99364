"""What operators allow a workspace to use, and what one request counts.  Pure."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from gooseberrydale.connection.codec import message

MOST_PER_S = float(2**53)
"""Larger figures can't be counted one by one."""


LEAST_BURST_S = 0.1
"""A bucket holds what comes in this time at least, or nothing could be granted."""


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@message
@dataclass(frozen=True, slots=True)
class Quota:
    """A token bucket for all requests of a workspace at all gateways together.

    It fills with ``per_s`` a second up to ``burst``.  A request counts 1, or its prompt
    tokens and those it may generate; one that doesn't say how many counts
    ``plain_tokens``.
    """

    per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 1

    @property
    def capacity(self) -> float:
        """What the bucket holds when it is full; enough to grant without a burst."""
        return max(self.burst, LEAST_BURST_S * self.per_s)

    def cost(self, tokens: int | None) -> int:
        """What a request counts that names ``tokens``, or None if it names none."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.plain_tokens if tokens is None else tokens


def quota_faults(quota: Quota) -> Iterator[str]:
    """Yield what is wrong with a quota, each with the field and the remedy."""
    for name, value in (("rate", quota.per_s), ("burst", quota.burst)):
        if not math.isfinite(value) or not 0 <= value <= MOST_PER_S:
            yield f"the quota's {name} is {value}; use 0 or more, up to 2**53"
    if not 0 <= quota.plain_tokens <= MOST_PER_S:
        yield (
            f"a request without a token count counts {quota.plain_tokens}; use 0 or"
            " more, up to 2**53"
        )
