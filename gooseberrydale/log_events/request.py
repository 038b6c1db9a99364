"""Events of single requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale.log_events.base import LogEvent
from gooseberrydale.request.capacity_decision import NO_RANK

NOT_CONFIRMED_MS = -1.0


@dataclass(frozen=True, slots=True)
class RequestEnded(LogEvent):
    """A request was answered or refused, or its caller disconnected.

    ``sends`` lists each chosen upstream with the values that decided the choice.
    ``held_ms`` is the time from arrival to the first send, ``first_ms`` to the first
    event of the answer, ``took_ms`` to the end; all in milliseconds.  ``table`` is the
    number of the document in force at that time.  ``objective_ms`` is what ``route``
    declares as objective for the first event, 0 if it declares none.  ``digest`` is the
    same for all requests with the same content, and empty if the body was not read.
    The document in force was known to be the newest ``confirmed_ms`` before the end, -1
    if that is not known.  ``whole`` is whether the answer was complete.  ``framing``
    names what marks the end of the upstream's last answer (length, chunked,
    connection), and ``inside_event`` is whether the last bytes of that answer are in
    the middle of an event.  A caller that continues a stream names its
    ``last_event_id`` and, in ``resumes``, the request that brought its first event;
    each is empty if not named.  ``origin`` is the pool and the software version that
    began that stream, empty if not known.  The fields from ``pool`` on are those of
    :class:`CapacityDecision`.
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
    confirmed_ms: float = NOT_CONFIRMED_MS
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
class PromptTermsMissing(LogEvent):
    """A prompt was not sent to an upstream, for lack of a salt or a weights version.

    Choices of upstreams leave out those without a model, so this shows a defect.
    """

    NAME: ClassVar[str] = "prompt_terms_missing"
    TEXT: ClassVar[str] = "prompt not sent without cache salt and weights version"
    LEVEL: ClassVar[str] = "ERROR"

    request_id: str
    upstream: str
    pool: str


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
