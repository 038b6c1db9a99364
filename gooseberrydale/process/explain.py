"""Explains one request from the logs of several processes.

The command ``explain`` uses it.  It selects the lines with the request's id, and
takes the gateway and the upstreams of the request from them.  It then adds the events
of that gateway and those upstreams around the same time.  Each line is shown with its
time relative to the request's end.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from typing import Any

import msgspec

from gooseberrydale.log_events import (
    DocumentInForce,
    Drained,
    Draining,
    QuotaRefused,
    RequestEnded,
    RequestQuarantined,
    SendEnded,
    Serving,
    StoreFound,
    StoreLost,
    UpstreamBack,
    UpstreamBackoff,
    UpstreamEnded,
    UpstreamLeaving,
    UpstreamLimited,
    UpstreamRetired,
    UpstreamSuspected,
    WeightsNamed,
    WeightsOrdered,
)
from gooseberrydale.request.prompt_parts import split_parts

BEFORE_REQUEST_S = 15.0
"""Events this long before a request may still affect it: an order to load weights and
the lease of an upstream last about as long."""

AFTER_REQUEST_S = 2.0
"""Events that explain a failure may be logged this long after it."""

_GATEWAY_EVENTS = frozenset(
    event.NAME
    for event in (
        *(DocumentInForce, Draining, Drained, Serving),
        *(StoreFound, StoreLost, WeightsNamed),
        # These explain why no upstream could be chosen for a request.
        *(UpstreamBackoff, UpstreamLeaving, UpstreamLimited),
    )
)
_UPSTREAM_EVENTS = frozenset(
    event.NAME
    for event in (UpstreamBack, UpstreamRetired, UpstreamSuspected, WeightsOrdered)
)
_NOT_SHOWN = frozenset({"time", "level", "message", "module", "role", "name", "event"})

OUTCOME_TEXTS = {
    "answered": "it was answered",
    "caller_gone": "its caller closed the connection",
    "not_sent": "no connection to the chosen upstream could be opened",
    "refused": "the upstreams refused it without running it",
    "failed": "the upstream answered with an error",
    "lost": "the connection to the upstream ended before an answer; it may have run",
    "invalid": "the answer was incomplete, or not from the upstream itself",
    "outdated": "its upstream's weights became too old meanwhile; it may have run",
    "timed_out": "its deadline passed",
    "ends_upstreams": "upstreams had terminated while they ran it, so it was not sent",
    "ended_upstreams": "upstreams terminated while running it; it may have run in part",
    "part_ends_upstreams": "upstreams had terminated under a part of its prompt, so it"
    " was not sent",
    "part_ended_upstreams": "upstreams terminated under a part of its prompt; it may"
    " have run in part",
    "broken": "its stream was cut and could not continue on another upstream",
    "no_upstream": "the gateway had no record of an upstream that could take it",
    "unknown_origin": "it was not known which software version began its stream",
    "software_gone": "no upstream served the software version that began its stream",
    "no_room": "every upstream would have answered too late or accepted no work",
    "gateway_busy": "the gateway was overloaded; another one was to serve it",
    "over_quota": "its workspace was over its quota",
    "not_ready": "the gateway had not received a document yet",
    "shutting_down": "the gateway was shutting down; another one is to run it",
    "no_declared_route": "the document in force has no route for it",
    "unknown_caller_key": "the document in force does not list its key",
    "body_too_large": "its body was over the declared limit",
}


@dataclass(frozen=True, slots=True)
class Line:
    """One log line; ``node`` is the name of the process that wrote it."""

    at: datetime
    node: str
    event: str
    message: str
    fields: dict[str, Any]

    def since_s(self, other: Line) -> float:
        """Return the seconds from ``other`` to this line."""
        return (self.at - other.at).total_seconds()


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The log lines about one request, ordered by time.

    ``end`` is the line that records the request's end; None if no process logged it.
    """

    request_id: str
    lines: tuple[Line, ...]
    end: Line | None

    @property
    def cause(self) -> str:
        """Why the request ended the way it did, in one sentence."""
        if self.end is None:
            return (
                "no process logged its end: the gateway itself terminated, or its log"
                " is incomplete"
            )
        outcome = str(self.end.fields.get("outcome"))
        text = OUTCOME_TEXTS.get(outcome, f"it ended as {outcome}")
        quarantined = [
            line for line in self.lines if line.event == RequestQuarantined.NAME
        ]
        if quarantined:
            return (
                f"{text} (ended: {', '.join(quarantined[-1].fields.get('ended', ()))})"
            )
        over_quota = [line for line in self.lines if line.event == QuotaRefused.NAME]
        if over_quota:
            quota = over_quota[-1].fields
            return (
                f"{text} (it costs {quota.get('cost')}, {quota.get('left')} were left"
                f" as reported by {quota.get('owner')} {quota.get('age_ms')} ms before)"
            )
        sends = [line for line in self.lines if line.event == SendEnded.NAME]
        if not sends:
            return text
        last = sends[-1].fields
        details = [f"last send: {last.get('end')} at {last.get('upstream')}"]
        if not last.get("others", True):
            details.append("no other upstream was left")
        if last.get("retries", 1.0) < 1.0:
            details.append("the retry budget was exhausted")
        return f"{text} ({'; '.join(details)})"


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Parse log lines, skipping those that are not JSON objects with a time.

    Text before the first brace is ignored, such as a prefix added by a log collector.
    """
    for text in texts:
        _, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            content = msgspec.json.decode(brace + rest)
            at = datetime.fromisoformat(content["time"])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
        yield Line(
            at=at,
            node=str(content.get("name", "")),
            event=str(content.get("event", "")),
            message=str(content.get("message", "")),
            fields={k: v for k, v in content.items() if k not in _NOT_SHOWN},
        )


def trace_request(lines: Iterable[Line], request_id: str) -> RequestTrace:
    """Select from ``lines`` those that explain the request ``request_id``."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.fields.get("request_id") == request_id]
    if not own:
        return RequestTrace(request_id, (), None)
    ends = [line for line in own if line.event == RequestEnded.NAME]
    upstreams = {name for line in own for name in _upstream_names(line)}
    gateways = {line.node for line in own}
    digests = {str(line.fields.get("digest") or "") for line in own} - {""}
    selected = [
        line
        for line in ordered
        if line.fields.get("request_id") == request_id
        or _terminated_running(line, digests)
        or (
            -BEFORE_REQUEST_S <= line.since_s(own[0])
            and line.since_s(own[-1]) <= AFTER_REQUEST_S
            and _is_relevant(line, gateways, upstreams)
        )
    ]
    return RequestTrace(request_id, tuple(selected), ends[-1] if ends else None)


def _terminated_running(line: Line, digests: set[str]) -> bool:
    """Whether ``line`` logs that an upstream terminated while it ran the request.

    A request with the same digest counts as the same request.  So does a prompt with
    all parts of a digest that names parts.
    """
    if line.event != UpstreamEnded.NAME:
        return False
    ran = (*line.fields.get("waiting", ()), *line.fields.get("answering", ()))
    if not digests.isdisjoint(map(str, ran)):
        return True
    prompts = [split_parts(str(text)) for text in line.fields.get("prompts", ())]
    return any(
        parts <= prompt
        for parts in filter(None, map(split_parts, digests))
        for prompt in prompts
    )


def _is_relevant(line: Line, gateways: set[str], upstreams: set[str]) -> bool:
    """Whether ``line`` is an event of the request's gateway or upstreams."""
    if line.event in _GATEWAY_EVENTS:
        return line.node in gateways
    return line.event in _UPSTREAM_EVENTS and line.fields.get("upstream") in upstreams


def _upstream_names(line: Line) -> Iterator[str]:
    """Yield the names of the upstreams in a line about a request."""
    if "upstream" in line.fields:
        yield str(line.fields["upstream"])
    for send in line.fields.get("sends", ()):
        yield str(send).partition(" ")[0]


def render(trace: RequestTrace) -> Iterator[str]:
    """Yield lines of text, each with its time relative to the request's end."""
    if not trace.lines:
        yield f"no log line has the request id {trace.request_id}"
        return
    origin = trace.end or trace.lines[-1]
    for line in trace.lines:
        fields = " ".join(f"{k}={_format(v)}" for k, v in line.fields.items())
        title = line.event or line.message
        yield f"{line.since_s(origin):+9.3f} s  {line.node}  {title}  {fields}"
    yield f"cause: {trace.cause}"


def _format(value: Any) -> str:
    if isinstance(value, list):
        return "[" + "; ".join(map(str, value)) + "]"
    return str(value)
