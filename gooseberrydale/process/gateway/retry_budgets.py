"""This process's part of the retry budget that all gateways share, by pool.

Lives as long as the process.  The bound holds for each pool over all gateways and any
ten seconds: a part of the pool's requests, and a number beside them.  No gateway knows
what the others spend, so each keeps to its own requests and to its part of the number.
"""

from __future__ import annotations

from collections.abc import Callable

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.request.retry import RetryBudget

WINDOW_S = 10.0
RATIO_PART = 0.9
"""Part of the ratio that is used: requests that arrive within a window may be paid
for in the next one."""

BURST_PART = 0.55
"""Part of the number beside that may go in one burst."""

FLOW_PART = 0.3
"""Part of it that comes back within a window; the rest is left unused."""


class RetryBudgets:
    """One budget for each pool; ``gateways`` counts the gateways to share it with."""

    def __init__(self, cfg: GatewayCfg, gateways: Callable[[], int]) -> None:
        self._ratio = cfg.retry_ratio * RATIO_PART
        self._slack = cfg.retry_slack
        self._gateways = gateways
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, pool: str) -> RetryBudget:
        """The budget of a pool."""
        own_slack = self._slack / max(1, self._gateways())
        floor_per_s = own_slack * FLOW_PART / WINDOW_S
        cap = max(1.0, own_slack * BURST_PART)
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryBudget(self._ratio, floor_per_s, cap)
            self._budgets[pool] = budget
        budget.resize(floor_per_s, cap)
        return budget
