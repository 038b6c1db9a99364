"""Requests that one process has running at one incarnation of an upstream.

One object per incarnation; no I/O.  When an upstream ends, these requests are reported
as running there.  Connections of an upstream that ends break some tenths of a second
before its end is detected, so broken runs are remembered for a while.
"""

from __future__ import annotations

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
    ``answering`` is True once part of its answer has arrived, ``reported`` once it was
    reported as running when the upstream ended.
    """

    request: bytes
    parts: tuple[bytes, ...] = ()
    answering: bool = False
    reported: bool = False


@dataclass(frozen=True, slots=True)
class LostRuns:
    """Fingerprints of the requests that ran at an upstream when it ended.

    Those ``waiting`` had received no part of their answers; ``prompts`` are the parts
    of their prompts.
    """

    waiting: tuple[bytes, ...] = ()
    answering: tuple[bytes, ...] = ()
    prompts: tuple[tuple[bytes, ...], ...] = ()

    def __bool__(self) -> bool:
        return bool(self.waiting or self.answering)


class OpenRuns:
    """Runs at one incarnation; times are seconds of the event loop's clock."""

    def __init__(self) -> None:
        self._open: set[Run] = set()
        self._broken: deque[tuple[float, Run]] = deque(maxlen=MAX_BROKEN_RUNS)
        self._has_ended = False
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
            self._broken.append((now, run))
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
        self._has_ended, self._is_doubtful = True, False
        recent = [run for at, run in self._broken if now < at + END_DETECTION_S]
        self._broken.clear()
        new = [run for run in (*self._open, *recent) if not run.reported]
        for run in new:
            run.reported = True
        return LostRuns(
            waiting=_requests(run for run in new if not run.answering),
            answering=_requests(run for run in new if run.answering),
            prompts=tuple(
                sorted({run.parts for run in new if run.parts and not run.answering})
            ),
        )

    def mark_running(self) -> None:
        """Record that the incarnation still runs and was only unreachable."""
        self._has_ended = False


def _requests(runs: Iterable[Run]) -> tuple[bytes, ...]:
    return tuple(sorted({run.request for run in runs}))
