"""Mean number of prompt tokens left to compute per request, by pool.

One object per process; no I/O.
"""

from __future__ import annotations

SMOOTHING = 0.02
"""Weight of the newest prompt; roughly the last fifty prompts count, a few seconds of
a gateway's traffic."""

MAX_POOLS = 256


class MeanWork:
    """Mean number of tokens to compute for the prompts sent to each pool."""

    def __init__(self) -> None:
        self._mean: dict[str, float] = {}

    def sent(self, pool: str, tokens: int) -> None:
        """Record a prompt sent to ``pool`` of which ``tokens`` must be computed."""
        known = self._mean.get(pool)
        if known is None:
            if len(self._mean) < MAX_POOLS:
                self._mean[pool] = float(tokens)
            return
        self._mean[pool] = known + SMOOTHING * (tokens - known)

    def of(self, pool: str) -> float:
        """Return the mean of ``pool``, 0 if nothing was sent there."""
        return self._mean.get(pool, 0.0)
