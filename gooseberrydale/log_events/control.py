"""Events of control replicas, and of files that speed up a restart."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale.log_events.base import LogEvent


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
class SoftwareServed(LogEvent):
    """A software version was put into service in a pool, or taken out of it."""

    NAME: ClassVar[str] = "software_served"
    TEXT: ClassVar[str] = "software version of a pool"

    pool: str
    software: str
    in_service: bool


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
