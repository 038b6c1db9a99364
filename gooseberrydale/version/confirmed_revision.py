"""How recently the configuration in force was known to be the newest.

A control replica that leads under a valid lease knows the newest revision.  The others
pass on what they heard, with its age.  There is one object per process; times are those
of its event loop.
"""

from __future__ import annotations

import math
from collections.abc import Callable


class ConfirmedRevision:
    """The newest confirmation that this process has received.

    A confirmation says that no revision above ``revision`` was committed at ``at``.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._at = -math.inf
        self._highest_reported = 0
        self._listeners: list[Callable[[], None]] = []

    def confirm(self, revision: int, at: float) -> None:
        """Record a confirmation; one that is older than the last is ignored."""
        if at <= self._at:
            return
        self._revision, self._at = revision, at
        for listener in tuple(self._listeners):
            listener()

    def report(self, revision: int) -> None:
        """Record that a peer has ``revision`` in force, so it was committed."""
        self._highest_reported = max(self._highest_reported, revision)

    def age_s(self, in_force: int, now: float) -> float:
        """Seconds since ``in_force`` was known to be the newest revision.

        Infinite if that was never known, or if a newer one is known.
        """
        if in_force < max(self._revision, self._highest_reported):
            return math.inf
        return max(0.0, now - self._at)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each confirmation."""
        self._listeners.append(listener)
