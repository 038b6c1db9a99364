"""Events about what operators declare."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale.log_events.base import LogEvent


@dataclass(frozen=True, slots=True)
class DocumentInForce(LogEvent):
    """This process now uses document ``number`` instead of ``before``."""

    NAME: ClassVar[str] = "document_in_force"
    TEXT: ClassVar[str] = "document in force"

    number: int
    before: int


@dataclass(frozen=True, slots=True)
class ConfigReceived(LogEvent):
    """This process received the configuration ``revision`` from the peer ``source``."""

    NAME: ClassVar[str] = "config_received"
    TEXT: ClassVar[str] = "configuration received"

    revision: int
    source: str


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
