"""Events about upstreams: what a process observed of them, or was told."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale.log_events.base import LogEvent


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
