"""Finds in logs which requests waited for capacity, and behind which others."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from gooseberrydale.log_events import RequestEnded
from gooseberrydale.process.log_lines import Line
from gooseberrydale.request.capacity_decision import CapacityDecision

MIN_WAIT_MS = 5.0
"""Shorter times are those of reading a request and choosing its upstream."""

MAX_SHOWN = 10
"""How many of the requests ahead are listed; a burst may have some hundred."""

_MS = timedelta(milliseconds=1)


@dataclass(frozen=True, slots=True)
class QueueWait:
    """A request that waited at one gateway from ``began`` until ``ended``.

    ``sent`` is whether it was then sent to an upstream.
    """

    request_id: str
    route: str
    node: str
    began: datetime
    ended: datetime
    sent: bool
    decision: CapacityDecision

    @property
    def waited_ms(self) -> float:
        """How long it waited."""
        return (self.ended - self.began) / _MS

    @property
    def order(self) -> tuple[int, bool, datetime]:
        """Its place in the queue, leaving out fairness between workspaces."""
        return self.decision.rank, self.decision.over_share, self.began

    def is_ahead_of(self, other: QueueWait) -> bool:
        """Whether this one waited at the same time as ``other``, but before it."""
        return (
            (self.node, self.decision.pool) == (other.node, other.decision.pool)
            and self.began < other.ended
            and other.began < self.ended
            and self.order < other.order
        )


def wait_of(line: Line) -> QueueWait | None:
    """Return how the request that ``line`` is about waited; None if it did not."""
    if line.event != RequestEnded.NAME:
        return None
    fields = line.fields
    decision = CapacityDecision.from_fields(fields)
    took_ms = float(fields.get("took_ms", 0.0))
    sent = bool(fields.get("sends"))
    waited_ms = float(fields.get("held_ms", 0.0)) if sent else took_ms
    if not decision.pool or waited_ms < MIN_WAIT_MS:
        return None
    began = line.at - took_ms * _MS
    return QueueWait(
        request_id=str(fields.get("request_id", "")),
        route=str(fields.get("route", "")),
        node=line.node,
        began=began,
        ended=began + waited_ms * _MS,
        sent=sent,
        decision=decision,
    )


def requests_ahead(lines: Iterable[Line], wait: QueueWait) -> tuple[QueueWait, ...]:
    """Return the requests of the same gateway that went before ``wait``, in order."""
    waits = filter(None, map(wait_of, lines))
    ahead = [other for other in waits if other.is_ahead_of(wait)]
    return tuple(sorted(ahead, key=lambda other: other.order))


def render_wait(wait: QueueWait, ahead: tuple[QueueWait, ...]) -> Iterator[str]:
    """Yield lines of text about a wait and the requests that went before it."""
    decision = wait.decision
    yield (
        f"waited {wait.waited_ms:.1f} ms at {wait.node} for pool {decision.pool}, first"
        f" behind {decision.queued_behind} requests; the fleet had"
        f" {decision.backlog_tokens:.0f} tokens ahead (reported"
        f" {decision.decided_ms:.0f} ms before)"
    )
    for other in ahead[:MAX_SHOWN]:
        share = "over its share" if other.decision.over_share else "within its share"
        yield (
            f"  behind {other.request_id}  rank {other.decision.rank}  {other.route}"
            f"  {other.decision.workspace or '-'} {share}"
            f"  waited {other.waited_ms:.1f} ms, {'sent' if other.sent else 'not sent'}"
        )
    if len(ahead) > MAX_SHOWN:
        yield f"  and {len(ahead) - MAX_SHOWN} more"
