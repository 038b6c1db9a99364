"""Ends a test or a scenario that hangs, and shows where it hung.

A run without an end tells nothing: neither which test hung nor where.  The alarm raises
in the main thread, again and again, as the end of an event loop may hang as well.
"""

from __future__ import annotations

import contextlib
import faulthandler
import signal
import sys
from collections.abc import Iterator
from types import FrameType

AGAIN_S = 20.0
"""An event loop gets this long to cancel its tasks before the alarm comes again."""


class HungError(Exception):
    """A test or scenario took longer than its bound."""


@contextlib.contextmanager
def time_bound(name: str, bound_s: float) -> Iterator[None]:
    """Raise :class:`HungError` in the main thread after ``bound_s`` seconds."""

    def ring(_number: int, _frame: FrameType | None) -> None:
        faulthandler.dump_traceback(file=sys.__stderr__, all_threads=True)
        raise HungError(f"{name} has not ended within {bound_s:.0f} s")

    before = signal.signal(signal.SIGALRM, ring)
    signal.setitimer(signal.ITIMER_REAL, bound_s, AGAIN_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, before)
