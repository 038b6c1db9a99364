"""Tracks how long the weights that an engine serves have been outdated.

Operators name the version of a model's weights that engines should serve.  A process
that starts later, or was cut off or frozen, receives a version some time after it was
named.  So processes report to each other for how long they have known each version, and
a version counts from the earliest time that any of them reports.

A reported age leaves out the time that the report took to arrive.  The age of a version
is therefore never overestimated, however often processes report it to each other.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from gooseberrydale.connection.mesh import NamedVersion

MAX_VERSIONS_PER_MODEL = 32

MIN_CORRECTION_S = 0.1
"""Smaller corrections of an age don't count as changes: each report that arrives a
little faster than the ones before brings one."""

MS_PER_S = 1_000.0


class NamedWeights:
    """The named versions of each model; times are those of the event loop's clock.

    ``changes`` counts the new versions and the corrections of ages.  A reported version
    makes older weights outdated only once a configuration names it or a newer one.
    """

    def __init__(self) -> None:
        self.changes = 0
        self._in_force: dict[str, int] = {}
        # Versions of each model in ascending order, with the times they count from.
        self._named: dict[str, dict[int, float]] = {}

    def record(self, weights: Mapping[str, int], now: float) -> list[tuple[str, int]]:
        """Record the versions that are in force; return models and versions that are
        new."""
        self._in_force |= weights
        reported = (NamedVersion(model, version) for model, version in weights.items())
        return self.merge(reported, now)

    def merge(
        self, reported: Iterable[NamedVersion], now: float
    ) -> list[tuple[str, int]]:
        """Record versions that another process reports; return models and versions that
        are new."""
        return [
            (named.model, named.version)
            for named in reported
            if 0.0 <= named.age_s < math.inf
            and self._note(named.model, named.version, now - named.age_s)
        ]

    def report(
        self, now: float, max_age_s: float = math.inf
    ) -> tuple[NamedVersion, ...]:
        """Return the versions that were named at most ``max_age_s`` ago."""
        return tuple(
            NamedVersion(model, version, _round_down(now - named_at))
            for model, versions in self._named.items()
            for version, named_at in versions.items()
            if now - named_at <= max_age_s
        )

    def age_s(self, model: str, version: int, now: float) -> float:
        """Seconds since ``version`` was named; 0 if it is unknown."""
        return now - self._named.get(model, {}).get(version, now)

    def outdated_for_s(self, model: str, version: int, now: float) -> float:
        """Seconds since a newer version than ``version`` was named; 0 if none was."""
        in_force = self._in_force.get(model, version)
        if in_force <= version:
            return 0.0
        versions = self._named[model].items()
        newer = (at for named, at in versions if version < named <= in_force)
        return max(0.0, now - min(newer, default=now))

    def _note(self, model: str, version: int, named_at: float) -> bool:
        """Count ``version`` from ``named_at`` on, if not from an earlier time already.

        Return whether it was unknown.
        """
        versions = self._named.setdefault(model, {})
        if version in versions:
            self.changes += versions[version] - named_at >= MIN_CORRECTION_S
            versions[version] = min(versions[version], named_at)
            return False
        if len(versions) == MAX_VERSIONS_PER_MODEL:
            if version < next(iter(versions)):
                return False
            del versions[next(iter(versions))]
        self.changes += 1
        versions[version] = named_at
        self._named[model] = dict(sorted(versions.items()))
        return True


def _round_down(age_s: float) -> float:
    """Round to milliseconds, so that an exchange of reports can't raise an age."""
    return math.floor(age_s * MS_PER_S) / MS_PER_S
