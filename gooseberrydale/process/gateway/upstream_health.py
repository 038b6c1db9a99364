"""Records and logs whether one incarnation of an upstream could be reached.

The functions take the load of the incarnation that a request or a probe was sent to.
Another incarnation may have the same name by the time of the answer, and observations
of the earlier one must not be attributed to it.
"""

from __future__ import annotations

from gooseberrydale.log_events import UpstreamBack, UpstreamSuspected, emit
from gooseberrydale.version.upstream_load import UpstreamLoad

MS_PER_S = 1_000.0


def suspect(
    name: str,
    load: UpstreamLoad,
    now: float,
    reason: str,
    *,
    unusable: bool = False,
) -> None:
    """Pause sends to an upstream that was unreachable or closed a connection.

    ``unusable`` is whether it runs, but its answer can't be used.
    """
    for_ms = load.note_unreachable(now, unusable=unusable) * MS_PER_S
    emit(UpstreamSuspected(name, for_ms, load.failures, reason))


def answered(name: str, load: UpstreamLoad, *, failed: bool) -> None:
    """Record an answer of an upstream; ``failed`` is whether it was a server error."""
    _log_recovery(name, load.answered(failed=failed))


def reached(name: str, load: UpstreamLoad, now: float) -> None:
    """Record that an upstream accepted a probe's connection."""
    load.silence.probe_succeeded(now)
    _log_recovery(name, load.reached())


def _log_recovery(name: str, failures: int) -> None:
    if failures:
        emit(UpstreamBack(name, failures))
