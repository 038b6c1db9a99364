"""Counts what all gateways spend for one workspace, at the owner of its quota.

The ledger protects against a workspace that sends more than its quota through many
gateways at once.  A token bucket limits what is spent in any time window, wherever the
window begins.  Gateways that can't reach the owner keep spending their share of the
rate, so the ledger reserves it; all gateways together stay within the quota.

A request is granted while the bucket is not empty, even if it costs more than is left.
Large prompts are therefore not passed over in favor of small ones; the bucket has to
refill before the next request.  A refused caller is given a retry slot: the time at
which the bucket will have enough for its request, after the slots given before.  The
amount is reserved for its retry.  This module does no I/O.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from gooseberrydale.version.quotas.messages import Level, QuotaAsk, Spent
from gooseberrydale.version.quotas.quota import Quota

LOW_FRACTION = 0.5
"""Fraction of the burst below which gateways must ask before they spend.  Enough is
left for what they spend until they are notified."""

NOT_LOW_FRACTION = 0.75
"""Fraction of the burst at which the quota is no longer low."""

SHORT_FRACTION = 0.05
"""Fraction of the burst below which requests are about to be refused.  Gateways then
report continuously, which reveals the ones that can't reach the owner."""

NOT_SHORT_FRACTION = 0.4
"""Fraction of the burst at which the quota is no longer short."""

RECENT_S = 4.0
"""Time constant with which recent spending decays; a gateway's share of the rate is its
fraction of recent spending."""

STALE_S = 2.0
"""Time without a report after which a gateway's spending was granted by another owner
or paid from its reserved share.  It may empty the bucket, but leaves no debt."""

SILENT_S = 1.0
"""Time without a report after which a gateway counts as silent while the quota is
short; gateways then report three times within this time.  A silent gateway has ended,
or can't reach the owner and may go on spending its share."""

RESERVATION_S = 20.0
"""Time without a report after which nothing is reserved for a gateway any more, as its
lease has expired."""

SILENCE_CHECK_INTERVAL_S = 0.25

SLOT_GRACE_S = 0.5
"""Time after the start of a retry slot for which it remains reserved."""

EARLY_RETRY_S = 0.1
"""How long before its retry slot a retry is accepted.  An earlier one is refused and
keeps its slot."""

SLOT_USE_SMOOTHING = 0.05
"""Weight of the newest retry slot in the fraction of slots that callers use."""

OVERDRAFT_FRACTION = 0.2
"""Fraction of the burst that small requests and callers in their retry slot may
overdraw.  A large prompt granted before a slot may have taken more than was left."""

SMALL_REQUEST_FRACTION = 0.01
"""Fraction of the burst up to which a request is small.  Dozens of them would have to
be refused to save the cost of one prompt."""

RECENTLY_STARTED_S = 3.0
"""Time for which a ledger created soon after the start of its process may hold less
than was really left."""

RANK_RESERVE_FRACTION = 0.03
"""Fraction of the burst that each rank leaves to the rank before it."""

LAST_RANK = 3
"""Higher ranks are treated like this one."""

MAX_VERDICTS = 16
"""Verdicts that are remembered for each gateway, to answer repeated asks."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request is granted; if not, ``after_s`` is the time until its retry
    slot."""

    granted: bool
    after_s: float = 0.0


@dataclass(slots=True)
class _Reporter:
    """Latest report of one gateway, and its reserved share.

    ``share`` is the fraction of the rate that is reserved for the gateway since
    ``silent_since``, while it is silent.
    """

    incarnation: str
    seq: int
    spent: int
    recent: float
    at: float
    share: float = 0.0
    silent_since: float | None = None
    verdicts: dict[int, Verdict] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _RetrySlot:
    """The time ``due`` at which a refused caller may retry a request of ``cost``."""

    due: float
    cost: int


class Ledger:
    """One workspace's token bucket; times are seconds of the event loop's clock.

    ``left`` is what the bucket holds at first.  ``recently_started`` is True if that is
    less than the whole burst because the process has recently started, and the spending
    before its start is unknown.
    """

    def __init__(
        self, quota: Quota, left: float, now: float, *, recently_started: bool = False
    ) -> None:
        self._quota = quota
        self._recently_started_until = (
            now + RECENTLY_STARTED_S if recently_started else now
        )
        self._left = min(left, quota.capacity)
        self._at = now
        self._reporters: dict[str, _Reporter] = {}
        # By request id, in the order in which the slots were given.
        self._slots: dict[bytes, _RetrySlot] = {}
        self._reserved_cost = 0
        self._slot_use_fraction = 1.0
        self._short_since = -math.inf
        self._checked_at = -math.inf
        # Start of the current series of asks; before it another owner may have decided.
        self._asked_since = self._asked_at = -math.inf
        self._reserved_fraction = 0.0
        # Recent spending of all active gateways, recomputed at each silence check.
        self._recent = 0.0
        self.low = False
        self.short = False
        self.used_at = now
        self._note_low()

    @property
    def free(self) -> float:
        """What is left after the expected cost of the reserved retry slots."""
        return self._left - self._reserved_cost * self._slot_use_fraction

    def declare(self, quota: Quota, now: float) -> None:
        """Apply the quota in force."""
        if quota != self._quota:
            self.advance(now)
            self._quota = quota
            self._left = min(self._left, quota.capacity)
            self._note_low()

    def advance(self, now: float) -> None:
        """Fill the bucket up to ``now``."""
        if now >= self._checked_at + SILENCE_CHECK_INTERVAL_S:
            self._reserve_for_silent(now)
        filled = max(0.0, now - self._at) * self._available_per_s
        self._left = min(self._quota.capacity, self._left + filled)
        self._at = now
        while self._slots:
            request, slot = next(iter(self._slots.items()))
            if now <= slot.due + SLOT_GRACE_S:
                break
            self._release_slot(request, used=False)

    def report(
        self, gateway: str, incarnation: str, seq: int, item: Spent, now: float
    ) -> bool:
        """Merge a gateway's report; return True if the quota became low or short."""
        self.advance(now)
        self._settle(gateway, incarnation, seq, item, now)
        return self._note_low()

    def ask(self, ask: QuotaAsk, now: float) -> Verdict:
        """Decide on a request; a repeated ask gets the same verdict."""
        if now > self._asked_at + SILENT_S:
            self._asked_since = now
        self._asked_at = now
        self.advance(now)
        self._settle(ask.gateway, ask.incarnation, ask.seq, ask.spent, now)
        asker = self._reporters[ask.gateway]
        verdict = asker.verdicts.get(ask.seq)
        if verdict is None:
            verdict = self._decide(ask, now)
            if verdict.granted:
                self._spend(asker, ask.cost)
            asker.verdicts[ask.seq] = verdict
            if len(asker.verdicts) > MAX_VERDICTS:
                del asker.verdicts[next(iter(asker.verdicts))]
        self._note_low()
        return verdict

    def level(self, gateway: str, workspace: str) -> Level:
        """Return the level to send to ``gateway``."""
        reporter = self._reporters.get(gateway)
        spent = 0 if reporter is None else reporter.spent
        share = 0.0 if reporter is None else self._share(reporter)
        return Level(workspace, self.free, self.low, self.short, share, spent)

    def gateways_without_report(self, now: float, for_s: float) -> list[str]:
        """Return the active gateways that have not reported for ``for_s``."""
        return [
            name
            for name, reporter in self._reporters.items()
            if self._is_active(reporter) and reporter.at <= now - for_s
        ]

    def _decide(self, ask: QuotaAsk, now: float) -> Verdict:
        floor = self._floor(ask.rank)
        slot = self._slots.get(ask.request)
        if slot is not None and now < slot.due - EARLY_RETRY_S:
            return Verdict(False, slot.due - now)
        if slot is not None:
            self._release_slot(ask.request, used=True)
        overdraft = OVERDRAFT_FRACTION * self._quota.capacity
        if (
            slot is not None
            or ask.cost <= SMALL_REQUEST_FRACTION * self._quota.capacity
        ):
            granted = self._left > floor - overdraft
        else:
            granted = self.free > floor
        if granted:
            return Verdict(True)
        after_s = self._time_until(floor + self._left - self.free)
        if (
            ask.request
            and after_s <= ask.patience_s
            and not self.is_recently_started(now)
        ):
            self._slots[ask.request] = _RetrySlot(now + after_s, ask.cost)
            self._reserved_cost += ask.cost
        return Verdict(False, after_s)

    def is_recently_started(self, now: float) -> bool:
        """Return whether the counts may be incomplete after a start."""
        return now < self._recently_started_until

    def _release_slot(self, request: bytes, *, used: bool) -> None:
        """Release a retry slot that its caller has used or missed."""
        self._reserved_cost -= self._slots.pop(request).cost
        self._slot_use_fraction += SLOT_USE_SMOOTHING * (
            float(used) - self._slot_use_fraction
        )

    def _floor(self, rank: int) -> float:
        """Return what must be left for a request of ``rank`` to be granted.

        Below 0 for the first rank: reports that are still under way must not cause the
        refusal of requests within the quota.
        """
        return (min(rank, LAST_RANK) - 1) * RANK_RESERVE_FRACTION * self._quota.capacity

    def _time_until(self, wanted: float) -> float:
        """Return the seconds until the bucket holds ``wanted``."""
        if self._available_per_s <= 0.0:
            return RESERVATION_S
        return max(0.0, (wanted - self._left) / self._available_per_s)

    def _settle(
        self, gateway: str, incarnation: str, seq: int, item: Spent, now: float
    ) -> None:
        """Deduct what a gateway has spent since its last message from the bucket."""
        reporter = self._reporters.get(gateway)
        if reporter is None or reporter.incarnation != incarnation:
            if reporter is not None:
                self._end_reservation(reporter, now)
            self._reporters[gateway] = _Reporter(
                incarnation, seq, item.spent, float(item.recent), now
            )
            self._recent += item.recent
            self._deduct_without_debt(item.recent)
        elif seq > reporter.seq:
            spent = item.spent - reporter.spent
            if reporter.at < now - STALE_S:
                self._deduct_without_debt(spent - self._end_reservation(reporter, now))
            else:
                self._end_reservation(reporter, now)
                self._left = min(self._quota.capacity, self._left - spent)
            decayed = reporter.recent * math.exp(
                -max(0.0, now - reporter.at) / RECENT_S
            )
            self._recent += decayed + max(0, spent) - reporter.recent
            reporter.recent = decayed + max(0, spent)
            reporter.spent, reporter.seq, reporter.at = item.spent, seq, now
        self.used_at = now

    def _deduct_without_debt(self, spent: float) -> None:
        if spent < 0.0:
            self._left = min(self._quota.capacity, self._left - spent)
        else:
            self._left = max(min(0.0, self._left), self._left - spent)

    def _spend(self, asker: _Reporter, cost: int) -> None:
        self._left -= cost
        asker.spent += cost
        asker.recent += cost
        self._recent += cost

    @property
    def _available_per_s(self) -> float:
        """The rate that is not reserved for silent gateways."""
        return self._quota.per_s * max(0.0, 1.0 - self._reserved_fraction)

    def _is_active(self, reporter: _Reporter) -> bool:
        """Return whether a gateway reported recently, or before the quota was short."""
        since = self._short_since if self.short else self._at
        return reporter.at >= since - 2 * RECENT_S

    def _share(self, reporter: _Reporter) -> float:
        return min(1.0, reporter.recent / self._recent) if self._recent > 0.0 else 0.0

    def _end_reservation(self, reporter: _Reporter, now: float) -> float:
        """End the reservation for a gateway; return the amount reserved so far."""
        if reporter.silent_since is None:
            return 0.0
        reserved = (now - reporter.silent_since) * reporter.share * self._quota.per_s
        self._reserved_fraction -= reporter.share
        reporter.share, reporter.silent_since = 0.0, None
        return reserved

    def _note_low(self) -> bool:
        """Update ``low`` and ``short``; return True if either has become true."""
        fraction, before = self.free / self._quota.capacity, (self.low, self.short)
        self.low = fraction < (NOT_LOW_FRACTION if self.low else LOW_FRACTION)
        self.short = fraction < (NOT_SHORT_FRACTION if self.short else SHORT_FRACTION)
        if self.short and not before[1]:
            self._short_since = self._at
        return (self.low, self.short) > before

    def _reserve_for_silent(self, now: float) -> None:
        """Reserve the share of the rate of gateways that stopped reporting."""
        self._checked_at = now
        for name, reporter in list(self._reporters.items()):
            if reporter.at < now - RESERVATION_S:
                self._end_reservation(reporter, now)
                del self._reporters[name]
        active = filter(self._is_active, self._reporters.values())
        self._recent = sum(reporter.recent for reporter in active)
        reports_expected_since = max(self._short_since, self._asked_since)
        if not self.short or now < reports_expected_since + SILENT_S:
            return
        for name in self.gateways_without_report(now, SILENT_S):
            reporter = self._reporters[name]
            if reporter.silent_since is None:
                reporter.share, reporter.silent_since = self._share(reporter), now
                self._reserved_fraction += reporter.share
