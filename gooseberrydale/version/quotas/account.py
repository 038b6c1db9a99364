"""What one gateway has spent of a workspace's quota, and what its owner says is left.

One object per workspace and process; no I/O.  While the owner's latest answer leaves
plenty, requests are sent without asking and reported afterwards.  Otherwise the owner
is asked before each request.  While no owner answers, the gateway spends at most its
own share of the rate.
"""

from __future__ import annotations

import math
from collections import deque

from gooseberrydale.version.quotas.ledger import LOW_FRACTION, RECENT_S
from gooseberrydale.version.quotas.messages import Level, Spent
from gooseberrydale.version.quotas.quota import Quota

LEVEL_TTL_S = 4.0
"""Time for which an owner's answer is used; the owner sends a notice when little is
left."""

OWNER_TIMEOUT_S = 0.3
"""Time without an answer to a report after which the owner may be unreachable."""

FALLBACK_SHORT_S = 1.0
"""Time for which a notice of the fallback owner applies; it is repeated sooner."""

IDLE_RETENTION_S = 60.0
"""Time after which an account that spends nothing may start over.  Longer than ledgers
keep a gateway that does not report."""

SHARE_BURST_S = 0.25
"""Time over which a gateway may save up its own share while no owner answers."""


class Account:
    """One workspace at one gateway; times are seconds of the event loop's clock."""

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.spent = 0
        self._recent_costs: deque[tuple[float, int]] = deque()
        self._recent = 0
        self._level: Level | None = None
        self._level_at = -math.inf
        self._unanswered_since = math.inf
        self._fallback_short_until = -math.inf
        self._own_left = 0.0
        self._own_at = -math.inf

    def is_short(self, now: float) -> bool:
        """Return whether an owner reports that requests are about to be refused."""
        if now < self._fallback_short_until:
            return True
        return self._level is not None and self._level.short

    @property
    def left(self) -> float:
        """Remaining quota by the owner's latest answer, less what was spent since."""
        if self._level is None:
            return 0.0
        return self._level.left - (self.spent - self._level.spent)

    def age_s(self, now: float) -> float:
        """Return the age of the owner's latest answer."""
        return now - self._level_at

    def spend(self, cost: int, now: float) -> None:
        """Record the cost of a request, negative to refund one that was not run."""
        self.spent += cost
        self._recent += cost
        self._recent_costs.append((now, cost))

    def may_spend(self, cost: int, quota: Quota, now: float) -> bool:
        """Return whether enough is left to send a request without asking the owner."""
        if self._level is None or self._level.low:
            return False
        if (
            self.age_s(now) > LEVEL_TTL_S
            or now > self._unanswered_since + OWNER_TIMEOUT_S
        ):
            return False
        return self.left - cost > LOW_FRACTION * quota.capacity

    def own_share_wait_s(self, quota: Quota, least_share: float, now: float) -> float:
        """Return the seconds until the gateway's own share allows another request.

        0 if it allows one now.  ``least_share`` is the share of a gateway that has not
        spent anything before.
        """
        known = 0.0 if self._level is None else self._level.share
        per_s = quota.per_s * max(known, least_share)
        since = max(self._own_at, now - SHARE_BURST_S)
        self._own_left = min(
            SHARE_BURST_S * per_s, self._own_left + (now - since) * per_s
        )
        self._own_at = now
        return 0.0 if self._own_left > 0.0 else -self._own_left / per_s

    def spend_own_share(self, cost: int) -> None:
        """Deduct the cost of a request from the gateway's own share."""
        self._own_left -= cost

    def item(self, now: float) -> Spent:
        """Return what this gateway has spent, in total and recently."""
        while self._recent_costs and self._recent_costs[0][0] < now - 2 * RECENT_S:
            self._recent -= self._recent_costs.popleft()[1]
        return Spent(self.workspace, self.spent, max(0, self._recent))

    def report(self, now: float) -> Spent:
        """Return the entry for a report to the owner, which is expected to answer."""
        self._unanswered_since = min(self._unanswered_since, now)
        return self.item(now)

    def note_received(self, level: Level, now: float) -> None:
        """Record an answer or a notice of an owner."""
        self._level, self._level_at = level, now
        self._unanswered_since = math.inf

    def record_fallback_notice(self, level: Level, now: float) -> None:
        """Record a notice of the fallback owner, which other gateways may be asking."""
        if level.short:
            self._fallback_short_until = now + FALLBACK_SHORT_S

    def is_idle(self, now: float) -> bool:
        """Return whether owners have dropped this gateway, so its count may restart."""
        return not self.item(now).recent and self.age_s(now) > IDLE_RETENTION_S
