"""Logs to which pools capacity sharing applies, and which speeds are learned."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from gooseberrydale.log_events import emit
from gooseberrydale.log_events.capacity import (
    CapacitySharingChanged,
    UpstreamSpeedChanged,
)
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds


class CapacityLog:
    """Compares the present state with what was logged; there is one per process.

    ``pools`` returns the names of the declared pools.
    """

    def __init__(
        self,
        sharing: CapacitySharing,
        speeds: UpstreamSpeeds,
        pools: Callable[[], Iterable[str]],
    ) -> None:
        self._sharing = sharing
        self._speeds = speeds
        self._pools = pools
        self._applying: set[str] = set()
        self._weights: dict[tuple[str, str], float] = {}

    def check(self) -> None:
        """Log what has changed since the last check."""
        pools = set(self._pools())
        applying = {pool for pool in pools if self._sharing.applies(pool)}
        for pool in sorted(applying ^ self._applying):
            applies = pool in applying
            parts = self._sharing.parts(pool) if applies else []
            emit(CapacitySharingChanged(pool, applies, self._sharing.reason, parts))
        self._applying = applying
        weights = {
            (pool, name): weight
            for pool in applying
            for name, weight in self._speeds.weights(pool).items()
        }
        for pool, name in sorted(weights.keys() | self._weights.keys()):
            before = self._weights.get((pool, name), 1.0)
            weight = weights.get((pool, name), 1.0)
            if weight != before:
                samples = self._speeds.samples(pool, name)
                emit(UpstreamSpeedChanged(pool, name, weight, before, samples))
        self._weights = weights
