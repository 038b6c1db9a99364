"""Events about stores of KV cache."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale.log_events.base import LogEvent


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
