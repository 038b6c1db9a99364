"""Counts from logs which requests were late, refused or failed, when, and why.

Lives for one command.  It is for the hour after a bad one: ``explain`` tells of one
request, this tells where most of them were lost.  A request's cause is read from what
its last choice of an upstream rested on, and from what its gateway wrote of that
upstream soon after.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

from gooseberrydale.log_events import RequestEnded, UpstreamSilent, UpstreamSuspected
from gooseberrydale.process.explain import Line

WINDOW_S = 2.0
"""Long enough for some hundred requests on a small deployment, short enough to show
one change of weights apart from the next."""

NOTICED_S = 3.5
"""An upstream that fell silent is noticed this long after a send at most: the kernel
gives bytes up after three seconds."""

HELD_PART = 0.5
"""A request that waited for this part of its objective before it was sent was late for
that."""

MS_PER_S = 1_000.0


class Cause(StrEnum):
    """Why a request was not answered in time."""

    SILENT = "sent to a silent upstream"
    CHANGING = "waited for an upstream that changes weights"
    QUEUED = "queued behind others"
    ANEW = "prefix computed anew"
    NOT_READY = "no configuration yet"
    GONE = "instance gone"
    SERVICE = "the service itself failed"
    OVER_QUOTA = "its workspace was over its quota"
    QUARANTINED = "it ends the upstreams that run it"
    LEFT = "its caller left early"
    UNKNOWN = "unknown"


class Loss(StrEnum):
    """How a request was lost."""

    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


_DECLARED = frozenset({"no_declared_route", "unknown_caller_key", "body_too_large"})
_BY_OUTCOME = {
    "not_ready": Cause.NOT_READY,
    "shutting_down": Cause.GONE,
    "no_upstream": Cause.GONE,
    "not_sent": Cause.GONE,
    "lost": Cause.GONE,
    "broken": Cause.GONE,
    "failed": Cause.SERVICE,
    "invalid": Cause.SERVICE,
    "refused": Cause.CHANGING,
    "no_room": Cause.QUEUED,
    "over_quota": Cause.OVER_QUOTA,
    "ends_upstreams": Cause.QUARANTINED,
    "ended_upstreams": Cause.QUARANTINED,
}
_REFUSALS = frozenset(
    {
        *("not_ready", "shutting_down", "no_upstream", "no_room", "refused"),
        *("over_quota", "ends_upstreams"),
    }
)
_CHOICE = re.compile(r"(\w+)=([-\w.]+)")


@dataclass(frozen=True, slots=True)
class Lost:
    """One request that was not answered in time."""

    route: str
    began: datetime
    loss: Loss
    cause: Cause


def lost(lines: Iterable[Line]) -> list[Lost]:
    """The requests that were lost, in the order of their arrival."""
    known = list(lines)
    silent = _silences(known)
    found = [
        one
        for line in known
        if line.event == RequestEnded.NAME and (one := _lost(line, silent)) is not None
    ]
    return sorted(found, key=lambda one: one.began)


def told(found: list[Lost]) -> Iterator[str]:
    """A table: what was lost by window and route, the most frequent cause first."""
    if not found:
        yield "no request was late, refused or failed"
        return
    origin = found[0].began
    table: dict[tuple[int, str, Loss], Counter[Cause]] = defaultdict(Counter)
    for one in found:
        window = int((one.began - origin).total_seconds() // WINDOW_S)
        table[window, one.route, one.loss][one.cause] += 1
    for (window, route, loss), causes in sorted(table.items()):
        at = origin + timedelta(seconds=window * WINDOW_S)
        counts = ", ".join(f"{cause}: {n}" for cause, n in causes.most_common())
        yield f"{at:%H:%M:%S}  {route}  {loss} {causes.total()}  {counts}"
    causes = Counter(one.cause for one in found)
    yield "in all: " + ", ".join(f"{c}: {n}" for c, n in causes.most_common())


def _silences(lines: Iterable[Line]) -> dict[tuple[str, str], list[datetime]]:
    """When each gateway noticed that an upstream was silent."""
    found: dict[tuple[str, str], list[datetime]] = defaultdict(list)
    for line in lines:
        if line.event in (UpstreamSilent.NAME, UpstreamSuspected.NAME):
            found[line.node, str(line.fields.get("upstream"))].append(line.at)
    return found


def _lost(line: Line, silent: dict[tuple[str, str], list[datetime]]) -> Lost | None:
    fields = line.fields
    outcome = str(fields.get("outcome"))
    if outcome in _DECLARED:
        return None
    objective_ms = float(fields.get("objective_ms", 0.0))
    first_ms = float(fields.get("first_ms", 0.0))
    if outcome == "answered":
        if not objective_ms or first_ms <= objective_ms:
            return None
        loss = Loss.LATE
    else:
        loss = Loss.REFUSED if outcome in _REFUSALS else Loss.FAILED
    began = line.at - timedelta(milliseconds=float(fields.get("took_ms", 0.0)))
    cause = _BY_OUTCOME.get(outcome) or _cause_of_wait(line, began, silent)
    return Lost(str(fields.get("route", "")), began, loss, cause)


def _cause_of_wait(
    line: Line, began: datetime, silent: dict[tuple[str, str], list[datetime]]
) -> Cause:
    """Why a request waited for too long, or its caller did."""
    fields = line.fields
    sends = [str(send) for send in fields.get("sends", ())]
    if not sends:
        return Cause.LEFT if fields.get("outcome") == "caller_gone" else Cause.UNKNOWN
    for send in sends:
        noticed = silent.get((line.node, send.partition(" ")[0]), ())
        if any(0 <= (at - began).total_seconds() <= NOTICED_S for at in noticed):
            return Cause.SILENT
    objective_ms = float(fields.get("objective_ms", 0.0))
    held_ms = float(fields.get("held_ms", 0.0))
    choice = dict(_CHOICE.findall(sends[-1]))
    if held_ms > objective_ms * HELD_PART or choice.get("usable") == "False":
        return Cause.CHANGING
    if len(sends) > 1:
        return Cause.GONE
    if fields.get("outcome") == "caller_gone" and fields.get("status"):
        return Cause.LEFT
    if choice.get("rank", "0") != "0" and choice.get("stored") == "False":
        return Cause.ANEW
    if float(choice.get("prefill", 0.0)) > 0 or float(choice.get("requests", 0.0)) >= 1:
        return Cause.QUEUED
    return Cause.UNKNOWN
