"""Decides when a request with quarantined parts may run after all.

Parts may be quarantined by mistake, when several upstreams were lost at once, and no
answer can clear them while nothing with them is sent.  So from time to time one gateway
sends one such request.  If that ends its upstream too, the next trial is twice as far
off; if its answer begins, that clears the parts.  This module does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from gooseberrydale.version.ended_parts import HarmfulParts
from gooseberrydale.version.gateway_peers import Fleet
from gooseberrydale.version.stores import first_by_hash

FIRST_TRIAL_S = 60.0
"""Time after the last end that quarantined parts until the first trial."""


class PartTrials:
    """The trials of one gateway; times are seconds of the event loop's clock.

    All gateways of ``fleet`` choose the same one for each trial; it changes each time,
    as the chosen one may get no such request.
    """

    def __init__(self, fleet: Callable[[], Fleet], quarantine_after: int) -> None:
        self._fleet = fleet
        self._quarantine_after = quarantine_after
        self._granted_at: dict[frozenset[bytes], float] = {}

    def grant(self, harmful: HarmfulParts, last_end_at: float, now: float) -> bool:
        """Return whether this gateway may send one request with ``harmful`` now."""
        failed = max(0, len(harmful.ended) - self._quarantine_after)
        interval_s = FIRST_TRIAL_S * 2.0**failed
        turn = int((now - last_end_at) / interval_s)
        if turn < 1 or not self._is_chosen(harmful, turn):
            return False
        granted_at = self._granted_at.get(harmful.parts, -math.inf)
        if now < granted_at + interval_s:
            return False
        self._granted_at[harmful.parts] = now
        return True

    def retain(self, harmful: tuple[HarmfulParts, ...]) -> None:
        """Drop what is known of parts that are not in quarantine any more."""
        for parts in self._granted_at.keys() - {group.parts for group in harmful}:
            del self._granted_at[parts]

    def _is_chosen(self, harmful: HarmfulParts, turn: int) -> bool:
        fleet = self._fleet()
        names = [fleet.own.name, *(peer.name for peer in fleet.others)]
        key = b"".join(sorted(harmful.parts)).hex()
        order = first_by_hash(names, key)
        return order[turn % len(order)] == fleet.own.name
