"""The retry budgets of a gateway, one per pool.

There is one set of budgets per process.  Over any window and all gateways, the retries
of a pool must not exceed a ratio of its requests plus a fixed slack.  Each gateway
applies the ratio to its own requests and uses an equal share of the slack, less what
gateways that ended or lost their callers have spent beyond their part now; see
``request/retry_ledger.py``, which exchanges that.

``USED_FRACTION`` of the limit is used by gateways that know what was spent, and
``UNKNOWN_FRACTION`` covers what they can't know:

- A process that no gateway has told what was spent, as all were killed at once, or that
  is cut off from those that know, uses only that, in proportion to its age.
- Callers of gateways that don't report may have spent their part there.  Their requests
  look like those of other new callers, so as many gateways do not report, so little do
  requests of new callers count.
"""

from __future__ import annotations

from collections.abc import Callable

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.request.retry_ledger import BUCKETS, Part, PoolCounts, RetryLedger
from gooseberrydale.request.retry_window import RetryWindow, Terms

USED_FRACTION = 0.87
"""Fraction of ratio and slack that gateways use if they know what was spent."""

UNKNOWN_FRACTION = 0.12
"""Fraction of ratio and slack for what gateways can't know.  With it a fleet of which
all processes were just killed has one stream of each gateway go on, and as many again
three seconds later.  The remaining 0.01 covers reports that are on their way."""

OVERSIZE_FRACTION = 0.5
"""Fraction of the slack that a fleet uses that is larger than its setting ``gateways``.
If each of its gateways sees only half of the others, nothing tells it so."""


class RetryBudgets:
    """Holds a budget per pool; ``gateways`` counts those that share its slack.

    Unless ``start`` is called, the process is taken for one that started long ago.
    ``incarnation`` identifies it in the reports of ``ledger``.
    """

    def __init__(
        self, cfg: GatewayCfg, gateways: Callable[[], int], incarnation: str = ""
    ) -> None:
        self._cfg = cfg
        self._window_s = cfg.retry_window_s
        self._gateways = gateways
        self._closed = False
        self._budgets: dict[str, RetryWindow] = {}
        self.ledger = RetryLedger(
            cfg.retry_ratio * USED_FRACTION,
            self._window_s,
            incarnation,
            self._own_slack,
            self._counts,
        )

    def start(self, now: float) -> None:
        """Record that the process starts now."""
        self.ledger.start(now)

    def drain(self) -> None:
        """Report at once what was spent, as the process is about to end."""
        self.ledger.report_soon()

    def close(self) -> None:
        """Allow no more retries, and report what was spent as final."""
        self._closed = True
        self.ledger.close()

    def of(self, pool: str) -> RetryWindow:
        """Return the budget of ``pool``."""
        budget = self._budgets.get(pool)
        if budget is None:
            budget = RetryWindow(
                self._cfg.retry_ratio * USED_FRACTION,
                0.0,
                self._window_s,
                lambda now: self._terms(pool, now),
            )
            self._budgets[pool] = budget
        return budget

    def _terms(self, pool: str, now: float) -> Terms:
        """Return what this gateway may use of its part of a pool's limit now."""
        if self._closed:
            return Terms(0.0, level=0.0)
        budget, gateways = self._budgets[pool], max(1, self._gateways())
        own_slack = self._own_slack()
        if not self.ledger.vouches(now):
            requests = self.ledger.mean_requests(pool, budget.requests, now)
            least = self._untold(requests, gateways, own_slack, now)
            return Terms(own_slack, level=0.0, least=least)
        terms = Terms(own_slack, 1.0, self._fresh_fraction(gateways, now))
        part = Part(budget.part(terms) - own_slack, own_slack, budget.spent)
        level = self.ledger.level(pool, part, gateways, now)
        return Terms(own_slack, level, terms.fresh_fraction)

    def _untold(
        self, requests: float, gateways: int, own_slack: float, now: float
    ) -> float:
        """Return how many retries a process may make beside a whole limit that was
        spent before it started."""
        # A stream that breaks just after a start goes on, unless the fleet is so large
        # that not even one retry for each gateway is within the slack.
        least = min(1.0, self._cfg.retry_slack / gateways)
        age = self.ledger.age_s(now) / self._window_s
        if age <= 0.0:
            return least
        slack = own_slack / USED_FRACTION
        part = self._cfg.retry_ratio * requests / age + slack
        at_full_age = UNKNOWN_FRACTION * part
        return max(least, min(least + at_full_age * age, at_full_age))

    def _fresh_fraction(self, gateways: int, now: float) -> float:
        """Return what requests of new callers count for: as much as
        ``UNKNOWN_FRACTION`` covers if all were at gateways that do not report."""
        silent = 1.0 - (1 + self.ledger.reporting(now)) / gateways
        if silent <= 0.0:
            return 1.0
        return min(1.0, UNKNOWN_FRACTION / USED_FRACTION / silent)

    def _own_slack(self) -> float:
        """Return the part of the slack that each gateway may use."""
        gateways, expected = max(1, self._gateways()), self._cfg.gateways
        fraction = USED_FRACTION if gateways <= expected else OVERSIZE_FRACTION
        return self._cfg.retry_slack * fraction / gateways

    def _counts(self, now: float) -> tuple[PoolCounts, ...]:
        counts = []
        for pool, budget in self._budgets.items():
            budget.advance(now)
            counts.append(PoolCounts(pool, *budget.by_age(BUCKETS)))
        return tuple(counts)
