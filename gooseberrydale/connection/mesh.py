"""Messages of the mesh, which distributes announcements and the configuration.

Entries and control replicas serve sessions; sidecars and entries open them.  A session
is one long-lived gRPC stream in each direction.  Each side sends what the other lacks:
announcements of upstreams, and configurations of a higher revision.

``sent_at`` is the sender's loop clock when the message was created.  ``echo_at`` is a
lower bound of what the receiver's loop clock showed at that moment: the last
``sent_at`` that the sender has received in this session, plus the time since then (None
before the first).  Together they bound the age of a message.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import msgspec

from gooseberrydale.connection.codec import message
from gooseberrydale.version.declarations import Config
from gooseberrydale.version.known_controls import ControlMembers

CONTROL_ROLE = "control"
ENTRY_ROLE = "entry"
SIDECAR_ROLE = "sidecar"
GATEWAY_ROLE = "gateway"


@message
@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """The announcement of an upstream, usually sent by its sidecar.

    ``incarnation`` names one incarnation of the sidecar; names sort by start time.
    ``seq`` rises with each announcement of that incarnation.  ``upstream_incarnation``
    names one incarnation of the upstream.  ``address`` is the sidecar's gRPC listener.
    ``lease_s`` is the rest of the lease at the time of sending, in seconds.

    An upstream without a sidecar announces itself: ``name`` then names one incarnation
    of the upstream, ``address`` is its own listener, and ``slots`` is how many requests
    it runs concurrently.  A gateway states the link rate of its node in ``link_mbps``,
    0 if unknown.  ``software`` is the version of the software that this incarnation of
    the upstream runs, empty if it announces none.  ``origins`` is how a gateway keeps
    the origins of streams, one of ``OriginKeeping``.
    """

    name: str
    incarnation: str
    seq: int
    address: str
    zone: str
    region: str
    pool: str
    kind: str
    model: str = ""
    weights_version: str = ""
    upstream_incarnation: str = ""
    ready: bool = True
    leaving: bool = False
    lease_s: float = 10.0
    slots: int = 0
    link_mbps: float = 0.0
    software: str = ""
    origins: str = ""


class EndedIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """An ended incarnation of an upstream, with fingerprints of the requests it ran.

    ``waiting`` are requests to which no part of an answer had arrived, ``answering``
    those with a part of one.  ``cleared`` are requests that are known not to end
    upstreams.  The incarnation ended ``age_s`` seconds before the message was created.
    Each of ``prompts`` is the fingerprint of a waiting request whose connection broke,
    and the digests of the parts that its prompt shares with others; ``sound`` are parts
    that are known not to end upstreams.
    It is encoded without field names, since a starting process receives many of these.
    """

    incarnation: str
    waiting: tuple[bytes, ...] = ()
    answering: tuple[bytes, ...] = ()
    cleared: tuple[bytes, ...] = ()
    age_s: float = 0.0
    prompts: tuple[tuple[bytes, ...], ...] = ()
    sound: tuple[bytes, ...] = ()


class NamedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version of a model's weights that operators have named.

    It was named at least ``age_s`` seconds before the message was created.
    """

    model: str
    version: int
    age_s: float = 0.0


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """Renews the lease of a record that was sent in full before in this session.

    ``incarnation`` is the checksum of the record's incarnation.  A renewal takes some
    50 bytes instead of 300, and renewals are most of what a replica with hundreds of
    sessions sends.
    """

    name: str
    incarnation: int
    seq: int
    lease_s: float

    @classmethod
    def of(cls, record: UpstreamRecord) -> Renewal:
        """Return the renewal that replaces ``record``."""
        checksum = incarnation_checksum(record.incarnation)
        return cls(record.name, checksum, record.seq, round(record.lease_s, 3))


def incarnation_checksum(incarnation: str) -> int:
    """Return a checksum that reveals whether two incarnations differ."""
    return zlib.crc32(incarnation.encode())


@message
@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a session: the identity and the current revision of the sender.

    ``takes_renewals`` is False in releases that accept only full records.
    """

    role: str
    name: str
    incarnation: str
    zone: str
    cfg_revision: int
    sent_at: float = 0.0
    echo_at: float | None = None
    takes_renewals: bool = False


@message
@dataclass(frozen=True, slots=True)
class Announce:
    """New or changed ``records``, ``renewed`` leases and ``ended`` incarnations."""

    records: tuple[UpstreamRecord, ...]
    sent_at: float = 0.0
    echo_at: float | None = None
    ended: tuple[EndedIncarnation, ...] = ()
    renewed: tuple[Renewal, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class RecordsWanted:
    """Asks for all records in full: a renewal matched no record of the sender."""


@message
@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Asks for the configuration: the other side has reported a higher revision."""

    above_revision: int


@message
@dataclass(frozen=True, slots=True)
class ConfigOffer:
    """Sends a configuration that the other side may lack."""

    config: Config


@message
@dataclass(frozen=True, slots=True)
class RevisionAck:
    """Reports the current revision of the sender; also the heartbeat of a session.

    ``weights`` are the named versions that the sender knows: all of them in the first
    message of a session and after a change, else only those that were named recently.
    ``controls`` are the members of the control log that the sender knows, in the first
    message of a session and after a change.  No revision above ``revision`` was
    committed ``confirmed_age_s`` seconds before the message was created; None if the
    sender doesn't know that of any time.
    """

    name: str
    revision: int
    sent_at: float = 0.0
    echo_at: float | None = None
    weights: tuple[NamedVersion, ...] = ()
    controls: ControlMembers | None = None
    confirmed_age_s: float | None = None


MeshMessage = (
    Hello | Announce | RecordsWanted | ConfigWanted | ConfigOffer | RevisionAck
)
