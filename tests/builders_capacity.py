"""Builders of data about requests that compete for capacity."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gooseberrydale.process.capacity_levels import (
    NeutralCapacityLevels,
    ReservationCounts,
)


@dataclass(frozen=True)
class SampleLevels(NeutralCapacityLevels):
    """Levels of a gateway at which requests wait for capacity."""

    factors: Mapping[str, float] = field(default_factory=lambda: {"u1": 0.55})

    def waiting(self) -> Mapping[int, int]:
        return {0: 2, 2: 7}

    def speed_factors(self) -> Mapping[str, float]:
        return self.factors

    def limits(self) -> Mapping[str, float]:
        return {"engines": 1.25}

    def workspaces_over(self) -> Mapping[str, int]:
        return {"engines": 1}

    def reservations(self) -> ReservationCounts:
        return ReservationCounts(asked=9, granted=6, refused=2, unanswered=1)
