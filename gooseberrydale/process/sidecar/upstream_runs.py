"""Records which attempts run at the upstream, and reports them when it ends.

All processes receive the reports and use them to find requests that end their
upstreams.  The records span all incarnations of the upstream: an upstream that ends
breaks its connections before a poll finds it unreachable, and it may have restarted, as
another incarnation, before the next poll.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from gooseberrydale.connection.messages import DispatchReq
from gooseberrydale.log_events import UpstreamEnded, emit
from gooseberrydale.request.fingerprint import fingerprint, fingerprint_text
from gooseberrydale.request.prompt_parts import parts_text
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.open_runs import OpenRuns, Run, RunEnd


@dataclass(frozen=True, slots=True)
class _Incarnation:
    """One incarnation of the upstream, under a name that the sidecar assigns."""

    name: str
    runs: OpenRuns


@dataclass(frozen=True, slots=True)
class RunningAttempt:
    """One attempt and the incarnation that it was sent to."""

    incarnation: _Incarnation
    run: Run


class UpstreamRuns:
    """The attempts that run at the upstream of one sidecar.

    When an incarnation of the upstream ends, its attempts are reported to
    ``ended_incarnations``.  While ``is_leaving`` the end is only logged: the upstream
    is then being stopped, and no request is the cause.
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

    def record_start(self, req: DispatchReq) -> RunningAttempt:
        """Record that an attempt is sent to the upstream."""
        request = fingerprint(
            req.workspace, req.method, req.profile, req.path, req.body
        )
        return RunningAttempt(
            self._upstream_incarnation,
            self._upstream_incarnation.runs.began(request, req.parts),
        )

    def record_end(self, running: RunningAttempt, end: RunEnd) -> None:
        """Record how an attempt ended."""
        incarnation = running.incarnation
        incarnation.runs.ended(running.run, _now(), end)
        if incarnation.runs.has_ended and end is not RunEnd.ANSWERED:
            self._report_end(
                incarnation, "a connection broke after the upstream had ended"
            )

    def upstream_unreachable(self, reason: str) -> None:
        """Record that the upstream accepts no connection."""
        if not self._upstream_incarnation.runs.has_ended:
            self._report_end(self._upstream_incarnation, reason)

    def upstream_answered(self, incarnation: str) -> None:
        """Record that the upstream answered a health check.

        ``incarnation`` is empty if the answer names none.
        """
        previous, self._incarnation = self._incarnation, incarnation
        is_same = bool(incarnation) and previous in ("", incarnation)
        if self._upstream_incarnation.runs.has_ended and is_same:
            self._upstream_incarnation.runs.mark_running()
        elif self._upstream_incarnation.runs.has_ended:
            self._upstream_incarnation = self._next_incarnation()
        elif previous and not is_same:
            self._report_end(self._upstream_incarnation, "the upstream has restarted")
            self._upstream_incarnation = self._next_incarnation()

    def _next_incarnation(self) -> _Incarnation:
        self._count += 1
        return _Incarnation(f"{self._prefix}.{self._count}", OpenRuns())

    def _report_end(self, incarnation: _Incarnation, reason: str) -> None:
        lost = incarnation.runs.mark_ended(_now())
        if not self._is_leaving():
            self._ended_incarnations.report(incarnation.name, lost, _now())
        waiting = [fingerprint_text(request) for request in lost.waiting]
        answering = [fingerprint_text(request) for request in lost.answering]
        prompts = [parts_text(parts) for _, *parts in lost.prompts]
        emit(UpstreamEnded(incarnation.name, reason, waiting, answering, prompts))


def _now() -> float:
    return asyncio.get_running_loop().time()
