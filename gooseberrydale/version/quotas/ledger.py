"""Counts what all gateways spend for one workspace, at the owner of its quota.  Pure.

It answers the load of a workspace that sends more than its quota through many gateways
at once.  A token bucket bounds what any window can hold, wherever it begins; gateways
that are out of touch keep the part of the rate which they had, so that they and the
rest stay within the quota together.

A request is granted while anything is left and may take more than that: large prompts
are not passed over for small ones, and the bucket has to fill up again before the next.
Who is refused gets the time at which the bucket holds its turn, behind those who were
refused before it; that turn is kept for its return.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from gooseberrydale.version.quotas.messages import Level, QuotaAsk, Spent
from gooseberrydale.version.quotas.quota import Quota

LOW_PART = 0.5
"""Below this part of the burst gateways ask before they spend: enough is left for what
they spend until they have heard of it."""

HIGH_PART = 0.75

SHORT_PART = 0.05
"""Below this part of the burst requests are about to be refused, and gateways report
all the time, so that one that is out of touch is noticed."""

ENOUGH_PART = 0.4

RECENT_S = 4.0
"""Time constant of what was spent recently, from which shares follow."""

STALE_S = 2.0
"""What a gateway spent that was not heard for so long was granted by another owner or
was reserved for it: it empties the bucket but leaves no debt."""

SILENT_S = 1.0
"""While a quota is short gateways report three times in this time; one that doesn't is
out of touch or has ended, and may go on with its share."""

RESERVE_S = 20.0
"""Nothing is reserved for a gateway that was silent for so long: its lease ended."""

LOOK_S = 0.25

PROMISE_KEPT_S = 0.5
"""A turn is kept for a caller this long after the time it was given."""

EARLY_S = 0.1
"""A caller that returns sooner than that before its turn is given the same one."""

KEPT_SMOOTHING = 0.05
"""Weight of the newest turn in the part of them that callers return for."""

ADVANCE_PART = 0.2
"""Part of the burst that may be taken in advance by a caller which returns at its turn,
as a large prompt before it may have taken more than was left, and by small requests."""

SMALL_PART = 0.01
"""A request that counts up to this part of the burst is small: refusing dozens of them
would make room for one prompt."""

YOUNG_S = 3.0
"""A ledger that began after a start holds less than is due for about that long."""

URGENCY_PART = 0.03
"""Part of the burst that each rank leaves to the ones before it."""

LAST_RANK = 3

KEPT_VERDICTS = 16


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request is granted; if not, ``after_s`` is when its turn comes."""

    granted: bool
    after_s: float = 0.0


@dataclass(slots=True)
class _Reporter:
    """One gateway, as its owner knows it."""

    incarnation: str
    seq: int
    spent: int
    recent: float
    at: float
    # The part of the rate that is kept for it while it is silent, and since when.
    share: float = 0.0
    silent_since: float | None = None
    verdicts: dict[int, Verdict] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Promise:
    """A turn that was given to a caller."""

    due: float
    cost: int


class Ledger:
    """One workspace's bucket; times are seconds of the loop.

    ``left`` is what the bucket holds at the start: all that may have been filled since
    nobody spent anything.  ``young`` says that this is less than the whole burst, since
    what was spent before is not known.
    """

    def __init__(
        self, quota: Quota, left: float, now: float, *, young: bool = False
    ) -> None:
        self._quota = quota
        self._young_until = now + YOUNG_S if young else now
        self._left = min(left, quota.capacity)
        self._at = now
        self._reporters: dict[str, _Reporter] = {}
        # By what names the request, in the order in which they were given.
        self._promises: dict[bytes, _Promise] = {}
        self._promised = 0
        self._kept = 1.0
        self._short_since = -math.inf
        self._looked_at = -math.inf
        # Since when this owner is asked all the time: another one may have been before.
        self._asked_since = self._asked_at = -math.inf
        self._kept_part = 0.0
        # What all that take part have spent recently, summed anew at each look.
        self._recent = 0.0
        self.low = False
        self.short = False
        self.used_at = now
        self._note_low()

    @property
    def free(self) -> float:
        """What is left beside the turns of callers that will likely return."""
        return self._left - self._promised * self._kept

    def declare(self, quota: Quota, now: float) -> None:
        """Another quota is in force."""
        if quota != self._quota:
            self.advance(now)
            self._quota = quota
            self._left = min(self._left, quota.capacity)
            self._note_low()

    def advance(self, now: float) -> None:
        """Fill the bucket up to ``now``."""
        if now >= self._looked_at + LOOK_S:
            self._look_for_silent(now)
        filled = max(0.0, now - self._at) * self._open_per_s
        self._left = min(self._quota.capacity, self._left + filled)
        self._at = now
        while self._promises:
            request, promise = next(iter(self._promises.items()))
            if now <= promise.due + PROMISE_KEPT_S:
                break
            self._end_promise(request, kept=False)

    def report(
        self, gateway: str, incarnation: str, seq: int, item: Spent, now: float
    ) -> bool:
        """Take in what a gateway has spent; True if it has become low or short."""
        self.advance(now)
        self._settle(gateway, incarnation, seq, item, now)
        return self._note_low()

    def ask(self, ask: QuotaAsk, now: float) -> Verdict:
        """Decide whether a request may be sent; the same again for the same ask."""
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
            if len(asker.verdicts) > KEPT_VERDICTS:
                del asker.verdicts[next(iter(asker.verdicts))]
        self._note_low()
        return verdict

    def level(self, gateway: str, workspace: str) -> Level:
        """The quota as ``gateway`` gets it."""
        one = self._reporters.get(gateway)
        spent = 0 if one is None else one.spent
        share = 0.0 if one is None else self._share(one)
        return Level(workspace, self.free, self.low, self.short, share, spent)

    def unheard(self, now: float, for_s: float) -> list[str]:
        """Gateways that take part and have said nothing for ``for_s``."""
        return [
            name
            for name, one in self._reporters.items()
            if self._takes_part(one) and one.at <= now - for_s
        ]

    def _decide(self, ask: QuotaAsk, now: float) -> Verdict:
        floor = self._floor(ask.rank)
        promise = self._promises.get(ask.request)
        if promise is not None and now < promise.due - EARLY_S:
            return Verdict(False, promise.due - now)
        if promise is not None:
            self._end_promise(ask.request, kept=True)
        advance = ADVANCE_PART * self._quota.capacity
        if promise is not None or ask.cost <= SMALL_PART * self._quota.capacity:
            granted = self._left > floor - advance
        else:
            granted = self.free > floor
        if granted:
            return Verdict(True)
        after_s = self._time_until(floor + self._left - self.free)
        if ask.request and after_s <= ask.patience_s and not self.is_young(now):
            self._promises[ask.request] = _Promise(now + after_s, ask.cost)
            self._promised += ask.cost
        return Verdict(False, after_s)

    def is_young(self, now: float) -> bool:
        """Whether another owner may know more of what was spent."""
        return now < self._young_until

    def _end_promise(self, request: bytes, *, kept: bool) -> None:
        """A caller has returned for its turn, or it didn't."""
        self._promised -= self._promises.pop(request).cost
        self._kept += KEPT_SMOOTHING * (float(kept) - self._kept)

    def _floor(self, rank: int) -> float:
        """What must be left for a request of ``rank`` to be granted.

        Below 0 for the first rank: what is not heard yet must not refuse what is due.
        """
        return (min(rank, LAST_RANK) - 1) * URGENCY_PART * self._quota.capacity

    def _time_until(self, wanted: float) -> float:
        """Seconds until the bucket holds ``wanted``."""
        if self._open_per_s <= 0.0:
            return RESERVE_S
        return max(0.0, (wanted - self._left) / self._open_per_s)

    def _settle(
        self, gateway: str, incarnation: str, seq: int, item: Spent, now: float
    ) -> None:
        """Take what a gateway has spent since its last message from the bucket."""
        one = self._reporters.get(gateway)
        if one is None or one.incarnation != incarnation:
            if one is not None:
                self._end_silence(one, now)
            self._reporters[gateway] = _Reporter(
                incarnation, seq, item.spent, float(item.recent), now
            )
            self._recent += item.recent
            self._take_without_debt(item.recent)
        elif seq > one.seq:
            spent = item.spent - one.spent
            if one.at < now - STALE_S:
                self._take_without_debt(spent - self._end_silence(one, now))
            else:
                self._end_silence(one, now)
                self._left = min(self._quota.capacity, self._left - spent)
            faded = one.recent * math.exp(-max(0.0, now - one.at) / RECENT_S)
            self._recent += faded + max(0, spent) - one.recent
            one.recent = faded + max(0, spent)
            one.spent, one.seq, one.at = item.spent, seq, now
        self.used_at = now

    def _take_without_debt(self, spent: float) -> None:
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
    def _open_per_s(self) -> float:
        """The rate that is not kept for silent gateways."""
        return self._quota.per_s * max(0.0, 1.0 - self._kept_part)

    def _takes_part(self, one: _Reporter) -> bool:
        """Whether a gateway spent something of late, or before the quota was short."""
        since = self._short_since if self.short else self._at
        return one.at >= since - 2 * RECENT_S

    def _share(self, one: _Reporter) -> float:
        return min(1.0, one.recent / self._recent) if self._recent > 0.0 else 0.0

    def _end_silence(self, one: _Reporter, now: float) -> float:
        """What was kept for a gateway that is heard again."""
        if one.silent_since is None:
            return 0.0
        kept = (now - one.silent_since) * one.share * self._quota.per_s
        self._kept_part -= one.share
        one.share, one.silent_since = 0.0, None
        return kept

    def _note_low(self) -> bool:
        """Note whether little is left; True if that has just come about."""
        part, before = self.free / self._quota.capacity, (self.low, self.short)
        self.low = part < (HIGH_PART if self.low else LOW_PART)
        self.short = part < (ENOUGH_PART if self.short else SHORT_PART)
        if self.short and not before[1]:
            self._short_since = self._at
        return (self.low, self.short) > before

    def _look_for_silent(self, now: float) -> None:
        """Keep their part of the rate for gateways that stopped to report."""
        self._looked_at = now
        for name, one in list(self._reporters.items()):
            if one.at < now - RESERVE_S:
                self._end_silence(one, now)
                del self._reporters[name]
        taking_part = filter(self._takes_part, self._reporters.values())
        self._recent = sum(one.recent for one in taking_part)
        known_since = max(self._short_since, self._asked_since)
        if not self.short or now < known_since + SILENT_S:
            return
        for name in self.unheard(now, SILENT_S):
            one = self._reporters[name]
            if one.silent_since is None:
                one.share, one.silent_since = self._share(one), now
                self._kept_part += one.share
