"""All events that a process logs, with their names, fields and levels.

An event records what an engineer needs afterwards to explain a decision: what was
decided, from which data, and how old that data was.  docs/OPERATIONS.md has a row for
each event.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale import capacity_log_events
from gooseberrydale.log_event import LogEvent, emit
from gooseberrydale.request.capacity_decision import NO_RANK

# ``all_events`` has the events of the modules that are imported here.
__all__ = ["LogEvent", "all_events", "capacity_log_events", "emit"]

# Events of a request.


@dataclass(frozen=True, slots=True)
class RequestEnded(LogEvent):
    """A request was answered or refused, or its caller disconnected.

    ``sends`` lists each chosen upstream with the values that decided the choice.
    ``held_ms`` is the time from arrival to the first send, ``first_ms`` to the first
    event of the answer, ``took_ms`` to the end; all in milliseconds.  ``table`` is the
    number of the document in force at that time.  ``objective_ms`` is what ``route``
    declares as objective for the first event, 0 if it declares none.  ``digest`` is the
    same for all requests with the same content, and empty if the body was not read.
    ``whole`` is whether the answer was complete.  ``framing`` names what marks the end
    of the upstream's last answer (length, chunked, connection), and ``inside_event`` is
    whether the last bytes of that answer are in the middle of an event.  A caller that
    continues a stream names its ``last_event_id`` and, in ``resumes``, the request that
    brought its first event; each is empty if not named.  ``origin`` is the pool and the
    software version that began that stream, empty if not known.  The fields from
    ``pool`` on are those of :class:`CapacityDecision`.
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
    framing: str = ""
    inside_event: bool = False
    resumes: str = ""
    last_event_id: str = ""
    origin: str = ""
    pool: str = ""
    rank: int = 0
    workspace: str = ""
    over_share: bool = False
    queued_behind: int = 0
    behind_rank: int = NO_RANK
    backlog_tokens: float = 0.0
    limit: float = 0.0
    slowness: float = 1.0
    decided_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class SendEnded(LogEvent):
    """A send to an upstream ended without a complete answer.

    ``next`` is the action that was chosen.  The choice depends on ``others`` (whether
    another upstream remains), ``left_ms`` (time until the request's deadline), ``runs``
    (number of sends that may have run) and ``retries`` (what remains of the budget).
    In the window of the pool's budget, this process has made ``retries_spent`` of
    ``retries_allowed``.  ``reason`` says why an answer was lost, empty otherwise.
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
    reason: str = ""
    retries_spent: int = 0
    retries_allowed: float = 0.0


@dataclass(frozen=True, slots=True)
class QuotaRefused(LogEvent):
    """A request that costs ``cost`` was refused, as its workspace is over its quota.

    ``left`` is the remaining quota according to the last report of the quota's
    ``owner``, which is ``age_ms`` old; it is negative if more was spent than refilled.
    The caller may retry after ``after_ms``.
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
    """A request is sent to no upstream, because earlier ones terminated running it.

    ``ended`` are the incarnations that terminated while they ran it, or while they ran
    others with a part of its prompt.  ``digest`` is equal for all requests with the
    same content, or names the parts.
    """

    NAME: ClassVar[str] = "request_quarantined"
    TEXT: ClassVar[str] = "request quarantined"
    LEVEL: ClassVar[str] = "WARNING"

    request_id: str
    digest: str
    ended: list[str]


@dataclass(frozen=True, slots=True)
class StreamMoved(LogEvent):
    """A stream was moved away from an upstream that must be idle to execute an order.

    ``last_event_id`` is where another upstream resumes it.
    """

    NAME: ClassVar[str] = "stream_moved"
    TEXT: ClassVar[str] = "stream moved"

    request_id: str
    upstream: str
    last_event_id: str


# What a process has recorded about other processes.


@dataclass(frozen=True, slots=True)
class UpstreamSuspected(LogEvent):
    """A connection could not be opened or broke; the upstream is avoided ``for_ms``.

    ``failures`` counts the failures in a row.
    """

    NAME: ClassVar[str] = "upstream_suspected"
    TEXT: ClassVar[str] = "upstream suspected"

    upstream: str
    for_ms: float
    failures: int
    reason: str


@dataclass(frozen=True, slots=True)
class UpstreamLimited(LogEvent):
    """An upstream sent a new rate limit in an answer to this process.

    ``per_s`` is in requests per second over all gateways together; None if the
    upstream no longer has a limit.
    """

    NAME: ClassVar[str] = "upstream_limited"
    TEXT: ClassVar[str] = "upstream changed its rate limit"

    upstream: str
    per_s: float | None
    before_per_s: float | None


@dataclass(frozen=True, slots=True)
class UpstreamBackoff(LogEvent):
    """An upstream refused a request and asked this process to wait ``for_ms``."""

    NAME: ClassVar[str] = "upstream_backoff"
    TEXT: ClassVar[str] = "upstream asks to back off"

    upstream: str
    for_ms: float


@dataclass(frozen=True, slots=True)
class UpstreamLeaving(LogEvent):
    """An upstream announced in an answer that it is leaving; no new work is sent."""

    NAME: ClassVar[str] = "upstream_leaving"
    TEXT: ClassVar[str] = "upstream is leaving"

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamSilent(LogEvent):
    """An upstream sent nothing for ``silent_ms``, and two probes of it failed.

    ``broken`` is the number of its open requests, which are sent to other upstreams.
    """

    NAME: ClassVar[str] = "upstream_silent"
    TEXT: ClassVar[str] = "upstream silent"

    upstream: str
    silent_ms: float
    broken: int


@dataclass(frozen=True, slots=True)
class UnreadAnswersCut(LogEvent):
    """Connections were cut whose callers did not read their answers.

    The buffers of ``cut`` connections had ``cut_bytes``; others have ``held_bytes``.
    """

    NAME: ClassVar[str] = "unread_answers_cut"
    TEXT: ClassVar[str] = "unread answers cut"
    LEVEL: ClassVar[str] = "WARNING"

    cut: int
    cut_bytes: int
    held_bytes: int


@dataclass(frozen=True, slots=True)
class ConnectionsRefused(LogEvent):
    """New connections were closed unread, as the process could not serve them.

    ``reason`` names what was short: descriptors, memory, link or event loop.
    ``refused`` connections were closed, beside ``open`` ones that are served.
    """

    NAME: ClassVar[str] = "connections_refused"
    TEXT: ClassVar[str] = "connections refused"
    LEVEL: ClassVar[str] = "WARNING"

    reason: str
    refused: int
    open: int


@dataclass(frozen=True, slots=True)
class UpstreamEnded(LogEvent):
    """An incarnation of an upstream terminated.

    The digests of this process's requests that ran there: ``waiting`` had received
    nothing of their answers, ``answering`` had received a part.  ``prompts`` has the
    shared parts of each prompt that waited.
    """

    NAME: ClassVar[str] = "upstream_ended"
    TEXT: ClassVar[str] = "upstream ended"

    upstream: str
    reason: str
    waiting: list[str]
    answering: list[str]
    prompts: list[str]


@dataclass(frozen=True, slots=True)
class PartsQuarantined(LogEvent):
    """Prompts with all the parts in ``digest`` are sent to no upstream from now on.

    ``ended`` are the incarnations of upstreams at which they waited when these ended.
    """

    NAME: ClassVar[str] = "parts_quarantined"
    TEXT: ClassVar[str] = "parts of prompts quarantined"
    LEVEL: ClassVar[str] = "WARNING"

    digest: str
    ended: list[str]


@dataclass(frozen=True, slots=True)
class PartsReleased(LogEvent):
    """Prompts with the parts in ``digest`` may run again.

    An answer to one has begun, a further end pointed to other parts, an operator has
    released them, or the ends are too old.
    """

    NAME: ClassVar[str] = "parts_released"
    TEXT: ClassVar[str] = "parts of prompts released"

    digest: str


@dataclass(frozen=True, slots=True)
class UpstreamBack(LogEvent):
    """A suspected upstream answered again, after ``failures`` failed connections."""

    NAME: ClassVar[str] = "upstream_back"
    TEXT: ClassVar[str] = "upstream answers again"

    upstream: str
    failures: int


@dataclass(frozen=True, slots=True)
class UpstreamRetired(LogEvent):
    """An incarnation of an upstream terminated or no longer accepts work."""

    NAME: ClassVar[str] = "upstream_retired"
    TEXT: ClassVar[str] = "upstream retired"

    upstream: str


@dataclass(frozen=True, slots=True)
class UpstreamReborn(LogEvent):
    """An upstream restarted under the same name.

    ``born`` is the start of the new incarnation and ``before`` that of the previous
    one, in milliseconds of Unix time.
    """

    NAME: ClassVar[str] = "upstream_reborn"
    TEXT: ClassVar[str] = "upstream restarted"

    upstream: str
    born: int
    before: int


@dataclass(frozen=True, slots=True)
class EarlierIncarnation(LogEvent):
    """An announcement came from an older incarnation than the recorded one.

    The record is not changed.  If the upstream's clock was set back, the announcement
    may still be from the newer incarnation, so the upstream itself is queried.
    ``born`` and ``known`` are the starts of the two, in milliseconds of Unix time.
    """

    NAME: ClassVar[str] = "earlier_incarnation"
    TEXT: ClassVar[str] = "announcement from an older incarnation"

    upstream: str
    born: int
    known: int


@dataclass(frozen=True, slots=True)
class AnnouncementUnreadable(LogEvent):
    """An announcement is invalid and was skipped; other announcements still apply."""

    NAME: ClassVar[str] = "announcement_unreadable"
    TEXT: ClassVar[str] = "invalid announcement skipped"
    LEVEL: ClassVar[str] = "WARNING"

    upstream: str
    reason: str


@dataclass(frozen=True, slots=True)
class DocumentInForce(LogEvent):
    """This process now uses document ``number`` instead of ``before``."""

    NAME: ClassVar[str] = "document_in_force"
    TEXT: ClassVar[str] = "document in force"

    number: int
    before: int


@dataclass(frozen=True, slots=True)
class DocumentUnreadable(LogEvent):
    """A document is invalid and was skipped; the previous one stays in force."""

    NAME: ClassVar[str] = "document_unreadable"
    TEXT: ClassVar[str] = "invalid document skipped"
    LEVEL: ClassVar[str] = "ERROR"

    number: int
    reason: str


@dataclass(frozen=True, slots=True)
class WeightsNamed(LogEvent):
    """This process learned that ``version`` of the weights of ``model`` was named.

    It was named at least ``age_ms`` ago, as far as this process knows.
    """

    NAME: ClassVar[str] = "weights_named"
    TEXT: ClassVar[str] = "newer weights named"

    model: str
    version: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class StoreFound(LogEvent):
    """A KV cache store answered again or for the first time."""

    NAME: ClassVar[str] = "store_found"
    TEXT: ClassVar[str] = "store is reachable"

    store: str


@dataclass(frozen=True, slots=True)
class StoreLost(LogEvent):
    """A KV cache store stopped answering."""

    NAME: ClassVar[str] = "store_lost"
    TEXT: ClassVar[str] = "store is unreachable"
    LEVEL: ClassVar[str] = "WARNING"

    store: str


@dataclass(frozen=True, slots=True)
class StoreBusy(LogEvent):
    """A store accepts no more followers; its prefixes count as not stored."""

    NAME: ClassVar[str] = "store_busy"
    TEXT: ClassVar[str] = "store accepts no more followers"

    store: str


@dataclass(frozen=True, slots=True)
class StoreEventsMissed(LogEvent):
    """Events of a store were lost, so its full list is read again."""

    NAME: ClassVar[str] = "store_events_missed"
    TEXT: ClassVar[str] = "store events missed, reading the full list"

    store: str


@dataclass(frozen=True, slots=True)
class StoreEventsUnreadable(LogEvent):
    """``count`` events of a store were invalid; ``reason`` is that of the first."""

    NAME: ClassVar[str] = "store_events_unreadable"
    TEXT: ClassVar[str] = "invalid store events skipped"
    LEVEL: ClassVar[str] = "WARNING"

    store: str
    count: int
    reason: str


@dataclass(frozen=True, slots=True)
class StoreSilent(LogEvent):
    """A store did not answer a call."""

    NAME: ClassVar[str] = "store_silent"
    TEXT: ClassVar[str] = "store did not answer"
    LEVEL: ClassVar[str] = "DEBUG"

    store: str
    reason: str


@dataclass(frozen=True, slots=True)
class DatagramUnreadable(LogEvent):
    """A datagram was not a valid report of another gateway and was dropped."""

    NAME: ClassVar[str] = "bad_datagram"
    TEXT: ClassVar[str] = "invalid datagram dropped"
    LEVEL: ClassVar[str] = "DEBUG"

    sender: str
    reason: str


@dataclass(frozen=True, slots=True)
class DatagramFailed(LogEvent):
    """Another gateway's host refused a datagram.

    Nothing is done about it: if the gateway has terminated, its lease expires.
    """

    NAME: ClassVar[str] = "datagram_error"
    TEXT: ClassVar[str] = "datagram refused"
    LEVEL: ClassVar[str] = "DEBUG"

    reason: str


# Events of control replicas, and of files that speed up a restart.


@dataclass(frozen=True, slots=True)
class WeightsOrdered(LogEvent):
    """An order to load weights was sent to an upstream.

    ``number`` is the order's fencing number, ``after`` how many orders the engine had
    accepted before, ``outcome`` its answer.
    """

    NAME: ClassVar[str] = "weights_order"
    TEXT: ClassVar[str] = "order to load weights"

    upstream: str
    version: int
    number: int
    after: int
    outcome: str


@dataclass(frozen=True, slots=True)
class ReportMissing(LogEvent):
    """An engine did not answer a request for its report."""

    NAME: ClassVar[str] = "no_report"
    TEXT: ClassVar[str] = "engine sent no report"

    upstream: str
    reason: str


@dataclass(frozen=True, slots=True)
class OrderUnanswered(LogEvent):
    """An engine did not answer an order; it may still execute it."""

    NAME: ClassVar[str] = "no_order_answer"
    TEXT: ClassVar[str] = "engine did not answer an order"

    upstream: str
    reason: str


@dataclass(frozen=True, slots=True)
class NotKept(LogEvent):
    """A cache file could not be written.

    Such files speed up a restart: they list the upstreams or what they ran.
    """

    NAME: ClassVar[str] = "not_kept"
    TEXT: ClassVar[str] = "cache file not written"

    file: str
    reason: str


@dataclass(frozen=True, slots=True)
class NothingKept(LogEvent):
    """A cache file could not be read on start.

    Until other processes report its content, this process starts without it.
    """

    NAME: ClassVar[str] = "nothing_kept"
    TEXT: ClassVar[str] = "cache file not read"

    file: str
    reason: str


@dataclass(frozen=True, slots=True)
class CommitNotNoted(LogEvent):
    """The commit index could not be written to disk; a restart takes longer."""

    NAME: ClassVar[str] = "commit_not_noted"
    TEXT: ClassVar[str] = "commit index not written"

    reason: str


# Start and end of a process.


@dataclass(frozen=True, slots=True)
class Serving(LogEvent):
    """The process has started; ``addresses`` are its listeners as ``NAME=IP:PORT``."""

    NAME: ClassVar[str] = "serving"
    TEXT: ClassVar[str] = "serving"

    addresses: list[str]


@dataclass(frozen=True, slots=True)
class Reload(LogEvent):
    """The process was asked to reload; it can't, as settings are read on start."""

    NAME: ClassVar[str] = "reload"
    TEXT: ClassVar[str] = (
        "settings can't be reloaded; restart the process to apply changes"
    )


@dataclass(frozen=True, slots=True)
class Draining(LogEvent):
    """A gateway is about to stop accepting connections; ``open`` requests continue."""

    NAME: ClassVar[str] = "draining"
    TEXT: ClassVar[str] = "draining"

    open: int


@dataclass(frozen=True, slots=True)
class Drained(LogEvent):
    """A gateway stopped serving; ``open`` requests were aborted."""

    NAME: ClassVar[str] = "drained"
    TEXT: ClassVar[str] = "drained"

    open: int


@dataclass(frozen=True, slots=True)
class Stopped(LogEvent):
    """The process is about to exit."""

    NAME: ClassVar[str] = "stopped"
    TEXT: ClassVar[str] = "stopped"


def all_events() -> dict[str, type[LogEvent]]:
    """Return the class of every event, by event name."""
    return {cls.NAME: cls for cls in LogEvent.__subclasses__()}
