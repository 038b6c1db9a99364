"""Whether an upstream has fallen silent, as one process sees it.  Pure.

Lives as long as one incarnation of the upstream.  Silence alone says little: a busy
upstream may have nothing to say for a while.  It is a reason to ask for a connection,
which the kernel of any live machine grants; two questions in vain are a reason to take
the upstream for dead.
"""

from __future__ import annotations

import math
from collections.abc import Callable

SILENT_S = 0.5
"""Streams bring an event each 30 to 60 ms, first events come within 50 to 250.  Where
a gateway has one request at an upstream, one that waits for long looks the same."""

ASK_PAUSE_S = 0.3
MOST_PAUSE_S = 4.8
"""Between two questions to a live but silent upstream, doubled by each that it answers
up to the other: with 26 gateways before 22 engines that all let requests wait for two
seconds, it is some 20 connections a second at each gateway in place of 70."""

ASK_AHEAD_S = 0.35
"""How long before the end of its pause an upstream left alone is asked: as long as a
question takes at most, so that no request is needed to find out."""

IN_VAIN = 2
"""Questions in vain before an upstream is taken for dead: at a loss of three packets in
a hundred, one in thirty fails by chance, two in a row one in a thousand."""

TRUSTED_S = 1.0
"""What others say of an upstream is not believed for this long after it has answered
here: the way between may be cut for them alone."""

Abort = Callable[[], None]


class Silence:
    """What came from an upstream when, and what waits there."""

    def __init__(self) -> None:
        self._open = 0
        self._since = -math.inf
        self._asked_at = -math.inf
        self._reached_at = -math.inf
        self._in_vain = 0
        self._pause_s = ASK_PAUSE_S
        self._doubted = False
        self._aborts: set[Abort] = set()

    def opened(self, now: float) -> None:
        """A request was sent."""
        if not self._open:
            self._since = now
        self._open += 1

    def closed(self) -> None:
        """A request has ended."""
        self._open -= 1

    def heard(self, now: float) -> None:
        """Bytes came."""
        self._since = now
        self._in_vain = 0
        self._pause_s = ASK_PAUSE_S

    def watch(self, abort: Abort) -> None:
        """Call ``abort`` if the upstream is taken for dead."""
        self._aborts.add(abort)

    def unwatch(self, abort: Abort) -> None:
        """Its request has ended."""
        self._aborts.discard(abort)

    def doubt(self, now: float) -> bool:
        """Another process takes the upstream for dead; say whether that is news."""
        if now < self._reached_at + TRUSTED_S:
            return False
        self._doubted = True
        return True

    def silent_s(self, now: float) -> float:
        """For how long nothing came while requests were open."""
        return now - self._since if self._open > 0 else 0.0

    def is_doubtful(self, now: float, alone_until: float) -> bool:
        """Whether to ask the upstream now; it is left alone until ``alone_until``."""
        if now < self._asked_at + self._pause_s:
            return False
        if alone_until > now:
            due = now >= alone_until - ASK_AHEAD_S
        else:
            due = self._doubted or self.silent_s(now) >= SILENT_S
        if due:
            self._asked_at = now
        return due

    def reached(self, now: float) -> None:
        """The upstream has answered a question."""
        self._reached_at = now
        self._in_vain = 0
        self._pause_s = min(MOST_PAUSE_S, 2 * self._pause_s)
        self._doubted = False

    def unanswered(self, now: float) -> bool:
        """A question was in vain; say whether the upstream is taken for dead."""
        self._in_vain += 1
        # The next question follows at once.
        self._asked_at = -math.inf
        self._pause_s = ASK_PAUSE_S
        if self._in_vain < IN_VAIN:
            return False
        self._doubted = False
        return True

    def give_up(self) -> int:
        """Abort what may go on elsewhere; return how many requests that were."""
        aborts, self._aborts = self._aborts, set()
        for abort in aborts:
            abort()
        return len(aborts)
