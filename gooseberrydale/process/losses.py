"""Counts from logs how many requests were late, refused or failed, when, and why.

The command ``losses`` uses it, for the analysis of an incident: while ``explain`` is
about one request, this shows the most frequent causes.  The cause of one request is
derived from the values that decided its last choice of an upstream, and from what its
gateway logged about that upstream soon after.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import StrEnum

from gooseberrydale.log_events import RequestEnded, UpstreamSilent, UpstreamSuspected
from gooseberrydale.process.log_lines import Line
from gooseberrydale.request.capacity_decision import (
    GATEWAY_OVERLOADED,
    CapacityCause,
    CapacityDecision,
    lateness_cause,
    refusal_cause,
)

WINDOW_S = 2.0
"""Length of one row of the table: long enough for some hundred requests on a small
deployment, short enough to separate one change of weights from the next."""

SILENCE_DETECTION_S = 3.5
"""A silent upstream is detected at most this long after a send: the kernel closes a
connection whose bytes are unacknowledged for three seconds."""

HELD_FRACTION = 0.5
"""If a request was held for more than this fraction of its objective before it was
sent, that wait counts as the cause of its being late."""

MS_PER_S = 1_000.0


class Cause(StrEnum):
    """Why a request was not answered in time; the values are printed."""

    SILENT = "sent to a silent upstream"
    CHANGING_WEIGHTS = "waited for an upstream that changes weights"
    QUEUED = "queued behind others"
    PREFIX_RECOMPUTED = "prefix computed anew"
    NOT_READY = "no configuration yet"
    CONFIG_UNCONFIRMED = "its configuration might have been out of date"
    INSTANCE_GONE = "instance gone"
    SERVICE = "the service itself failed"
    OVER_QUOTA = "its workspace was over its quota"
    OVER_SHARE = "its workspace was over its share"
    BEHIND_URGENT = "waited behind more urgent work"
    GATEWAY_OVERLOADED = "its gateway was overloaded"
    UPSTREAM_SLOWED = "its upstream was slowed down"
    QUARANTINED = "it ends the upstreams that run it"
    STREAM_STRANDED = "nothing could go on with its stream"
    LEFT = "its caller left early"
    UNKNOWN = "unknown"


class Loss(StrEnum):
    """In which way a request was lost."""

    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


# Refusals that the declarations require; they don't count as losses.
_DECLARED_OUTCOMES = frozenset(
    {"no_declared_route", "unknown_caller_key", "body_too_large"}
)
_CAUSE_BY_OUTCOME = {
    "not_ready": Cause.NOT_READY,
    "config_unconfirmed": Cause.CONFIG_UNCONFIRMED,
    "shutting_down": Cause.INSTANCE_GONE,
    "no_upstream": Cause.INSTANCE_GONE,
    "not_sent": Cause.INSTANCE_GONE,
    "lost": Cause.INSTANCE_GONE,
    "broken": Cause.INSTANCE_GONE,
    "failed": Cause.SERVICE,
    "invalid": Cause.SERVICE,
    "refused": Cause.CHANGING_WEIGHTS,
    "unknown_origin": Cause.STREAM_STRANDED,
    "software_gone": Cause.STREAM_STRANDED,
    "over_quota": Cause.OVER_QUOTA,
    "ends_upstreams": Cause.QUARANTINED,
    "ended_upstreams": Cause.QUARANTINED,
    "part_ends_upstreams": Cause.QUARANTINED,
    "part_ended_upstreams": Cause.QUARANTINED,
}
# Outcomes whose cause is derived from the values that decided.
_CAPACITY_OUTCOMES = frozenset({"no_room", GATEWAY_OVERLOADED})
_CAUSE_BY_CAPACITY = {
    CapacityCause.GATEWAY_OVERLOADED: Cause.GATEWAY_OVERLOADED,
    CapacityCause.OVER_SHARE: Cause.OVER_SHARE,
    CapacityCause.BEHIND_URGENT: Cause.BEHIND_URGENT,
    CapacityCause.UPSTREAM_SLOWED: Cause.UPSTREAM_SLOWED,
    CapacityCause.QUEUED: Cause.QUEUED,
    CapacityCause.NO_CAPACITY: Cause.QUEUED,
}
_REFUSALS = frozenset(
    {
        *_CAPACITY_OUTCOMES,
        *("not_ready", "config_unconfirmed", "shutting_down", "no_upstream", "refused"),
        *("over_quota", "unknown_origin", "software_gone"),
        *("ends_upstreams", "part_ends_upstreams"),
    }
)
# A value that decided the choice of an upstream, such as "rank=0".
_CHOICE_VALUE = re.compile(r"(\w+)=([-\w.]+)")


@dataclass(frozen=True, slots=True)
class LostRequest:
    """One request that was late, refused or failed."""

    route: str
    arrived: datetime
    loss: Loss
    cause: Cause


def find_lost(lines: Iterable[Line]) -> list[LostRequest]:
    """Return the lost requests in the order of their arrival."""
    all_lines = list(lines)
    silences = _silence_times(all_lines)
    lost = [
        request
        for line in all_lines
        if line.event == RequestEnded.NAME
        and (request := _as_lost(line, silences)) is not None
    ]
    return sorted(lost, key=lambda request: request.arrived)


def render(lost: list[LostRequest]) -> Iterator[str]:
    """Yield a table of losses by window and route, the most frequent cause first."""
    if not lost:
        yield "no request was late, refused or failed"
        return
    origin = lost[0].arrived
    table: dict[tuple[int, str, Loss], Counter[Cause]] = defaultdict(Counter)
    for request in lost:
        window = int((request.arrived - origin).total_seconds() // WINDOW_S)
        table[window, request.route, request.loss][request.cause] += 1
    for (window, route, loss), causes in sorted(table.items()):
        at = origin + timedelta(seconds=window * WINDOW_S)
        counts = ", ".join(f"{cause}: {n}" for cause, n in causes.most_common())
        yield f"{at:%H:%M:%S}  {route}  {loss} {causes.total()}  {counts}"
    causes = Counter(request.cause for request in lost)
    yield "total: " + ", ".join(f"{c}: {n}" for c, n in causes.most_common())


def _silence_times(lines: Iterable[Line]) -> dict[tuple[str, str], list[datetime]]:
    """Return when a gateway found an upstream silent, by gateway and upstream."""
    times: dict[tuple[str, str], list[datetime]] = defaultdict(list)
    for line in lines:
        if line.event in (UpstreamSilent.NAME, UpstreamSuspected.NAME):
            times[line.node, str(line.fields.get("upstream"))].append(line.at)
    return times


def _as_lost(
    line: Line, silences: dict[tuple[str, str], list[datetime]]
) -> LostRequest | None:
    """Return the request that ``line`` is about if it was lost, else None."""
    fields = line.fields
    outcome = str(fields.get("outcome"))
    if outcome in _DECLARED_OUTCOMES:
        return None
    objective_ms = float(fields.get("objective_ms", 0.0))
    first_ms = float(fields.get("first_ms", 0.0))
    if outcome == "answered":
        if not objective_ms or first_ms <= objective_ms:
            return None
        loss = Loss.LATE
    else:
        loss = Loss.REFUSED if outcome in _REFUSALS else Loss.FAILED
    arrived = line.at - timedelta(milliseconds=float(fields.get("took_ms", 0.0)))
    if outcome in _CAPACITY_OUTCOMES:
        decision = CapacityDecision.from_fields(fields)
        cause = _CAUSE_BY_CAPACITY[refusal_cause(outcome, decision)]
    else:
        known = _CAUSE_BY_OUTCOME.get(outcome)
        cause = known or _cause_of_wait(line, arrived, silences)
    return LostRequest(str(fields.get("route", "")), arrived, loss, cause)


def _cause_of_wait(
    line: Line, arrived: datetime, silences: dict[tuple[str, str], list[datetime]]
) -> Cause:
    """Return why a request was answered late or its caller disconnected."""
    fields = line.fields
    sends = [str(send) for send in fields.get("sends", ())]
    decision = CapacityDecision.from_fields(fields)
    if not sends:
        waited = lateness_cause(decision, held=True)
        if waited is not None:
            return _CAUSE_BY_CAPACITY[waited]
        return Cause.LEFT if fields.get("outcome") == "caller_gone" else Cause.UNKNOWN
    for send in sends:
        detected = silences.get((line.node, send.partition(" ")[0]), ())
        if any(
            0 <= (at - arrived).total_seconds() <= SILENCE_DETECTION_S
            for at in detected
        ):
            return Cause.SILENT
    objective_ms = float(fields.get("objective_ms", 0.0))
    held_ms = float(fields.get("held_ms", 0.0))
    choice = dict(_CHOICE_VALUE.findall(sends[-1]))
    is_held = held_ms > objective_ms * HELD_FRACTION
    if is_held and (waited := lateness_cause(decision, held=True)) is not None:
        return _CAUSE_BY_CAPACITY[waited]
    if is_held or choice.get("usable") == "False":
        return Cause.CHANGING_WEIGHTS
    if len(sends) > 1:
        return Cause.INSTANCE_GONE
    if fields.get("outcome") == "caller_gone" and fields.get("status"):
        return Cause.LEFT
    slowed = lateness_cause(decision, held=False)
    if slowed is not None:
        return _CAUSE_BY_CAPACITY[slowed]
    if choice.get("rank", "0") != "0" and choice.get("stored") == "False":
        return Cause.PREFIX_RECOMPUTED
    if float(choice.get("prefill", 0.0)) > 0 or float(choice.get("requests", 0.0)) >= 1:
        return Cause.QUEUED
    return Cause.UNKNOWN
