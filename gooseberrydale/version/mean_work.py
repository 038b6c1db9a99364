"""How many tokens a prompt leaves to compute on average, by pool, as observed.

Lives as long as the process; pure.
"""

from __future__ import annotations

SMOOTHING = 0.02
"""Weight of the newest prompt: the last fifty count, some seconds of a gateway."""

KEPT_POOLS = 256


class MeanWork:
    """Mean tokens to compute of the prompts sent to each pool."""

    def __init__(self) -> None:
        self._mean: dict[str, float] = {}

    def sent(self, pool: str, tokens: int) -> None:
        """A prompt that leaves ``tokens`` to compute goes to ``pool``."""
        known = self._mean.get(pool)
        if known is None:
            if len(self._mean) < KEPT_POOLS:
                self._mean[pool] = float(tokens)
            return
        self._mean[pool] = known + SMOOTHING * (tokens - known)

    def of(self, pool: str) -> float:
        """The mean of ``pool``; 0 if nothing was sent there."""
        return self._mean.get(pool, 0.0)
