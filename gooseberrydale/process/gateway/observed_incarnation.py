"""Notes what a request or a question learned of one incarnation of an upstream, with
its line.

The load is the one of the incarnation that was asked: another incarnation may bear the
name by the time that the answer is there, and what is said of the earlier one must not
touch it.
"""

from __future__ import annotations

from gooseberrydale.log_events import UpstreamBack, UpstreamSuspected, emit
from gooseberrydale.version.upstream_load import UpstreamLoad

MS_PER_S = 1_000.0


def suspect(name: str, load: UpstreamLoad, now: float, reason: str) -> None:
    """Leave an upstream alone that could not be reached, or broke off."""
    for_ms = load.unreachable(now) * MS_PER_S
    emit(UpstreamSuspected(name, for_ms, load.failures, reason))


def answered(name: str, load: UpstreamLoad, *, failed: bool) -> None:
    """An upstream gave an answer of its own; ``failed`` says of what kind."""
    _tell_back(name, load.answered(failed=failed))


def reached(name: str, load: UpstreamLoad, now: float) -> None:
    """An upstream granted a connection that was asked for to see if it is there."""
    load.silence.reached(now)
    _tell_back(name, load.reached())


def _tell_back(name: str, failures: int) -> None:
    if failures:
        emit(UpstreamBack(name, failures))
