"""Tracks how long the weights that an engine serves have been outdated.

Operators name the version of a model's weights that engines should serve.  A version
counts from the time at which this process received it, which is shortly after the
operator got the reply.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_VERSIONS_PER_MODEL = 32


class NamedWeights:
    """The named versions of each model, with the times they were received."""

    def __init__(self) -> None:
        self._named: dict[str, list[tuple[int, float]]] = {}

    def record(self, weights: Mapping[str, int], now: float) -> list[tuple[str, int]]:
        """Record the named versions; return the models and versions that are new."""
        newer = []
        for model, version in weights.items():
            versions = self._named.setdefault(model, [])
            if not versions or version > versions[-1][0]:
                versions.append((version, now))
                del versions[:-MAX_VERSIONS_PER_MODEL]
                newer.append((model, version))
        return newer

    def outdated_for_s(self, model: str, version: int, now: float) -> float:
        """Seconds since a newer version than ``version`` was named; 0 if none was."""
        newer_times = (
            at for named, at in self._named.get(model, ()) if named > version
        )
        since = next(newer_times, None)
        return 0.0 if since is None else max(0.0, now - since)
