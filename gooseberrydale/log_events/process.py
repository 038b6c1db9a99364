"""Start and end of a process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale.log_events.base import LogEvent


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
