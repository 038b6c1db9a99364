"""This process's part of the retry budget that all gateways share, by pool.

Lives as long as the process.  The bound holds for each pool over all gateways and any
ten seconds: a part of the pool's requests, and a number beside them.  No gateway knows
what the others spend, so each keeps to its own requests and to its part of the number.
"""

from __future__ import annotations

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.request.retry import RetryBudget

WINDOW_S = 10.0
RATIO_PART = 0.8
"""Part of the ratio that is used: requests that arrive within a window may be paid
for in the next one."""

BURST_PART = 0.5
"""Part of the number beside that may go in one burst."""

FLOW_PART = 0.25
"""Part of it that comes back within a window; the rest is left unused."""


class RetryBudgets:
    """One budget for each pool that requests go to."""

    def __init__(self, cfg: GatewayCfg) -> None:
        self._ratio = cfg.retry_ratio * RATIO_PART
        self._own_slack = cfg.retry_slack / cfg.gateways
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, pool: str) -> RetryBudget:
        """The budget of a pool."""
        if pool not in self._budgets:
            self._budgets[pool] = RetryBudget(
                self._ratio,
                floor_per_s=self._own_slack * FLOW_PART / WINDOW_S,
                cap=max(1.0, self._own_slack * BURST_PART),
            )
        return self._budgets[pool]
