"""The events that log lines tell of: names, fields and levels, in one home.

An event is what an engineer needs afterwards to explain a decision: what was decided,
from what, and how old that was.  docs/OPERATIONS.md has a row for each of them.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import ClassVar

from loguru import logger


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One line; ``NAME`` stands in its field ``event``, ``TEXT`` is its message."""

    NAME: ClassVar[str] = ""
    TEXT: ClassVar[str] = ""
    LEVEL: ClassVar[str] = "INFO"


def emit(event: LogEvent) -> None:
    """Write the line of ``event``."""
    content = {one.name: getattr(event, one.name) for one in fields(event)}
    logger.bind(event=event.NAME, **content).log(event.LEVEL, event.TEXT)


# What happens to a request.


@dataclass(frozen=True, slots=True)
class RequestEnded(LogEvent):
    """A request has its answer, or its caller is gone; times in milliseconds.

    ``sends`` has each choice of an upstream with what decided it, ``held_ms`` the time
    before the first of them, ``table`` the number of the document in force then.
    ``objective_ms`` is what ``route`` declares for the first event, 0 if nothing.
    ``digest`` is the same for each repeat of the request, empty if it was not read.
    """

    NAME: ClassVar[str] = "request"
    TEXT: ClassVar[str] = "request"

    request_id: str
    host: str
    path: str
    route: str
    objective_ms: float
    outcome: str
    sends: list[str]
    status: int
    whole: bool
    held_ms: float
    first_ms: float
    took_ms: float
    table: int
    digest: str = ""


@dataclass(frozen=True, slots=True)
class SendEnded(LogEvent):
    """A send brought no whole answer; ``next`` is what follows.

    Decided from ``others`` (another upstream is left), ``left_ms`` (time of the
    request), ``runs`` (sends that may have run) and ``retries`` (left in the budget).
    """

    NAME: ClassVar[str] = "send_ended"
    TEXT: ClassVar[str] = "send ended"

    request_id: str
    upstream: str
    end: str
    next: str
    others: bool
    left_ms: float
    runs: int
    retries: float
    digest: str = ""


@dataclass(frozen=True, slots=True)
class QuotaRefused(LogEvent):
    """A request counts ``cost``, which is beyond its workspace's quota.

    ``left`` is what was left by the word of its ``owner``, ``age_ms`` old; negative if
    more was spent than had been filled.  The caller may return after ``after_ms``.
    """

    NAME: ClassVar[str] = "quota_refused"
    TEXT: ClassVar[str] = "over quota"

    request_id: str
    workspace: str
    cost: int
    left: int
    age_ms: float
    owner: str
    after_ms: int


@dataclass(frozen=True, slots=True)
class RequestQuarantined(LogEvent):
    """A request is sent nowhere, since the incarnations ``ended`` have ended under it.

    ``digest`` is the same for each repeat of the request.
    """

    NAME: ClassVar[str] = "request_quarantined"
    TEXT: ClassVar[str] = "request quarantined"
    LEVEL: ClassVar[str] = "WARNING"

    request_id: str
    digest: str
    ended: list[str]


@dataclass(frozen=True, slots=True)
class StreamMoved(LogEvent):
    """A stream leaves an upstream that has to become free for an order."""

    NAME: ClassVar[str] = "stream_moved"
    TEXT: ClassVar[str] = "stream moved"

    request_id: str
    upstream: str
    last_event_id: str


# What a process believes of others.


@dataclass(frozen=True, slots=True)
class UpstreamSuspected(LogEvent):
    """No connection, or one that broke; the upstream is left alone for a while."""

    NAME: ClassVar[str] = "upstream_suspected"
    TEXT: ClassVar[str] = "upstream suspected"

    upstream: str
    for_ms: float
    failures: int
    reason: str


@dataclass(frozen=True, slots=True)
class UpstreamLimited(LogEvent):
    """An upstream has named another limit in an answer to this process.

    ``per_s`` is in requests a second over all gateways, None if it names none any more.
    """

    NAME: ClassVar[str] = "upstream_limited"
    TEXT: ClassVar[str] = "upstream names another rate limit"

    upstream: str
    per_s: float | None
    before_per_s: float | None


@dataclass(frozen=True, slots=True)
class UpstreamBackoff(LogEvent):
    """An upstream refused a request and wants none from this process for a time."""

    NAME: ClassVar[str] = "upstream_backoff"
    TEXT: ClassVar[str] = "upstream asks to back off"

    upstream: str
    for_ms: float


@dataclass(frozen=True, slots=True)
class UpstreamLeaving(LogEvent):
    """An upstream says in an answer that it leaves; it gets no new requests."""

    NAME: ClassVar[str] = "upstream_leaving"
    TEXT: ClassVar[str] = "upstream leaves"

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamSilent(LogEvent):
    """Nothing came from an upstream, and two questions to it were in vain.

    ``broken`` requests that were open there go on elsewhere.
    """

    NAME: ClassVar[str] = "upstream_silent"
    TEXT: ClassVar[str] = "upstream silent"

    upstream: str
    silent_ms: float
    broken: int


@dataclass(frozen=True, slots=True)
class UpstreamEnded(LogEvent):
    """An incarnation of an upstream has ended; what this process had running there.

    By their digests: ``waiting`` without a part of their answers, ``answering`` in the
    middle of them.
    """

    NAME: ClassVar[str] = "upstream_ended"
    TEXT: ClassVar[str] = "upstream ended"

    upstream: str
    reason: str
    waiting: list[str]
    answering: list[str]


@dataclass(frozen=True, slots=True)
class UpstreamBack(LogEvent):
    """An upstream that was suspected has answered."""

    NAME: ClassVar[str] = "upstream_back"
    TEXT: ClassVar[str] = "upstream back"

    upstream: str
    failures: int


@dataclass(frozen=True, slots=True)
class UpstreamRetired(LogEvent):
    """The incarnation of an upstream is over, or takes no new work any more."""

    NAME: ClassVar[str] = "upstream_retired"
    TEXT: ClassVar[str] = "upstream retired"

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamReborn(LogEvent):
    """An upstream has started again under its name; both moments in Unix ms."""

    NAME: ClassVar[str] = "upstream_reborn"
    TEXT: ClassVar[str] = "upstream reborn"

    upstream: str
    born: int
    before: int


@dataclass(frozen=True, slots=True)
class EarlierIncarnation(LogEvent):
    """An announcement is from an earlier incarnation than the one known; it changes
    nothing.

    If a clock was set back it may yet be the later one; the upstream itself is asked.
    """

    NAME: ClassVar[str] = "earlier_incarnation"
    TEXT: ClassVar[str] = "announcement of an earlier incarnation"

    upstream: str
    born: int
    known: int


@dataclass(frozen=True, slots=True)
class AnnouncementUnreadable(LogEvent):
    """An announcement that names no upstream to use: it is left out, others hold."""

    NAME: ClassVar[str] = "announcement_unreadable"
    TEXT: ClassVar[str] = "announcement left out"
    LEVEL: ClassVar[str] = "WARNING"

    upstream: str
    reason: str


@dataclass(frozen=True, slots=True)
class DocumentInForce(LogEvent):
    """Another document holds in this process."""

    NAME: ClassVar[str] = "document_in_force"
    TEXT: ClassVar[str] = "document in force"

    number: int
    before: int


@dataclass(frozen=True, slots=True)
class DocumentUnreadable(LogEvent):
    """A document was passed over; the one before stays in force."""

    NAME: ClassVar[str] = "document_unreadable"
    TEXT: ClassVar[str] = "document passed over"
    LEVEL: ClassVar[str] = "ERROR"

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class WeightsNamed(LogEvent):
    """This process has heard of newer weights."""

    NAME: ClassVar[str] = "weights_named"
    TEXT: ClassVar[str] = "weights named"

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class StoreFound(LogEvent):
    """The store of KV cache answers."""

    NAME: ClassVar[str] = "store_found"
    TEXT: ClassVar[str] = "store found"

    store: str


@dataclass(frozen=True, slots=True)
class StoreLost(LogEvent):
    """The store of KV cache does not answer."""

    NAME: ClassVar[str] = "store_lost"
    TEXT: ClassVar[str] = "store lost"
    LEVEL: ClassVar[str] = "WARNING"

    store: str


@dataclass(frozen=True, slots=True)
class StoreBusy(LogEvent):
    """The store has enough followers; prefixes are taken as not stored."""

    NAME: ClassVar[str] = "store_busy"
    TEXT: ClassVar[str] = "store not followed"

    store: str


@dataclass(frozen=True, slots=True)
class StoreEventsMissed(LogEvent):
    """Events of the store were lost; its whole list is read."""

    NAME: ClassVar[str] = "store_events_missed"
    TEXT: ClassVar[str] = "events of the store missed"

    store: str


@dataclass(frozen=True, slots=True)
class StoreEventsUnreadable(LogEvent):
    """Some of what a store tells can't be read: ``count`` of them, the first why."""

    NAME: ClassVar[str] = "store_events_unreadable"
    TEXT: ClassVar[str] = "store events left out"
    LEVEL: ClassVar[str] = "WARNING"

    store: str
    count: int
    reason: str


@dataclass(frozen=True, slots=True)
class StoreSilent(LogEvent):
    """One call to the store brought no answer."""

    NAME: ClassVar[str] = "store_silent"
    TEXT: ClassVar[str] = "no answer of the store"
    LEVEL: ClassVar[str] = "DEBUG"

    store: str
    reason: str


@dataclass(frozen=True, slots=True)
class DatagramUnreadable(LogEvent):
    """A datagram was no report of another gateway."""

    NAME: ClassVar[str] = "bad_datagram"
    TEXT: ClassVar[str] = "datagram dropped"
    LEVEL: ClassVar[str] = "DEBUG"

    sender: str
    reason: str


@dataclass(frozen=True, slots=True)
class DatagramFailed(LogEvent):
    """Another gateway's host refuses datagrams; its lease will end."""

    NAME: ClassVar[str] = "datagram_error"
    TEXT: ClassVar[str] = "datagram refused"
    LEVEL: ClassVar[str] = "DEBUG"

    reason: str


# What control does.


@dataclass(frozen=True, slots=True)
class WeightsOrdered(LogEvent):
    """An order of weights was given.

    ``number`` is the fencing number, ``after`` how many orders the engine had accepted.
    """

    NAME: ClassVar[str] = "weights_order"
    TEXT: ClassVar[str] = "order of weights"

    upstream: str
    version: int
    number: int
    after: int
    outcome: str


@dataclass(frozen=True, slots=True)
class ReportMissing(LogEvent):
    """An engine did not answer when it was asked for its report."""

    NAME: ClassVar[str] = "no_report"
    TEXT: ClassVar[str] = "no report"

    upstream: str
    reason: str


@dataclass(frozen=True, slots=True)
class OrderUnanswered(LogEvent):
    """An engine did not answer an order; it may carry it out all the same."""

    NAME: ClassVar[str] = "no_order_answer"
    TEXT: ClassVar[str] = "no answer to an order"

    upstream: str
    reason: str


@dataclass(frozen=True, slots=True)
class NotKept(LogEvent):
    """A file that helps a restart was not written: upstreams, or what they ran."""

    NAME: ClassVar[str] = "not_kept"
    TEXT: ClassVar[str] = "not kept"

    file: str
    reason: str


@dataclass(frozen=True, slots=True)
class NothingKept(LogEvent):
    """This start knows nothing of what such a file holds until others tell it."""

    NAME: ClassVar[str] = "nothing_kept"
    TEXT: ClassVar[str] = "nothing kept"

    file: str
    reason: str


@dataclass(frozen=True, slots=True)
class CommitNotNoted(LogEvent):
    """The note of what is committed was not written; a restart takes longer."""

    NAME: ClassVar[str] = "commit_not_noted"
    TEXT: ClassVar[str] = "commit not noted"

    reason: str


# The incarnation of a process.


@dataclass(frozen=True, slots=True)
class Serving(LogEvent):
    """The process has started; ``addresses`` are its listeners by name."""

    NAME: ClassVar[str] = "serving"
    TEXT: ClassVar[str] = "serving"

    addresses: list[str]


@dataclass(frozen=True, slots=True)
class Reload(LogEvent):
    """Told to reload; settings hold for the incarnation of a process."""

    NAME: ClassVar[str] = "reload"
    TEXT: ClassVar[str] = "told to reload; settings need a restart"


@dataclass(frozen=True, slots=True)
class Draining(LogEvent):
    """A gateway takes no new connections soon; ``open`` requests go on."""

    NAME: ClassVar[str] = "draining"
    TEXT: ClassVar[str] = "draining"

    open: int


@dataclass(frozen=True, slots=True)
class Drained(LogEvent):
    """A gateway has stopped serving; ``open`` requests were cut."""

    NAME: ClassVar[str] = "drained"
    TEXT: ClassVar[str] = "drained"

    open: int


@dataclass(frozen=True, slots=True)
class Stopped(LogEvent):
    """The process ends."""

    NAME: ClassVar[str] = "stopped"
    TEXT: ClassVar[str] = "stopped"


def all_events() -> dict[str, type[LogEvent]]:
    """Every event by its name."""
    return {one.NAME: one for one in LogEvent.__subclasses__()}
