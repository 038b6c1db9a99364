"""One event in the log of a process, as the modules of events declare them."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import ClassVar

from loguru import logger


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One log line; ``NAME`` is written as its field ``event``, ``TEXT`` as message."""

    NAME: ClassVar[str] = ""
    TEXT: ClassVar[str] = ""
    LEVEL: ClassVar[str] = "INFO"


def emit(event: LogEvent) -> None:
    """Log ``event`` with all its fields."""
    content = {item.name: getattr(event, item.name) for item in fields(event)}
    logger.bind(event=event.NAME, **content).log(event.LEVEL, event.TEXT)
