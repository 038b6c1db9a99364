"""Current values of capacity sharing, as a scrape of the metrics reads them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

MAX_UPSTREAM_SERIES = 200
"""Maximum number of series with an upstream as label; further upstreams share one."""

OTHER_UPSTREAMS = "#others"


@dataclass(frozen=True, slots=True)
class ReservationCounts:
    """Reservations since the start of the process; none of the counts decreases.

    ``unanswered`` are those without an answer in time, where an equal part applied.
    """

    asked: int = 0
    granted: int = 0
    refused: int = 0
    unanswered: int = 0


class CapacityLevels(Protocol):
    """The values of one gateway; a mapping has no entry where nothing applies."""

    def waiting(self) -> Mapping[int, int]:
        """Return how many requests wait at this gateway, by rank."""

    def speed_factors(self) -> Mapping[str, float]:
        """Return the learned speed relative to the pool's mean, by upstream."""

    def limits(self) -> Mapping[str, float]:
        """Return the learned fraction of declared capacity that is used, by pool."""

    def workspaces_over(self) -> Mapping[str, int]:
        """Return how many workspaces are over their share, by pool."""

    def reservations(self) -> ReservationCounts:
        """Return the counts of reservations at other gateways and at this one."""


class NeutralCapacityLevels:
    """The values while capacity sharing applies to no pool."""

    def waiting(self) -> Mapping[int, int]:
        """Return no ranks."""
        return {}

    def speed_factors(self) -> Mapping[str, float]:
        """Return no upstreams."""
        return {}

    def limits(self) -> Mapping[str, float]:
        """Return no pools."""
        return {}

    def workspaces_over(self) -> Mapping[str, int]:
        """Return no pools."""
        return {}

    def reservations(self) -> ReservationCounts:
        """Return zeros."""
        return ReservationCounts()


def bounded_factors(
    factors: Mapping[str, float], most: int = MAX_UPSTREAM_SERIES
) -> dict[str, float]:
    """Return at most ``most`` factors, and the mean of the others under one name.

    Upstreams are chosen by name, so that the same ones have a series on each scrape.
    """
    names = sorted(factors)
    bounded = {name: factors[name] for name in names[:most]}
    others = [factors[name] for name in names[most:]]
    if others:
        bounded[OTHER_UPSTREAMS] = sum(others) / len(others)
    return bounded
