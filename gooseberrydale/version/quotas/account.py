"""What one gateway has spent of a workspace's quota, and what it knows of the rest.

Lives as long as the process; pure.  While the owner says that much is left, requests
are sent without a question and reported afterwards.  Otherwise the owner is asked for
each; while no owner answers, the gateway goes on with its own share of the rate.
"""

from __future__ import annotations

import math
from collections import deque

from gooseberrydale.version.quotas.ledger import LOW_PART, RECENT_S
from gooseberrydale.version.quotas.messages import Level, Spent
from gooseberrydale.version.quotas.quota import Quota

TRUST_S = 4.0
"""What an owner said holds for this long at most; it sends a notice when little is
left."""

UNANSWERED_S = 0.3
"""An owner that leaves a report unanswered for so long may be out of touch."""

SPARE_SHORT_S = 1.0
"""A notice of the other owner holds until it is repeated."""

FORGET_S = 60.0
"""Longer than ledgers keep a gateway that they don't hear of."""

SHARE_KEPT_S = 0.25
"""What a gateway may save up of its own share while no owner answers."""


class Account:
    """One workspace at one gateway; times are seconds of the loop."""

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.spent = 0
        self._moments: deque[tuple[float, int]] = deque()
        self._recent = 0
        self._level: Level | None = None
        self._level_at = -math.inf
        self._unanswered_since = math.inf
        self._spare_short_until = -math.inf
        self._own_left = 0.0
        self._own_at = -math.inf

    def is_short(self, now: float) -> bool:
        """Whether an owner said that requests are about to be refused."""
        if now < self._spare_short_until:
            return True
        return self._level is not None and self._level.short

    @property
    def left(self) -> float:
        """What was left by the newest answer of an owner, less what was spent since."""
        if self._level is None:
            return 0.0
        return self._level.left - (self.spent - self._level.spent)

    def age_s(self, now: float) -> float:
        """How old the newest answer of an owner is."""
        return now - self._level_at

    def spend(self, cost: int, now: float) -> None:
        """A request is sent that counts ``cost``; below 0 if it was not run."""
        self.spent += cost
        self._recent += cost
        self._moments.append((now, cost))

    def may_spend(self, cost: int, quota: Quota, now: float) -> bool:
        """Whether so much is left that the owner need not be asked."""
        if self._level is None or self._level.low:
            return False
        if self.age_s(now) > TRUST_S or now > self._unanswered_since + UNANSWERED_S:
            return False
        return self.left - cost > LOW_PART * quota.capacity

    def may_spend_own(self, quota: Quota, least_share: float, now: float) -> float:
        """Seconds until the gateway's own share holds another request; 0 at once.

        ``least_share`` is what it may use that has not spent anything before.
        """
        known = 0.0 if self._level is None else self._level.share
        per_s = quota.per_s * max(known, least_share)
        since = max(self._own_at, now - SHARE_KEPT_S)
        self._own_left = min(
            SHARE_KEPT_S * per_s, self._own_left + (now - since) * per_s
        )
        self._own_at = now
        return 0.0 if self._own_left > 0.0 else -self._own_left / per_s

    def spend_own(self, cost: int) -> None:
        """A request is paid from the own share."""
        self._own_left -= cost

    def item(self, now: float) -> Spent:
        """What this gateway has spent."""
        while self._moments and self._moments[0][0] < now - 2 * RECENT_S:
            self._recent -= self._moments.popleft()[1]
        return Spent(self.workspace, self.spent, max(0, self._recent))

    def report(self, now: float) -> Spent:
        """What a report to the owner holds; an answer is expected."""
        self._unanswered_since = min(self._unanswered_since, now)
        return self.item(now)

    def heard(self, level: Level, now: float) -> None:
        """An answer or a notice of an owner has come."""
        self._level, self._level_at = level, now
        self._unanswered_since = math.inf

    def heard_spare(self, level: Level, now: float) -> None:
        """The owner that does not decide here has sent a notice; others may ask it."""
        if level.short:
            self._spare_short_until = now + SPARE_SHORT_S

    def is_idle(self, now: float) -> bool:
        """Whether owners have forgotten the gateway, so that it may count anew."""
        return not self.item(now).recent and self.age_s(now) > FORGET_S
