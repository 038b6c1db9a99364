"""The retry budgets of a gateway, one per pool.

There is one set of budgets per process.  Over any window and all gateways, the retries
of a pool must not exceed a ratio of its requests plus a fixed slack.  Gateways
don't exchange what they spend, so each applies the ratio to its own requests and uses
an equal share of the slack.  See ``request/retry_window.py`` for gateways that start.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.request.retry_window import FRESH_FRACTION, RetryWindow

USED_FRACTION = 0.96 / (1.0 + FRESH_FRACTION)
"""Fraction of ratio and slack that is used.  With what is granted after gateways were
killed, nearly all may be spent; the rest covers retries that are on their way."""


class RetryBudgets:
    """Holds a budget per pool; ``gateways`` counts those that share its slack.

    Unless ``start`` is called, the process is taken for one that started long ago.
    """

    def __init__(self, cfg: GatewayCfg, gateways: Callable[[], int]) -> None:
        self._ratio = cfg.retry_ratio * USED_FRACTION
        self._slack = cfg.retry_slack
        self._window_s = cfg.retry_window_s
        self._gateways = gateways
        self._started_at = -math.inf
        self._budgets: dict[str, RetryWindow] = {}

    def start(self, now: float) -> None:
        """Record that the process starts now."""
        self._started_at = now

    def of(self, pool: str) -> RetryWindow:
        """Return the budget of ``pool``."""
        share = self._slack / max(1, self._gateways())
        own_slack = share * USED_FRACTION
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryWindow(
                self._ratio, own_slack, self._window_s, self._started_at
            )
            self._budgets[pool] = budget
        # A stream that breaks just after a start goes on, unless the fleet is so large
        # that not even one retry for each gateway is within the slack.
        budget.resize(own_slack, least=min(1.0, share))
        return budget
