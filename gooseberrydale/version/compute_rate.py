"""How soon the engines of a pool begin to answer, as their first events tell.

Lives as long as the process; pure.  A first event takes a fixed time, for the way and
for the first token, and the time to compute what is before it.  Both differ between
deployments, and with how much of an engine's time goes into tokens of its streams; so
both are learned from what is observed.
"""

from __future__ import annotations

START_TOKENS_PER_S = 80_000.0
START_FIRST_S = 0.045
"""Taken before anything is observed: engines of two customers began after 40 to 50 ms
with hardly anything to compute, and got through 70,000 to 130,000 tokens a second."""

START_TOKENS = 40_000.0
"""What the start counts: as much as some eight prompts."""

SHORT_TOKENS = 1_500.0
"""Up to this much to compute, the time to the first event is mostly the fixed one."""

LEAST_TOKENS_PER_S = 10_000.0
MOST_TOKENS_PER_S = 400_000.0
"""Twice what the fastest engine known reads with nothing else to do."""

LEAST_PART = 0.1
"""Part of an observed time that computing takes at least, whatever the fixed time."""

FADING = 0.98
"""What an observation keeps of its weight with each newer one: some fifty count."""


class ComputeRate:
    """The fixed time to a first event, and tokens computed in a second beyond it."""

    def __init__(self) -> None:
        self._tokens = START_TOKENS
        self._seconds = START_TOKENS / START_TOKENS_PER_S
        self.first_s = START_FIRST_S

    def observed(self, tokens: float, seconds: float) -> None:
        """A first event came after ``seconds``, with ``tokens`` to compute until it."""
        if tokens <= SHORT_TOKENS:
            fixed_s = max(0.0, seconds - tokens / self.tokens_per_s)
            self.first_s += (1 - FADING) * (min(fixed_s, 1.0) - self.first_s)
            return
        computing_s = max(seconds - self.first_s, seconds * LEAST_PART)
        self._tokens = self._tokens * FADING + tokens
        self._seconds = self._seconds * FADING + computing_s

    @property
    def tokens_per_s(self) -> float:
        """The rate observed, within what engines can do at all."""
        rate = self._tokens / self._seconds
        return min(MOST_TOKENS_PER_S, max(LEAST_TOKENS_PER_S, rate))


class ComputeRates:
    """The rates by pool."""

    def __init__(self) -> None:
        self._rates: dict[str, ComputeRate] = {}

    def of(self, pool: str) -> ComputeRate:
        """The rate of one pool."""
        return self._rates.setdefault(pool, ComputeRate())
