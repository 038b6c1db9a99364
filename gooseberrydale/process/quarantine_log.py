"""Logs which parts of prompts a process quarantines, and when that ends."""

from __future__ import annotations

from collections.abc import Callable

from gooseberrydale.log_events import PartsQuarantined, PartsReleased, emit
from gooseberrydale.request.prompt_parts import parts_text
from gooseberrydale.version.ended_incarnations import EndedIncarnations


class QuarantineLog:
    """Follows ``ended``; there is one per process."""

    def __init__(self, ended: EndedIncarnations) -> None:
        self._ended = ended
        self._logged: set[str] = set()
        self._unsubscribe: Callable[[], None] | None = None

    def start(self) -> None:
        """Log every change from now on."""
        self._unsubscribe = self._ended.subscribe(self._log_changes)
        self._log_changes()

    def close(self) -> None:
        """Stop logging."""
        if self._unsubscribe is not None:
            self._unsubscribe()

    def _log_changes(self) -> None:
        groups = {
            parts_text(sorted(group.parts)): group.ended
            for group in self._ended.harmful_parts
        }
        for digest in sorted(groups.keys() - self._logged):
            emit(PartsQuarantined(digest, list(groups[digest])))
        for digest in sorted(self._logged - groups.keys()):
            emit(PartsReleased(digest))
        self._logged = set(groups)
