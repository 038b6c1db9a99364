"""Writes log lines to a pipe or file without blocking on a slow reader.

Each kind of line has a rate limit, so that many lines of one kind don't displace the
others.  Lines over the limit are suppressed, and the next line of that kind carries
their count.  If the reader is slow, lines are buffered up to a limit; further lines
are dropped and counted.
"""

from __future__ import annotations

import os
import stat
from collections import deque
from dataclasses import dataclass

LINES_PER_S = 100.0
"""Maximum rate of one kind of line: more than the requests of a busy gateway, and a
small fraction of what a process can write."""

BURST_LINES = 200.0
"""Lines of one kind that may be written in a burst, such as when an upstream fails."""

MAX_BUFFERED_BYTES = 256 * 1024
"""Limit of lines that wait for the reader: some seconds' worth at the full rate."""


@dataclass(slots=True)
class _Budget:
    """Token bucket of one kind of line; ``refilled_at`` is when tokens were added."""

    tokens: float
    refilled_at: float
    suppressed: int = 0


class LineBudget:
    """Decides which lines are written; times are seconds of a monotonic clock."""

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        self._per_s = per_s
        self._burst = burst
        self._budgets: dict[str, _Budget] = {}

    def admit(self, kind: str, now: float) -> int | None:
        """Return None if a line of ``kind`` is to be suppressed.

        Otherwise return how many lines of that kind were suppressed before it.
        """
        budget = self._budgets.setdefault(kind, _Budget(self._burst, now))
        refill = (now - budget.refilled_at) * self._per_s
        budget.tokens = min(self._burst, budget.tokens + max(0.0, refill))
        budget.refilled_at = now
        if budget.tokens < 1.0:
            budget.suppressed += 1
            return None
        budget.tokens -= 1.0
        suppressed, budget.suppressed = budget.suppressed, 0
        return suppressed


class LineWriter:
    """Writes complete lines to a file descriptor; makes pipes and sockets non-blocking.

    ``dropped`` counts the lines that were never written.
    """

    def __init__(self, fd: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self._fd = fd
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        mode = os.fstat(fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(fd, False)

    def write(self, line: bytes) -> None:
        """Buffer ``line`` and write as much of the buffer as the reader accepts."""
        self._flush()
        if self._buffered_bytes + len(line) > self._max_buffered_bytes:
            self.dropped += 1
        else:
            self._buffer.append(line + b"\n")
            self._buffered_bytes += len(line) + 1
        self._flush()

    def _flush(self) -> None:
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the loss can't be logged either.
                self.dropped += len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()
