"""All events that a process logs, with their names, fields and levels.

An event records what an engineer needs afterwards to explain a decision: what was
decided, from which data, and how old that data was.  docs/OPERATIONS.md has a row for
each event.
"""

from __future__ import annotations

from gooseberrydale.log_events.base import LogEvent, emit
from gooseberrydale.log_events.capacity import (
    CapacitySharingChanged,
    GatewayOverloaded,
    ReservationOwnerChanged,
    UpstreamSpeedChanged,
    WorkspaceShareCrossed,
)
from gooseberrydale.log_events.connections import (
    BodyRefused,
    ClientsRefused,
    ConnectionsRefused,
    ControlMembersChanged,
    ControlReached,
    ControlUnreachable,
    DatagramFailed,
    DatagramUnreadable,
    HeadRefused,
    ResponseTooLong,
    UnreadAnswersCut,
)
from gooseberrydale.log_events.control import (
    CommitNotNoted,
    NothingKept,
    NotKept,
    OrderUnanswered,
    ReportMissing,
    SoftwareServed,
    WeightsOrdered,
)
from gooseberrydale.log_events.documents import (
    ConfigReceived,
    DocumentInForce,
    DocumentUnreadable,
    WeightsNamed,
)
from gooseberrydale.log_events.process import (
    Drained,
    Draining,
    Reload,
    Serving,
    Stopped,
)
from gooseberrydale.log_events.request import (
    PromptTermsMissing,
    QuotaRefused,
    RequestEnded,
    RequestQuarantined,
    SendEnded,
)
from gooseberrydale.log_events.stores import (
    StoreBusy,
    StoreEventsMissed,
    StoreEventsUnreadable,
    StoreFound,
    StoreLost,
    StoreSilent,
)
from gooseberrydale.log_events.upstreams import (
    AnnouncementUnreadable,
    EarlierIncarnation,
    PartsQuarantined,
    PartsReleased,
    UpstreamBack,
    UpstreamBackoff,
    UpstreamEnded,
    UpstreamLeaving,
    UpstreamLimited,
    UpstreamReborn,
    UpstreamRetired,
    UpstreamSilent,
    UpstreamSuspected,
)

__all__ = [
    "AnnouncementUnreadable",
    "BodyRefused",
    "CapacitySharingChanged",
    "ClientsRefused",
    "CommitNotNoted",
    "ConfigReceived",
    "ConnectionsRefused",
    "ControlMembersChanged",
    "ControlReached",
    "ControlUnreachable",
    "DatagramFailed",
    "DatagramUnreadable",
    "DocumentInForce",
    "DocumentUnreadable",
    "Drained",
    "Draining",
    "EarlierIncarnation",
    "GatewayOverloaded",
    "HeadRefused",
    "LogEvent",
    "NotKept",
    "NothingKept",
    "OrderUnanswered",
    "PartsQuarantined",
    "PartsReleased",
    "PromptTermsMissing",
    "QuotaRefused",
    "Reload",
    "ReportMissing",
    "RequestEnded",
    "RequestQuarantined",
    "ReservationOwnerChanged",
    "ResponseTooLong",
    "SendEnded",
    "Serving",
    "SoftwareServed",
    "Stopped",
    "StoreBusy",
    "StoreEventsMissed",
    "StoreEventsUnreadable",
    "StoreFound",
    "StoreLost",
    "StoreSilent",
    "UnreadAnswersCut",
    "UpstreamBack",
    "UpstreamBackoff",
    "UpstreamEnded",
    "UpstreamLeaving",
    "UpstreamLimited",
    "UpstreamReborn",
    "UpstreamRetired",
    "UpstreamSilent",
    "UpstreamSpeedChanged",
    "UpstreamSuspected",
    "WeightsNamed",
    "WeightsOrdered",
    "WorkspaceShareCrossed",
    "all_events",
    "emit",
]


def all_events() -> dict[str, type[LogEvent]]:
    """Return the class of every event, by event name."""
    return {cls.NAME: cls for cls in LogEvent.__subclasses__()}
