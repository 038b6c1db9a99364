"""Explains one request from the logs of several processes.

The command ``explain`` uses it.  It selects the lines with the request's id, and
takes the gateway and the upstreams of the request from them.  It then adds the events
of that gateway and those upstreams around the same time.  Each line is shown with its
time relative to the request's end.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

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
from gooseberrydale.log_events.capacity import (
    CapacitySharingChanged,
    GatewayOverloaded,
    ReservationOwnerChanged,
    UpstreamSpeedChanged,
    WorkspaceShareCrossed,
)
from gooseberrydale.process.log_lines import Line
from gooseberrydale.process.queue_waits import (
    QueueWait,
    render_wait,
    requests_ahead,
    wait_of,
)
from gooseberrydale.request.capacity_decision import (
    GATEWAY_OVERLOADED,
    CapacityDecision,
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
        *(CapacitySharingChanged, GatewayOverloaded),
    )
)
_UPSTREAM_EVENTS = frozenset(
    event.NAME
    for event in (UpstreamBack, UpstreamRetired, UpstreamSuspected, WeightsOrdered)
)

# Each gateway logs these about an upstream; only the request's own gateway matters.
_OWN_UPSTREAM_EVENTS = frozenset(
    event.NAME for event in (ReservationOwnerChanged, UpstreamSpeedChanged)
)

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
    GATEWAY_OVERLOADED: "its gateway lacked processor time, memory, descriptors or"
    " bandwidth and declined it; other gateways may have served it",
    "over_quota": "its workspace was over its quota",
    "not_ready": "the gateway had not received a document yet",
    "config_unconfirmed": "the document in force didn't allow it, and the gateway could"
    " not tell whether that was the newest one",
    "shutting_down": "the gateway was shutting down; another one is to run it",
    "no_declared_route": "the document in force has no route for it",
    "unknown_caller_key": "the document in force does not list its key",
    "body_too_large": "its body was over the declared limit",
}


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """The log lines about one request, ordered by time.

    ``end`` is the line that records the request's end; None if no process logged it.
    ``wait`` is how it waited for capacity, if it did, and ``ahead`` are the requests of
    the same gateway that went before it.
    """

    request_id: str
    lines: tuple[Line, ...]
    end: Line | None
    wait: QueueWait | None = None
    ahead: tuple[QueueWait, ...] = ()

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
        details = [*self._send_details(), *_capacity_details(self.end)]
        return f"{text} ({'; '.join(details)})" if details else text

    def _send_details(self) -> Iterator[str]:
        """Yield why the request was not sent again."""
        sends = [line for line in self.lines if line.event == SendEnded.NAME]
        if not sends:
            return
        last = sends[-1].fields
        yield f"last send: {last.get('end')} at {last.get('upstream')}"
        if not last.get("others", True):
            yield "no other upstream was left"
        if last.get("retries", 1.0) < 1.0:
            yield "the retry budget was exhausted"


def _capacity_details(end: Line) -> Iterator[str]:
    """Yield what decided about a request that competed for capacity."""
    decision = CapacityDecision.from_fields(end.fields)
    if decision.over_share:
        yield f"workspace {decision.workspace} was over its share"
    if decision.waited_behind_urgent:
        yield (
            f"of rank {decision.rank}, it waited behind {decision.queued_behind}"
            f" requests, the most urgent of rank {decision.behind_rank}"
        )
    elif decision.waited:
        yield f"it waited behind {decision.queued_behind} requests of its rank"
    if decision.slowed:
        yield f"its upstream took {decision.slowness:.1f} times as long as usual"


def trace_request(lines: Iterable[Line], request_id: str) -> RequestTrace:
    """Select from ``lines`` those that explain the request ``request_id``."""
    ordered = sorted(lines, key=lambda line: line.at)
    own = [line for line in ordered if line.fields.get("request_id") == request_id]
    if not own:
        return RequestTrace(request_id, (), None)
    ends = [line for line in own if line.event == RequestEnded.NAME]
    upstreams = {name for line in own for name in _upstream_names(line)}
    gateways = {line.node for line in own}
    workspaces = {str(line.fields.get("workspace") or "") for line in own} - {""}
    digests = {str(line.fields.get("digest") or "") for line in own} - {""}
    selected = [
        line
        for line in ordered
        if line.fields.get("request_id") == request_id
        or _terminated_running(line, digests)
        or (
            -BEFORE_REQUEST_S <= line.since_s(own[0])
            and line.since_s(own[-1]) <= AFTER_REQUEST_S
            and (
                _is_relevant(line, gateways, upstreams)
                or _is_about_share(line, gateways, workspaces)
            )
        )
    ]
    end = ends[-1] if ends else None
    wait = None if end is None else wait_of(end)
    if wait is None or not wait.decision.waited:
        # It was held for another reason, such as upstreams that change their weights.
        return RequestTrace(request_id, tuple(selected), end)
    ahead = requests_ahead(ordered, wait)
    return RequestTrace(request_id, tuple(selected), end, wait, ahead)


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
    if line.event in _OWN_UPSTREAM_EVENTS and line.node not in gateways:
        return False
    known = _UPSTREAM_EVENTS | _OWN_UPSTREAM_EVENTS
    return line.event in known and line.fields.get("upstream") in upstreams


def _is_about_share(line: Line, gateways: set[str], workspaces: set[str]) -> bool:
    """Whether ``line`` says that the request's workspace crossed its share."""
    return (
        line.event == WorkspaceShareCrossed.NAME
        and line.node in gateways
        and line.fields.get("workspace") in workspaces
    )


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
    if trace.wait is not None:
        yield from render_wait(trace.wait, trace.ahead)
    yield f"cause: {trace.cause}"


def _format(value: Any) -> str:
    if isinstance(value, list):
        return "[" + "; ".join(map(str, value)) + "]"
    return str(value)
