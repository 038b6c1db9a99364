"""Grants sends to one upstream, at the upstream's owner.

The owner counts the work that gateways report and what it granted lately, which may not
be in reports yet.  Grants expire, so one whose answer was lost, or whose gateway ended,
does no lasting harm.  A grant counts twice from the report that shows its request until
it expires.  No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from gooseberrydale.request.capacity_ports import Need
from gooseberrydale.version.capacity.room import Amount, Room, amount_of

GRANT_TTL_S = 0.25
"""Time for which a grant counts.  A report of the request arrives within 45 ms from the
same zone and 150 ms from another one; the rest is for a lost report."""

MIN_AFTER_S = 0.01
MAX_AFTER_S = 0.03
"""Bounds of the time after which a refused gateway may ask again for the same upstream.
Reports of ended requests arrive at such intervals."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a send is granted; if not, when to ask again."""

    granted: bool
    after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Grant:
    rank: int
    amount: Amount
    until: float


class Ledger:
    """The grants of one upstream; times are seconds of the event loop's clock."""

    def __init__(self) -> None:
        # By asker and number of the ask, in the order of their expiry.
        self._grants: dict[tuple[str, int], _Grant] = {}

    def ask(self, asker: str, seq: int, need: Need, room: Room, now: float) -> Verdict:
        """Decide on a send; a repeated ask that was granted is granted once.

        ``room`` is the upstream as this gateway sees it for the rank of ``need``.
        """
        self._expire(now)
        if (asker, seq) in self._grants:
            return Verdict(True)
        amount = amount_of(need)
        if not room.fits(amount, self.reserved(need.rank, now)):
            return Verdict(False, self._after_s(now))
        self.record(asker, seq, need, now)
        return Verdict(True)

    def record(self, asker: str, seq: int, need: Need, now: float) -> None:
        """Record a grant of this or the other owner."""
        until = now + GRANT_TTL_S
        self._grants[asker, seq] = _Grant(need.rank, amount_of(need), until)

    def reserved(self, rank: int, now: float) -> Amount:
        """Return what is granted to ``rank`` and more urgent ones.

        Unshared tokens are those of all ranks.
        """
        self._expire(now)
        total = Amount()
        for grant in self._grants.values():
            if grant.rank <= rank:
                total = total.plus(grant.amount)
            else:
                unshared = grant.amount.unshared_tokens
                total = total.plus(Amount(unshared_tokens=unshared))
        return total

    def is_empty(self, now: float) -> bool:
        """Return whether all grants have expired."""
        self._expire(now)
        return not self._grants

    def _after_s(self, now: float) -> float:
        """Return when the first grant expires, within bounds."""
        grant = next(iter(self._grants.values()), None)
        expiry_s = MAX_AFTER_S if grant is None else grant.until - now
        return min(MAX_AFTER_S, max(MIN_AFTER_S, expiry_s))

    def _expire(self, now: float) -> None:
        while self._grants:
            key, grant = next(iter(self._grants.items()))
            if grant.until > now:
                return
            del self._grants[key]
