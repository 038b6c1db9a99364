"""Logs where capacity is shared, which speeds are learned, who is over its share."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from gooseberrydale.log_events import emit
from gooseberrydale.log_events.capacity import (
    CapacitySharingChanged,
    UpstreamSpeedChanged,
    WorkspaceShareCrossed,
)
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.request.waiting.shares import WorkspaceShares
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds

MS_PER_S = 1_000.0


class CapacityLog:
    """Compares the present state with what was logged; there is one per process.

    ``pools`` returns the names of the declared pools.
    """

    def __init__(
        self,
        sharing: CapacitySharing,
        speeds: UpstreamSpeeds,
        shares: WorkspaceShares,
        pools: Callable[[], Iterable[str]],
    ) -> None:
        self._sharing = sharing
        self._speeds = speeds
        self._shares = shares
        self._pools = pools
        self._applying: set[str] = set()
        self._weights: dict[tuple[str, str], float] = {}
        # By pool: the workspaces that were logged as over their share.
        self._over: dict[str, set[str]] = {}

    def check(self, now: float) -> None:
        """Log what has changed since the last check."""
        pools = set(self._pools())
        applying = {pool for pool in pools if self._sharing.applies(pool)}
        for pool in sorted(applying ^ self._applying):
            applies = pool in applying
            parts = self._sharing.parts(pool) if applies else []
            emit(CapacitySharingChanged(pool, applies, self._sharing.reason, parts))
        self._applying = applying
        self._check_speeds()
        for pool in sorted(applying | self._over.keys()):
            self._check_shares(pool, now)

    def _check_speeds(self) -> None:
        weights = {
            (pool, name): weight
            for pool in self._applying
            for name, weight in self._speeds.weights(pool).items()
        }
        for pool, name in sorted(weights.keys() | self._weights.keys()):
            before = self._weights.get((pool, name), 1.0)
            weight = weights.get((pool, name), 1.0)
            if weight != before:
                samples = self._speeds.samples(pool, name)
                emit(UpstreamSpeedChanged(pool, name, weight, before, samples))
        self._weights = weights

    def _check_shares(self, pool: str, now: float) -> None:
        before = self._over.pop(pool, set())
        if not before and not self._shares.overs(pool, now):
            return
        names = before | self._shares.workspaces(pool, now)
        uses = self._shares.uses(pool, sorted(names), now)
        age_ms = MS_PER_S * self._shares.report_age_s(pool, now)
        over = {name for name, use in uses.items() if use.over}
        for name in sorted(over ^ before):
            use = uses[name]
            share = use.share_per_s if math.isfinite(use.share_per_s) else 0.0
            emit(
                WorkspaceShareCrossed(
                    pool,
                    name,
                    use.over,
                    round(use.sent_per_s, 1),
                    round(share, 1),
                    round(age_ms, 1),
                )
            )
        if over:
            self._over[pool] = over
