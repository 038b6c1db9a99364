"""Remembers for which prefixes this process has recently requested a save.  Pure.

There is one record per process.  A KV cache store reports a save only when it has
finished; until then, other requests with the same prefix need not request it again.
"""

from __future__ import annotations

from collections import OrderedDict

SAVE_TIMEOUT_S = 1.5
"""A save that is not reported within this time is requested again.  It starts when the
prompt is computed and waits for the link, which takes less than a second."""

MAX_ENTRIES = 4_096


class RecentSaves:
    """The times at which saves were last requested, by salt and prefix key."""

    def __init__(self) -> None:
        self._requested: OrderedDict[tuple[str, str], float] = OrderedDict()

    def due(self, salt: str, key: str, now: float) -> bool:
        """Return whether to request a save of this prefix now, and record it if so."""
        requested_at = self._requested.pop((salt, key), None)
        if requested_at is not None and now < requested_at + SAVE_TIMEOUT_S:
            self._requested[salt, key] = requested_at
            return False
        self._requested[salt, key] = now
        if len(self._requested) > MAX_ENTRIES:
            self._requested.popitem(last=False)
        return True
