"""Speeds that are to be reported, within a bound on bytes per second.  No I/O."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence

from gooseberrydale.version.speeds.messages import (
    LIST_BYTES,
    MAX_ENTRIES,
    RATIOS_BYTES,
    RATIOS_PER_ENTRY,
    STATED_BYTES,
    VERSION_BYTES,
    PoolReport,
    Ratios,
    SpeedReport,
    Statement,
    encode_report,
)

FACTOR_INTERVAL_S = 1.0
"""Interval between two reports of ratios: factors change slowly."""

MAX_STATEMENT_AGE_S = 0.5
"""Age from which on a statement is not reported any more: a newer one has come by then
from a busy upstream."""

STATED_FRACTION = 0.5
"""Part of the bytes that is for statements; the rest is for ratios and rates.  Stated
slowness is of use only while it is new."""

HEADER_BYTES = 9 + VERSION_BYTES + LIST_BYTES
"""Bytes of a report beside its entries, with the name of the extra and its length."""

MIN_RATIO_ENTRIES = 6
"""Entries of ratios, if there are as many, that a report waits for.  With one entry for
each header, half as many would fit where each gateway may send few bytes."""

MIN_BURST_BYTES = 64.0
BURST_S = 1.0
"""Most bytes that are saved up: those of a second, at least those of a few entries."""


class _Allowance:
    """Bytes that may be sent now; they grow at a rate that may change."""

    def __init__(self) -> None:
        self._bytes = MIN_BURST_BYTES
        self._at = -math.inf

    def entries(self, per_s: float, size: int, now: float) -> int:
        """Return how many entries of ``size`` bytes a report may contain."""
        if self._at > -math.inf:
            self._bytes += per_s * (now - self._at)
        self._at = now
        self._bytes = min(self._bytes, max(MIN_BURST_BYTES, per_s * BURST_S))
        return min(MAX_ENTRIES, max(0, int((self._bytes - HEADER_BYTES) // size)))

    def spend(self, size: int) -> None:
        """Subtract what was sent; may exceed what is left, which delays the next."""
        self._bytes -= size


class Outbox:
    """Collects news for one kind of receivers; ``per_s`` returns bytes per second."""

    def __init__(self, per_s: Callable[[], float]) -> None:
        self._per_s = per_s
        # By key: the statement, and how much it changes what receivers assume.
        self._stated: dict[int, tuple[Statement, float]] = {}
        self._ratios: dict[int, deque[float]] = {}
        self._ratios_due_at = -math.inf
        self._stated_allowance = _Allowance()
        self._ratio_allowance = _Allowance()

    def add_statement(self, statement: Statement, change: float) -> None:
        """Report a statement; ``change`` is the difference it makes, as a logarithm."""
        known = self._stated.get(statement.key)
        if known is not None:
            change = max(change, known[1])
        self._stated[statement.key] = statement, change

    def add_ratios(self, key: int, values: Sequence[float]) -> None:
        """Report ratios with the next ones."""
        known = self._ratios.get(key)
        if known is None:
            known = self._ratios[key] = deque(maxlen=RATIOS_PER_ENTRY)
        known.extend(values)

    def forget(self, key: int) -> None:
        """Drop what is to be reported of an upstream."""
        self._stated.pop(key, None)
        self._ratios.pop(key, None)

    def take(self, now: float, pools: Sequence[PoolReport] = ()) -> bytes:
        """Return the next report, empty if there is nothing to report."""
        if not self._stated and not self._ratios and not pools:
            return b""
        stated = self._take_stated(now)
        ratios: list[Ratios] = []
        if now >= self._ratios_due_at and self._ratios:
            ratios = self._take_ratios(now)
            if ratios:
                self._ratios_due_at = now + FACTOR_INTERVAL_S
        data = encode_report(SpeedReport(stated, ratios, pools), now)
        stated_bytes = HEADER_BYTES + STATED_BYTES * len(stated) if stated else 0
        self._stated_allowance.spend(stated_bytes)
        if ratios or pools:
            self._ratio_allowance.spend(HEADER_BYTES + len(data) - stated_bytes)
        return data

    def _take_stated(self, now: float) -> list[Statement]:
        if not self._stated:
            return []
        for key, (statement, _) in list(self._stated.items()):
            if statement.at < now - MAX_STATEMENT_AGE_S:
                del self._stated[key]
        per_s = self._per_s() * STATED_FRACTION
        count = self._stated_allowance.entries(per_s, STATED_BYTES, now)
        chosen = sorted(self._stated.values(), key=lambda known: -known[1])[:count]
        for statement, _ in chosen:
            del self._stated[statement.key]
        return [statement for statement, _ in chosen]

    def _take_ratios(self, now: float) -> list[Ratios]:
        """Return the ratios of the upstreams with most of them, if enough fit.

        Those of the others stay; new ones replace their oldest.
        """
        per_s = self._per_s() * (1.0 - STATED_FRACTION)
        count = self._ratio_allowance.entries(per_s, RATIOS_BYTES, now)
        if count < min(MIN_RATIO_ENTRIES, len(self._ratios)):
            return []
        keys = sorted(self._ratios, key=lambda key: -len(self._ratios[key]))[:count]
        return [Ratios(key, tuple(self._ratios.pop(key))) for key in keys]
