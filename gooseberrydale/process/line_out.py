"""Writes log lines to a pipe or file without ever waiting for its reader.

Lives as long as the process.  Each kind of line has a budget of lines a second, so that
a flood of one kind leaves room for the others; what was left out is counted and told
with the next line of that kind.  If the reader does not keep up, lines are kept up to a
bound and then dropped, counted as well.
"""

from __future__ import annotations

import os
import stat
from collections import deque
from dataclasses import dataclass

LINES_PER_S = 100.0
"""Lines of one kind in a second: more than a busy gateway's requests, and a small part
of what a process can write."""

BURST_LINES = 200.0
"""Lines of one kind that may come at once, such as when an upstream dies."""

KEPT_BYTES = 256 * 1024
"""Lines that wait for the reader; some seconds at the full rate."""


@dataclass(slots=True)
class _Kind:
    tokens: float
    at: float
    left_out: int = 0


class LineBudget:
    """Decides which lines are written; times are seconds of any steady clock."""

    def __init__(self, per_s: float = LINES_PER_S, burst: float = BURST_LINES) -> None:
        self._per_s = per_s
        self._burst = burst
        self._kinds: dict[str, _Kind] = {}

    def admit(self, kind: str, now: float) -> int | None:
        """None if the line is left out, else how many of its kind were before it."""
        known = self._kinds.setdefault(kind, _Kind(self._burst, now))
        gained = (now - known.at) * self._per_s
        known.tokens = min(self._burst, known.tokens + max(0.0, gained))
        known.at = now
        if known.tokens < 1.0:
            known.left_out += 1
            return None
        known.tokens -= 1.0
        left_out, known.left_out = known.left_out, 0
        return left_out


class LineOut:
    """Writes whole lines to a file descriptor; ``dropped`` counts lost ones."""

    def __init__(self, fd: int, kept_bytes: int = KEPT_BYTES) -> None:
        self._fd = fd
        self._kept_bytes = kept_bytes
        self._waiting: deque[bytes] = deque()
        self._size = 0
        self.dropped = 0
        mode = os.fstat(fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(fd, False)

    def write(self, line: bytes) -> None:
        """Write a line and what waits before it, as far as the reader takes it."""
        self._flush()
        if self._size + len(line) > self._kept_bytes:
            self.dropped += 1
        else:
            self._waiting.append(line + b"\n")
            self._size += len(line) + 1
        self._flush()

    def _flush(self) -> None:
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; nobody could be told either.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
