"""What runs at the upstream beside, told to all processes when its incarnation ends.

Lives as long as the sidecar, over all incarnations of its upstream.  An upstream that
ends breaks its connections before anybody finds that it is gone, and it may be back, as
another incarnation, before the next look.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.log_events import UpstreamEnded, emit
from gooseberrydale.request.fingerprint import fingerprint, shown
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import OpenRuns, Run, RunEnd


@dataclass(frozen=True, slots=True)
class _Incarnation:
    """One incarnation of the upstream as the sidecar counts them."""

    name: str
    runs: OpenRuns


@dataclass(frozen=True, slots=True)
class Running:
    """One attempt, at the incarnation that it was sent to."""

    incarnation: _Incarnation
    run: Run


class UpstreamRuns:
    """Runs at the upstream of one incarnation of a sidecar, told to
    ``ended_incarnations``.

    Not while ``is_leaving``: then the upstream ends by itself.
    """

    def __init__(
        self,
        name: str,
        sidecar_incarnation: str,
        ended_incarnations: EndedIncarnations,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._is_leaving = is_leaving
        self._prefix = f"{name}@{sidecar_incarnation}"
        self._ended_incarnations = ended_incarnations
        self._count = 0
        self._incarnation = ""
        self._upstream_incarnation = self._next_incarnation()

    def began(self, req: DispatchReq) -> Running:
        """An attempt goes to the upstream."""
        request = fingerprint(
            req.workspace, req.method, req.profile, req.path, req.body
        )
        return Running(
            self._upstream_incarnation, self._upstream_incarnation.runs.began(request)
        )

    def ended(self, running: Running, end: RunEnd) -> None:
        """An attempt has ended."""
        incarnation = running.incarnation
        incarnation.runs.ended(running.run, _now(), end)
        if incarnation.runs.is_over and end is not RunEnd.ANSWERED:
            self._tell(incarnation, "a connection broke after the end")

    def upstream_gone(self, reason: str) -> None:
        """The upstream grants no connection."""
        if not self._upstream_incarnation.runs.is_over:
            self._tell(self._upstream_incarnation, reason)

    def upstream_there(self, incarnation: str) -> None:
        """The upstream answers; ``incarnation`` is empty if it does not tell one."""
        before, self._incarnation = self._incarnation, incarnation
        is_same = bool(incarnation) and before in ("", incarnation)
        if self._upstream_incarnation.runs.is_over and is_same:
            self._upstream_incarnation.runs.back()
        elif self._upstream_incarnation.runs.is_over:
            self._upstream_incarnation = self._next_incarnation()
        elif before and not is_same:
            self._tell(self._upstream_incarnation, "it has started again")
            self._upstream_incarnation = self._next_incarnation()

    def _next_incarnation(self) -> _Incarnation:
        self._count += 1
        return _Incarnation(f"{self._prefix}.{self._count}", OpenRuns())

    def _tell(self, incarnation: _Incarnation, reason: str) -> None:
        lost = incarnation.runs.over(_now())
        if not self._is_leaving():
            self._ended_incarnations.report(incarnation.name, lost, _now())
        waiting = [shown(one) for one in lost.waiting]
        answering = [shown(one) for one in lost.answering]
        emit(UpstreamEnded(incarnation.name, reason, waiting, answering))


def _now() -> float:
    return asyncio.get_running_loop().time()
