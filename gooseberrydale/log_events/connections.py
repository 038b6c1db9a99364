"""Events of connections with callers and control, and of datagrams between gateways."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from gooseberrydale.log_events.base import LogEvent


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
class ClientsRefused(LogEvent):
    """Clients held too much, so requests were refused or connections were closed.

    ``reason`` is what was short: memory or descriptors, or what there were too many of:
    connections, or unfinished TLS handshakes.  It is logged once a second.
    ``refused`` requests or connections were affected; ``connections`` are open and hold
    ``held_bytes``.
    """

    NAME: ClassVar[str] = "clients_refused"
    TEXT: ClassVar[str] = "clients refused that hold too much"
    LEVEL: ClassVar[str] = "WARNING"

    reason: str
    refused: int
    held_bytes: int
    connections: int


@dataclass(frozen=True, slots=True)
class BodyRefused(LogEvent):
    """A call to control had a body that is too large, or that did not arrive in time.

    ``path`` is that of the call, ``outcome`` the code of the error.
    """

    NAME: ClassVar[str] = "body_refused"
    TEXT: ClassVar[str] = "body of a call refused"
    LEVEL: ClassVar[str] = "WARNING"

    path: str
    outcome: str


@dataclass(frozen=True, slots=True)
class HeadRefused(LogEvent):
    """The HTTP protocol refused a request before its head was complete or valid.

    ``outcome`` is the code of the error that was answered, with ``status``.
    """

    NAME: ClassVar[str] = "head_refused"
    TEXT: ClassVar[str] = "request refused by the HTTP protocol"

    outcome: str
    status: int


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


@dataclass(frozen=True, slots=True)
class ControlMembersChanged(LogEvent):
    """This process learned of other members of the control log.

    ``index`` is the log entry after which they are in force, ``source`` the process
    that reported them.
    """

    NAME: ClassVar[str] = "control_members"
    TEXT: ClassVar[str] = "members of control changed"

    index: int
    members: list[str]
    source: str


@dataclass(frozen=True, slots=True)
class ControlUnreachable(LogEvent):
    """No member of control can be reached, so the configuration may be outdated.

    ``tried`` are all addresses to which sessions are being opened.
    """

    NAME: ClassVar[str] = "control_unreachable"
    TEXT: ClassVar[str] = "no session to control"
    LEVEL: ClassVar[str] = "WARNING"

    tried: list[str]
    silent_s: float


@dataclass(frozen=True, slots=True)
class ControlReached(LogEvent):
    """A session to a member of control is open again after ``control_unreachable``."""

    NAME: ClassVar[str] = "control_reached"
    TEXT: ClassVar[str] = "session to control open again"

    index: int


@dataclass(frozen=True, slots=True)
class ResponseTooLong(LogEvent):
    """The connection of a response was reset that exceeds a bound.

    ``call`` is the request line, or the call that it belongs to; ``part`` is the part
    of the response: head, framing, body, or all bodies that the process holds.
    """

    NAME: ClassVar[str] = "response_too_long"
    TEXT: ClassVar[str] = "response exceeds a bound"
    LEVEL: ClassVar[str] = "WARNING"

    call: str
    part: str
    limit_bytes: int
    received_bytes: int
