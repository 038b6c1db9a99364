"""Since when the weights that an engine serves are not the newest named.

Lives as long as the process; pure.  Times are those at which this process heard of a
version, a little after operators had their answer.
"""

from __future__ import annotations

from collections.abc import Mapping

KEPT_VERSIONS = 32


class NamedWeights:
    """The versions named of each model, with the times at which they were heard of."""

    def __init__(self) -> None:
        self._named: dict[str, list[tuple[int, float]]] = {}

    def note(self, weights: Mapping[str, int], now: float) -> list[tuple[str, int]]:
        """Take the versions that are named now; return models whose are newer."""
        newer = []
        for model, version in weights.items():
            known = self._named.setdefault(model, [])
            if not known or version > known[-1][0]:
                known.append((version, now))
                del known[:-KEPT_VERSIONS]
                newer.append((model, version))
        return newer

    def old_for_s(self, model: str, version: int, now: float) -> float:
        """Seconds since a later version than ``version`` was named; 0 if none was."""
        later = (at for named, at in self._named.get(model, ()) if named > version)
        since = next(later, None)
        return 0.0 if since is None else max(0.0, now - since)
