"""Tells the story of one request from the logs of several processes.

Lives for one command.  Lines that bear the request's id come first; from them follow
the upstreams that it met, and of these and of the gateway that took it the lines around
that time, with their age at the moment of the choice.
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

AROUND_S = 15.0
"""How long before a request an event still matters to it: an order of weights and the
lease of an upstream last about as long."""

AFTER_S = 2.0
"""Events that explain a failure may be noticed this long after it."""

_OF_GATEWAY = frozenset(
    one.NAME
    for one in (
        *(DocumentInForce, Draining, Drained, Serving),
        *(StoreFound, StoreLost, WeightsNamed),
        # Why a request that was sent nowhere found no upstream.
        *(UpstreamBackoff, UpstreamLeaving, UpstreamLimited),
    )
)
_OF_UPSTREAM = frozenset(
    one.NAME
    for one in (UpstreamBack, UpstreamRetired, UpstreamSuspected, WeightsOrdered)
)
_NOT_SHOWN = frozenset({"time", "level", "message", "module", "role", "name", "event"})

CAUSES = {
    "answered": "it was answered",
    "caller_gone": "its caller closed the connection",
    "not_sent": "no connection to the chosen upstream came about",
    "refused": "the upstreams said that they did not run it",
    "failed": "the upstream itself answered with a failure",
    "lost": "the connection to the upstream ended before an answer; it may have run",
    "invalid": "the upstream's answer was not whole, or not its own",
    "timed_out": "its time ended",
    "ends_upstreams": "upstreams had ended while they ran it, so it was sent nowhere",
    "ended_upstreams": "upstreams ended while they ran it; it may have run in part",
    "broken": "its stream broke off and could not go on elsewhere",
    "no_upstream": "no upstream was known that could take it",
    "no_room": "every upstream would have answered too late, or took none for now",
    "over_quota": "its workspace was over its quota",
    "not_ready": "the gateway knew no document yet",
    "shutting_down": "the gateway was about to stop and sent it elsewhere",
    "no_declared_route": "the document in force has no route for it",
    "unknown_caller_key": "the document in force does not know its key",
    "body_too_large": "its body was over the declared limit",
}


@dataclass(frozen=True, slots=True)
class Line:
    """One line of a log: when, by which process, and its fields."""

    at: datetime
    node: str
    event: str
    message: str
    fields: dict[str, Any]

    def since_s(self, other: Line) -> float:
        """Seconds from ``other`` to this line."""
        return (self.at - other.at).total_seconds()


@dataclass(frozen=True, slots=True)
class Story:
    """The lines about one request in order, and what explains its end.

    ``end`` is None if no process wrote that the request ended.
    """

    request_id: str
    lines: tuple[Line, ...]
    end: Line | None

    @property
    def cause(self) -> str:
        """Why it ended as it did, in one sentence."""
        if self.end is None:
            return (
                "no process wrote of its end: the gateway itself ended, or cut its log"
            )
        outcome = str(self.end.fields.get("outcome"))
        known = CAUSES.get(outcome, f"it ended as {outcome}")
        quarantined = [
            line for line in self.lines if line.event == RequestQuarantined.NAME
        ]
        if quarantined:
            return (
                f"{known} (ended: {', '.join(quarantined[-1].fields.get('ended', ()))})"
            )
        over = [line for line in self.lines if line.event == QuotaRefused.NAME]
        if over:
            found = over[-1].fields
            return (
                f"{known} (it counts {found.get('cost')}, {found.get('left')} were left"
                f" by the word of {found.get('owner')} {found.get('age_ms')} ms before)"
            )
        sends = [line for line in self.lines if line.event == SendEnded.NAME]
        if not sends:
            return known
        last = sends[-1].fields
        why = [f"last send: {last.get('end')} at {last.get('upstream')}"]
        if not last.get("others", True):
            why.append("no other upstream was left")
        if last.get("retries", 1.0) < 1.0:
            why.append("the retry budget was spent")
        return f"{known} ({'; '.join(why)})"


def read(texts: Iterable[str]) -> Iterator[Line]:
    """The lines that are JSON objects with a time; what else is there is passed over.

    Whatever stands before the first brace is dropped, such as a collector's prefix.
    """
    for text in texts:
        _, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            found = msgspec.json.decode(brace + rest)
            at = datetime.fromisoformat(found["time"])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            continue
        yield Line(
            at=at,
            node=str(found.get("name", "")),
            event=str(found.get("event", "")),
            message=str(found.get("message", "")),
            fields={k: v for k, v in found.items() if k not in _NOT_SHOWN},
        )


def story(lines: Iterable[Line], request_id: str) -> Story:
    """The story of ``request_id``."""
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.fields.get("request_id") == request_id]
    if not own:
        return Story(request_id, (), None)
    ends = [line for line in own if line.event == RequestEnded.NAME]
    upstreams = {name for line in own for name in _upstreams(line)}
    gateways = {line.node for line in own}
    digests = {str(line.fields.get("digest") or "") for line in own} - {""}
    shown = [
        line
        for line in known
        if line.fields.get("request_id") == request_id
        or _ended_under(line, digests)
        or (
            -AROUND_S <= line.since_s(own[0])
            and line.since_s(own[-1]) <= AFTER_S
            and _matters(line, gateways, upstreams)
        )
    ]
    return Story(request_id, tuple(shown), ends[-1] if ends else None)


def _ended_under(line: Line, digests: set[str]) -> bool:
    """Whether an upstream ended while it ran the request or a repeat of it."""
    if line.event != UpstreamEnded.NAME:
        return False
    ran = (*line.fields.get("waiting", ()), *line.fields.get("answering", ()))
    return not digests.isdisjoint(map(str, ran))


def _matters(line: Line, gateways: set[str], upstreams: set[str]) -> bool:
    if line.event in _OF_GATEWAY:
        return line.node in gateways
    return line.event in _OF_UPSTREAM and line.fields.get("upstream") in upstreams


def _upstreams(line: Line) -> Iterator[str]:
    """Names of the upstreams that a line about a request tells of."""
    if "upstream" in line.fields:
        yield str(line.fields["upstream"])
    for send in line.fields.get("sends", ()):
        yield str(send).partition(" ")[0]


def told(found: Story) -> Iterator[str]:
    """The story as text, each line with its time before or after the request's end."""
    if not found.lines:
        yield f"no line bears the id {found.request_id}"
        return
    origin = found.end or found.lines[-1]
    for line in found.lines:
        fields = " ".join(f"{k}={_shown(v)}" for k, v in line.fields.items())
        what = line.event or line.message
        yield f"{line.since_s(origin):+9.3f} s  {line.node}  {what}  {fields}"
    yield f"cause: {found.cause}"


def _shown(value: Any) -> str:
    if isinstance(value, list):
        return "[" + "; ".join(map(str, value)) + "]"
    return str(value)
