"""Requests that one process has running at one incarnation of an upstream.

One object per incarnation; no I/O.  When an upstream ends, these requests are reported
as running there.  Connections of an upstream that ends break some tenths of a second
before its end is detected, so broken runs are remembered for a while.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

END_DETECTION_S = 2.0
"""Time for which a broken run is attributed to an end of its upstream that is detected
later; two failed probes take about a second."""

MAX_BROKEN_RUNS = 512
"""Broken runs that are remembered; more than an upstream runs and queues."""


class RunEnd(Enum):
    """How a run ended, as far as it matters for the upstream."""

    ANSWERED = auto()
    """The upstream sent the whole answer, so it was running."""
    BROKE = auto()
    """The connection broke, or delivered something that is not an answer."""
    LEFT = auto()
    """This side gave the request up."""


@dataclass(slots=True, eq=False)
class Run:
    """One request sent to the upstream.

    ``parts`` are the digests of the parts that its prompt shares with others.
    ``answering`` is True once the first event of its answer has arrived, ``reported``
    once it was reported as running when the upstream ended, ``prompt_reported`` once
    its prompt was.
    """

    request: bytes
    parts: tuple[bytes, ...] = ()
    answering: bool = False
    reported: bool = False
    prompt_reported: bool = False


@dataclass(frozen=True, slots=True)
class LostRuns:
    """Fingerprints of the requests that ran at an upstream when it ended.

    Those ``waiting`` had received no part of their answers.  ``prompts`` are those of
    them whose connection broke then, each with the parts of its prompt.
    """

    waiting: tuple[bytes, ...] = ()
    answering: tuple[bytes, ...] = ()
    prompts: tuple[tuple[bytes, ...], ...] = ()

    def __bool__(self) -> bool:
        return bool(self.waiting or self.answering or self.prompts)


class OpenRuns:
    """Runs at one incarnation; times are seconds of the event loop's clock."""

    def __init__(self) -> None:
        self._open: set[Run] = set()
        self._broken: deque[tuple[float, Run, RunEnd]] = deque(maxlen=MAX_BROKEN_RUNS)
        self._has_ended = False
        self._ended_at = math.inf
        self._is_doubtful = False

    @property
    def has_ended(self) -> bool:
        """Whether the end of the incarnation was detected."""
        return self._has_ended

    def began(self, request: bytes, parts: tuple[bytes, ...] = ()) -> Run:
        """Record that a request was sent, with the shared parts of its prompt."""
        run = Run(request, parts)
        self._open.add(run)
        return run

    def ended(self, run: Run, now: float, end: RunEnd) -> None:
        """Record how a run ended."""
        self._open.discard(run)
        if end is not RunEnd.ANSWERED:
            self._broken.append((now, run, end))
        if end is RunEnd.BROKE and not self._has_ended:
            self._is_doubtful = True

    def take_run_broke(self) -> bool:
        """Return whether a run broke since the last call.

        The upstream is then probed immediately: later, another incarnation may answer
        in its place, and the requests that ran when it ended could no longer be
        determined.
        """
        doubtful, self._is_doubtful = self._is_doubtful, False
        return doubtful

    def mark_ended(self, now: float) -> LostRuns:
        """Record that the incarnation has ended.

        Return the requests that ran there and were not returned before.
        """
        if not self._has_ended:
            self._ended_at = now
        self._has_ended, self._is_doubtful = True, False
        recent = [item for item in self._broken if now < item[0] + END_DETECTION_S]
        self._broken.clear()
        ended = (run for _, run, _ in recent)
        new = [run for run in (*self._open, *ended) if not run.reported]
        for run in new:
            run.reported = True
        prompts = [run for at, run, end in recent if self._may_explain(run, at, end)]
        for run in prompts:
            run.prompt_reported = True
        return LostRuns(
            waiting=_requests(run for run in new if not run.answering),
            answering=_requests(run for run in new if run.answering),
            prompts=tuple(sorted({(run.request, *run.parts) for run in prompts})),
        )

    def _may_explain(self, run: Run, broke_at: float, end: RunEnd) -> bool:
        """Return whether the upstream may have ended because of the run's prompt.

        It then closes the connection as it ends.  An upstream that fell silent leaves
        many prompts waiting, whose connections break later if at all.
        """
        if run.answering or run.prompt_reported or not run.parts:
            return False
        return end is RunEnd.BROKE and broke_at < self._ended_at + END_DETECTION_S

    def mark_running(self) -> None:
        """Record that the incarnation still runs and was only unreachable."""
        self._has_ended = False


def _requests(runs: Iterable[Run]) -> tuple[bytes, ...]:
    return tuple(sorted({run.request for run in runs}))
