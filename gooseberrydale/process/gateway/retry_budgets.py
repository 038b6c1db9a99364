"""The retry budgets of a gateway, one per pool.

There is one set of budgets per process.  Over any ten seconds and all gateways, the
retries of a pool must not exceed a ratio of its requests plus a fixed slack.  Gateways
don't exchange what they spend, so each applies the ratio to its own requests and uses
an equal share of the slack.
"""

from __future__ import annotations

from collections.abc import Callable

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.request.retry_window import RetryWindow

WINDOW_S = 10.0
RATIO_FRACTION = 0.9
"""Fraction of the ratio that is used, as a request may be counted in one window while
its retry is spent in the next."""

SLACK_FRACTION = 0.8
"""Fraction of the slack that is used; the rest covers gateways that have just started
and are not yet counted by the others."""


class RetryBudgets:
    """Holds a budget per pool; ``gateways`` counts those that share its slack."""

    def __init__(self, cfg: GatewayCfg, gateways: Callable[[], int]) -> None:
        self._ratio = cfg.retry_ratio * RATIO_FRACTION
        self._slack = cfg.retry_slack * SLACK_FRACTION
        self._gateways = gateways
        self._budgets: dict[str, RetryWindow] = {}

    def of(self, pool: str) -> RetryWindow:
        """Return the budget of ``pool``."""
        own_slack = max(1.0, self._slack / max(1, self._gateways()))
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryWindow(self._ratio, own_slack, WINDOW_S)
            self._budgets[pool] = budget
        budget.resize(own_slack)
        return budget
