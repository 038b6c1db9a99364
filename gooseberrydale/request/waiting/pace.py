"""How often data about waiting requests is reported. Pure.

The interval grows with the number of recipients, so that the bytes of a gateway stay
bounded.  A report of nothing is repeated a few times after the last one with content.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from functools import lru_cache

EMPTY_REPORT_S = 0.5
"""How long empty reports follow the last one with content.  Without one, others use the
content until it lapses; any of several may be lost."""


@lru_cache(maxsize=4_096)
def name_hash(name: str) -> int:
    """Return 32 bits that identify a pool or workspace in reports.

    Names may be long and are repeated in every report.
    """
    return zlib.crc32(name.encode())


@dataclass(frozen=True, slots=True)
class Interval:
    """The time between two reports in seconds, for a number of recipients."""

    min_s: float
    max_s: float
    recipients_per_s: float

    def of(self, recipients: int) -> float:
        """Return the interval for a number of recipients."""
        return min(self.max_s, max(self.min_s, recipients / self.recipients_per_s))


class Pace:
    """When the next report to one set of recipients is due."""

    def __init__(self) -> None:
        self._sent_at = -math.inf
        self._content_at = -math.inf

    def is_due(self, has_content: bool, interval_s: float, now: float) -> bool:
        """Return whether to report now; if so, count the report as sent.

        The first content after a time without any is due at once.
        """
        fresh = has_content and self._content_at < self._sent_at
        if not fresh and now < self._sent_at + interval_s:
            return False
        if not has_content and now >= self._content_at + EMPTY_REPORT_S:
            return False
        self._sent_at = now
        if has_content:
            self._content_at = now
        return True
