"""The slowness that an upstream stated, and how long it lasts.  No I/O."""

from __future__ import annotations

import math
from collections import deque
from statistics import median

MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 10.0
"""Bounds of a slowness that is used; what is stated beyond is taken as the bound."""

SLOW = 1.2
"""Slowness from which on an upstream counts as slowed down: less changes no choice."""

DEFAULT_SPELL_S = 0.5
"""Assumed length of a slow spell before some were observed.  It is some answers of a
busy engine long, so that a lost report does not end the spell."""

MIN_SPELL_S, MAX_SPELL_S = 0.1, 10.0
"""Bounds of the learned length: what is shorter ends before it is reported, and with
longer ones an upstream that gets no requests would be avoided for too long."""

SPELL_WINDOW = 31
MIN_SPELLS = 5
"""Spells that the usual length is the median of, and from how many on it is used."""

MAX_GAP_FRACTION = 0.5
"""Largest gap before the end of a spell, as a fraction of its length, with which its
length counts as observed."""


class SpellLengths:
    """How long slow spells of a pool usually last."""

    def __init__(self) -> None:
        self._lengths_s: deque[float] = deque(maxlen=SPELL_WINDOW)
        self.usual_s = DEFAULT_SPELL_S

    def ended(self, length_s: float, gap_s: float) -> None:
        """Record a spell; ``gap_s`` is the time between the last two statements."""
        if length_s <= 0.0 or gap_s > MAX_GAP_FRACTION * length_s:
            return
        self._lengths_s.append(length_s)
        if len(self._lengths_s) >= MIN_SPELLS:
            usual_s = median(self._lengths_s)
            self.usual_s = min(MAX_SPELL_S, max(MIN_SPELL_S, usual_s))


class StatedSlowness:
    """What one upstream stated last, and since when it has stated to be slow."""

    __slots__ = ("_value", "_at", "_slow_since")

    def __init__(self) -> None:
        self._value = 1.0
        self._at = -math.inf
        self._slow_since: float | None = None

    def state(self, slowness: float, at: float, spells: SpellLengths) -> bool:
        """Record a statement made at ``at``; return False if a newer one is known."""
        if at <= self._at:
            return False
        if slowness >= SLOW:
            if self._slow_since is None:
                self._slow_since = at
        elif self._slow_since is not None:
            spells.ended(at - self._slow_since, at - self._at)
            self._slow_since = None
        self._value, self._at = slowness, at
        return True

    def at(self, now: float, spells: SpellLengths) -> float:
        """Return the expected slowness at ``now``.

        If spells have a fixed length and a statement is made at any moment of one, the
        probability that it has not ended falls linearly with the statement's age.
        """
        left = min(1.0, 1.0 - (now - self._at) / spells.usual_s)
        return self._value * left + (1.0 - left) if left > 0.0 else 1.0
