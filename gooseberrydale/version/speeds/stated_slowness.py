"""The slowness that an upstream stated, and how long it lasts.  No I/O."""

from __future__ import annotations

import math

MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 10.0
"""Bounds of a slowness that is used; what is stated beyond is taken as the bound."""

SLOW = 1.2
"""Slowness from which on an upstream counts as slowed down: less changes no choice."""

DEFAULT_SPELL_S = 0.5
"""Assumed length of a slow spell before some were observed.  It is some answers of a
busy engine long, so that a lost report does not end the spell."""

DEFAULT_SPELLS = 5.0
"""How many observed spells the assumed length counts as much as."""

MAX_SPELLS = 50.0
"""Number of spells above which older ones count half, so that the length can change."""

MIN_SPELL_S, MAX_SPELL_S = 0.1, 10.0
"""Bounds of the learned length: what is shorter ends before it is reported, and with
longer ones an upstream that gets no requests would be avoided for too long."""

MAX_GAP_FRACTION = 0.5
"""Largest time between two statements that teaches, as a fraction of the length.  The
end of a spell may be noticed late at an upstream that is avoided because of it."""


class SpellLengths:
    """How long slow spells of a pool usually last.

    The length is the time for which upstreams were known to be slow, divided by the
    number of spells that ended in it.  Durations from the first slow statement of a
    spell to the first normal one would be too long: an upstream that seems slow gets
    fewer requests, states less, and so seems slow for longer.
    """

    def __init__(self) -> None:
        self._slow_s = DEFAULT_SPELL_S * DEFAULT_SPELLS
        self._ends = DEFAULT_SPELLS
        self.usual_s = DEFAULT_SPELL_S

    def restated(self, gap_s: float, *, ended: bool) -> None:
        """Record a statement ``gap_s`` after a slow one, normal if the spell ended."""
        if gap_s > MAX_GAP_FRACTION * self.usual_s:
            return
        self._slow_s += gap_s
        self._ends += ended
        if self._ends > MAX_SPELLS:
            self._slow_s, self._ends = self._slow_s / 2.0, self._ends / 2.0
        self.usual_s = min(MAX_SPELL_S, max(MIN_SPELL_S, self._slow_s / self._ends))


class StatedSlowness:
    """What one upstream stated last."""

    __slots__ = ("_value", "_at")

    def __init__(self) -> None:
        self._value = 1.0
        self._at = -math.inf

    def state(self, slowness: float, at: float, spells: SpellLengths) -> bool:
        """Record a statement made at ``at``; return False if a newer one is known."""
        if at <= self._at:
            return False
        if self._value >= SLOW:
            spells.restated(at - self._at, ended=slowness < SLOW)
        self._value, self._at = slowness, at
        return True

    def at(self, now: float, spells: SpellLengths) -> float:
        """Return the expected slowness at ``now``.

        If spells have a fixed length and a statement is made at any moment of one, the
        probability that it has not ended falls linearly with the statement's age.
        """
        left = min(1.0, 1.0 - (now - self._at) / spells.usual_s)
        return self._value * left + (1.0 - left) if left > 0.0 else 1.0
