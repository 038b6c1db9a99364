"""What one process has running at one incarnation of an upstream, in case that
incarnation ends.

Lives as long as that incarnation; pure.  The connections of an upstream that ends break
some tenths of a second before anybody knows that it has ended, so runs that broke are
remembered for that long.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

NOTICED_S = 2.0
"""A run that broke belongs to the end of its upstream if that is found within this
time; two questions in vain take about a second."""

MOST_BROKEN = 512
"""Runs that broke and are remembered; more than an upstream runs and queues."""


class RunEnd(Enum):
    """How a send ended, for what it says of its upstream."""

    ANSWERED = auto()
    """The upstream answered to the end, so it was there."""
    BROKE = auto()
    """The connection broke, or brought what is no answer."""
    LEFT = auto()
    """It was given up on this side."""


@dataclass(slots=True, eq=False)
class Run:
    """One send; ``answering`` once a part of its answer has come."""

    request: bytes
    answering: bool = False
    told: bool = False


@dataclass(frozen=True, slots=True)
class LostRuns:
    """Fingerprints of what an upstream ran when it ended.

    No part of the answers to those ``waiting`` had come.
    """

    waiting: tuple[bytes, ...] = ()
    answering: tuple[bytes, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.waiting or self.answering)


class OpenRuns:
    """Runs at one incarnation; times are seconds of the loop."""

    def __init__(self) -> None:
        self._open: set[Run] = set()
        self._broken: deque[tuple[float, Run]] = deque(maxlen=MOST_BROKEN)
        self._is_over = False
        self._is_doubtful = False

    @property
    def is_over(self) -> bool:
        """Whether the incarnation is known to have ended."""
        return self._is_over

    def began(self, request: bytes) -> Run:
        """A request was sent."""
        run = Run(request)
        self._open.add(run)
        return run

    def ended(self, run: Run, now: float, end: RunEnd) -> None:
        """A send has ended."""
        self._open.discard(run)
        if end is not RunEnd.ANSWERED:
            self._broken.append((now, run))
        if end is RunEnd.BROKE and not self._is_over:
            self._is_doubtful = True

    def take_doubt(self) -> bool:
        """Whether a run broke since this was asked last.

        Then the upstream is asked at once whether it is there: later, another
        incarnation may answer in its place, and nobody knows any more what ran when it
        ended.
        """
        doubtful, self._is_doubtful = self._is_doubtful, False
        return doubtful

    def over(self, now: float) -> LostRuns:
        """The incarnation has ended; return what it ran and was not told before."""
        self._is_over, self._is_doubtful = True, False
        lately = [run for at, run in self._broken if now < at + NOTICED_S]
        self._broken.clear()
        new = [run for run in (*self._open, *lately) if not run.told]
        for run in new:
            run.told = True
        return LostRuns(
            waiting=_requests(run for run in new if not run.answering),
            answering=_requests(run for run in new if run.answering),
        )

    def back(self) -> None:
        """The incarnation goes on after all; it could not be reached for a while."""
        self._is_over = False


def _requests(runs: Iterable[Run]) -> tuple[bytes, ...]:
    return tuple(sorted({run.request for run in runs}))
