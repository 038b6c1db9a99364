"""Bounds how long messages of one connection were under way.

Lives as long as its connection.  The two ends have loop clocks that start
anywhere and run at nearly the same rate.  A message that echoes our clock says
what it showed at least when the message was made, which bounds the offset of the
clocks from below; from then on each message's age has a sure upper bound.  It errs
on the long side, by the time that the echoed message was under way, so that a
lease is never prolonged by a slow, silent or frozen path.  The module reads no
clock.
"""

from __future__ import annotations

import math

MAX_DRIFT = 1e-3
"""How much the clocks may drift apart, in seconds a second: twice the slew limit."""


class TransitBound:
    """Upper bound of the age of messages heard over one connection."""

    def __init__(self) -> None:
        self._least_offset = -math.inf
        self._learned_at = 0.0

    def heard(self, sent_at: float, echo_at: float | None, now: float) -> None:
        """Learn from a message made at ``sent_at`` of the peer's clock.

        ``echo_at`` is what our clock showed then at least, if the peer knows.
        """
        if echo_at is None:
            return
        self._least_offset = max(self._offset(now), echo_at - sent_at)
        self._learned_at = now

    def age_s(self, sent_at: float, now: float) -> float:
        """Seconds at most since the message was made; infinite if not known."""
        return now - sent_at - self._offset(now)

    def _offset(self, now: float) -> float:
        return self._least_offset - MAX_DRIFT * (now - self._learned_at)
