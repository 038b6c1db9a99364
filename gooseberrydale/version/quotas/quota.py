"""What operators allow a workspace to use, and what one request counts.  Pure."""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from gooseberrydale.connection.codec import message

MOST_PER_S = float(2**53)
"""Larger figures can't be counted one by one."""


LEAST_BURST_S = 0.1
"""A bucket holds what comes in this time at least, or nothing could be granted."""


class QuotaUnit(StrEnum):
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


QUOTA_REMEDY = "use a number of 0 or more, 2**53 at most"


def quota_faults(quota: Quota) -> Iterator[tuple[str, float]]:
    """Yield the fields of a quota with a value that can't be counted."""
    fields = {
        "per_s": quota.per_s,
        "burst": quota.burst,
        "plain_tokens": quota.plain_tokens,
    }
    for name, value in fields.items():
        if not math.isfinite(value) or not 0 <= value <= MOST_PER_S:
            yield name, value
