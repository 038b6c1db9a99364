"""What runs at the upstream beside, told to all processes when its life ends.

Lives as long as the sidecar, over all lives of its upstream.  An upstream that ends
breaks its connections before anybody finds that it is gone, and it may be back, as
another life, before the next look.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.log_events import UpstreamEnded, emit
from gooseberrydale.request.fingerprint import fingerprint, shown
from gooseberrydale.version.ended_lives import EndedLives
from gooseberrydale.version.open_runs import OpenRuns, Run, RunEnd


@dataclass(frozen=True, slots=True)
class _Life:
    """One life of the upstream as the sidecar counts them."""

    name: str
    runs: OpenRuns


@dataclass(frozen=True, slots=True)
class Running:
    """One attempt, at the life that it was sent to."""

    life: _Life
    run: Run


class UpstreamRuns:
    """Runs at the upstream of one life of a sidecar, told to ``ended_lives``.

    Not while ``is_leaving``: then the upstream ends by itself.
    """

    def __init__(
        self,
        name: str,
        sidecar_incarnation: str,
        ended_lives: EndedLives,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._is_leaving = is_leaving
        self._prefix = f"{name}@{sidecar_incarnation}"
        self._ended_lives = ended_lives
        self._count = 0
        self._incarnation = ""
        self._life = self._next_life()

    def began(self, req: DispatchReq) -> Running:
        """An attempt goes to the upstream."""
        request = fingerprint(
            req.workspace, req.method, req.profile, req.path, req.body
        )
        return Running(self._life, self._life.runs.began(request))

    def ended(self, running: Running, end: RunEnd) -> None:
        """An attempt has ended."""
        life = running.life
        life.runs.ended(running.run, _now(), end)
        if life.runs.is_over and end is not RunEnd.ANSWERED:
            self._tell(life, "a connection broke after the end")

    def upstream_gone(self, reason: str) -> None:
        """The upstream grants no connection."""
        if not self._life.runs.is_over:
            self._tell(self._life, reason)

    def upstream_there(self, incarnation: str) -> None:
        """The upstream answers; ``incarnation`` is empty if it does not tell one."""
        before, self._incarnation = self._incarnation, incarnation
        is_same = bool(incarnation) and before in ("", incarnation)
        if self._life.runs.is_over and is_same:
            self._life.runs.back()
        elif self._life.runs.is_over:
            self._life = self._next_life()
        elif before and not is_same:
            self._tell(self._life, "it has started again")
            self._life = self._next_life()

    def _next_life(self) -> _Life:
        self._count += 1
        return _Life(f"{self._prefix}.{self._count}", OpenRuns())

    def _tell(self, life: _Life, reason: str) -> None:
        lost = life.runs.over(_now())
        if not self._is_leaving():
            self._ended_lives.report(life.name, lost, _now())
        waiting = [shown(one) for one in lost.waiting]
        answering = [shown(one) for one in lost.answering]
        emit(UpstreamEnded(life.name, reason, waiting, answering))


def _now() -> float:
    return asyncio.get_running_loop().time()
