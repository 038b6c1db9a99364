"""Computes an upper bound of the age of messages received over one connection.

The loop clocks of the two ends have arbitrary offsets and run at nearly the same rate.
A message that echoes the local clock states a lower bound of what that clock showed
when the message was created.  This bounds the offset between the clocks from below, and
thereby the age of all later messages from above.  The bound is too high by the time
that the echoed message took to arrive, but never too low: a slow, silent or frozen path
can't prolong a lease.  The module reads no clock.
"""

from __future__ import annotations

import math

MAX_DRIFT = 1e-3
"""Most that the clocks drift apart, in seconds per second: twice the slew limit."""


class MessageAgeBound:
    """Upper bound of the age of messages received over one connection."""

    def __init__(self) -> None:
        self._min_clock_offset = -math.inf
        self._updated_at = 0.0

    def record(self, sent_at: float, echo_at: float | None, now: float) -> None:
        """Record a message that was created at ``sent_at`` by the peer's clock.

        ``echo_at`` is a lower bound of what the local clock showed then; None if the
        peer has received no message yet.
        """
        if echo_at is None:
            return
        self._min_clock_offset = max(self._offset(now), echo_at - sent_at)
        self._updated_at = now

    def age_s(self, sent_at: float, now: float) -> float:
        """Return the greatest possible age of a message; infinite before an echo."""
        return now - sent_at - self._offset(now)

    def _offset(self, now: float) -> float:
        return self._min_clock_offset - MAX_DRIFT * (now - self._updated_at)
