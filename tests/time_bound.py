"""A time limit that fails a test or scenario that hangs, and shows where it hangs.

Without it, a run that hangs would report neither which test hangs nor where.  The
alarm raises an exception in the main thread.  It repeats, since closing the event loop
after the first exception may hang as well.
"""

from __future__ import annotations

import contextlib
import faulthandler
import signal
import sys
from collections.abc import Iterator
from types import FrameType

ALARM_REPEAT_S = 20.0
"""Time for an event loop to cancel its tasks before the alarm is raised again."""


class HungError(Exception):
    """A test or scenario exceeded its time limit."""


@contextlib.contextmanager
def time_bound(name: str, bound_s: float) -> Iterator[None]:
    """Raise :class:`HungError` in the main thread after ``bound_s`` seconds."""

    def raise_hung(_number: int, _frame: FrameType | None) -> None:
        faulthandler.dump_traceback(file=sys.__stderr__, all_threads=True)
        raise HungError(f"{name} has not ended within {bound_s:.0f} s")

    previous_handler = signal.signal(signal.SIGALRM, raise_hung)
    signal.setitimer(signal.ITIMER_REAL, bound_s, ALARM_REPEAT_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous_handler)
