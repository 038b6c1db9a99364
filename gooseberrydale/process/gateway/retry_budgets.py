"""Retry budgets of a gateway, by pool.

Lives as long as the process.  The bound holds for each pool over all gateways and any
ten seconds: a part of the pool's requests, and a number beside them.  No gateway knows
what the others spend, so each keeps to its own requests and to its part of the number.
"""

from __future__ import annotations

from collections.abc import Callable

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.request.retry_window import RetryWindow

WINDOW_S = 10.0
RATIO_PART = 0.9
"""Part of the ratio that is used: requests that arrive within a window may be paid
for in the next one."""

SLACK_PART = 0.8
"""Part of the number beside that is used; the rest is for gateways that have just
started and do not know of each other."""


class RetryBudgets:
    """One budget for each pool; ``gateways`` counts the gateways to share it with."""

    def __init__(self, cfg: GatewayCfg, gateways: Callable[[], int]) -> None:
        self._ratio = cfg.retry_ratio * RATIO_PART
        self._slack = cfg.retry_slack * SLACK_PART
        self._gateways = gateways
        self._budgets: dict[str, RetryWindow] = {}

    def of(self, pool: str) -> RetryWindow:
        """The budget of a pool."""
        own_slack = max(1.0, self._slack / max(1, self._gateways()))
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryWindow(self._ratio, own_slack, WINDOW_S)
            self._budgets[pool] = budget
        budget.resize(own_slack)
        return budget
