"""Remembers which prefixes this process has just had saved.  Pure.

Lives as long as the process.  The events of the store tell of a save only once it is
done; until then further requests with the same prefix need not save it again.
"""

from __future__ import annotations

from collections import OrderedDict

PATIENCE_S = 1.5
"""A save comes after the prompt is computed and waits for the link: under a second."""

KEPT = 4_096


class SaveMemory:
    """Times of the last saves that were asked for."""

    def __init__(self) -> None:
        self._asked: OrderedDict[tuple[str, str], float] = OrderedDict()

    def due(self, salt: str, key: str, now: float) -> bool:
        """Whether to ask for a save of this prefix now; notes it if so."""
        asked_at = self._asked.pop((salt, key), None)
        if asked_at is not None and now < asked_at + PATIENCE_S:
            self._asked[salt, key] = asked_at
            return False
        self._asked[salt, key] = now
        if len(self._asked) > KEPT:
            self._asked.popitem(last=False)
        return True
