"""Messages of the mesh: how processes learn of each other and of the configuration.

Entries and control replicas serve sessions; sidecars and entries open them.  A
session is one long-lived gRPC stream in each direction.  Both sides send what the
other lacks: announcements of upstreams, and configurations of higher revision.

``sent_at`` is the sender's loop clock when the message was made.  ``echo_at`` is
what the receiver's loop clock showed then at least: the last ``sent_at`` that the
sender has heard in this session, plus the time since (None before the first).
Together they bound how long a message was under way.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass

import msgspec

from gooseberrydale.connection.codec import message
from gooseberrydale.version.declarations import Config

CONTROL_ROLE = "control"
ENTRY_ROLE = "entry"
SIDECAR_ROLE = "sidecar"
GATEWAY_ROLE = "gateway"


@message
@dataclass(frozen=True, slots=True)
class UpstreamRecord:
    """What an upstream's sidecar announces of itself.

    ``incarnation`` names one incarnation of the sidecar and sorts by its start;
    ``seq`` rises with each announcement in that incarnation.  ``upstream_incarnation``
    names one incarnation of the upstream.  ``address`` is the sidecar's gRPC listener.
    ``lease_s`` is what was left of the lease when the record was sent, in seconds.
    An upstream without a sidecar announces itself: ``name`` then names one incarnation
    of it, ``address`` is its own, and ``slots`` is how many requests it runs at once. A
    gateway tells ``link_mbps`` of its node, 0 if that is not known.
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


class EndedIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of an upstream that has ended, and by fingerprint what it ran
    then.

    No part of the answers to those ``waiting`` had come, of those ``answering`` some
    had.  Those ``cleared`` are known not to end upstreams.  It ended ``age_s`` seconds
    before the message was made.  Without field names on the wire, as a process that
    starts hears of many.
    """

    incarnation: str
    waiting: tuple[bytes, ...] = ()
    answering: tuple[bytes, ...] = ()
    cleared: tuple[bytes, ...] = ()
    age_s: float = 0.0


class Renewal(msgspec.Struct, frozen=True, array_like=True):
    """A record that the other side has got in this session, with a later lease.

    ``incarnation`` is the checksum of the record's own.  A renewal takes some 50 bytes
    in place of 300, and most of what a replica with hundreds of sessions sends is
    renewals.
    """

    name: str
    incarnation: int
    seq: int
    lease_s: float

    @classmethod
    def of(cls, record: UpstreamRecord) -> Renewal:
        """The renewal that stands for ``record``."""
        check = incarnation_check(record.incarnation)
        return cls(record.name, check, record.seq, round(record.lease_s, 3))


def incarnation_check(incarnation: str) -> int:
    """A short form of an incarnation, enough to notice that it is another one."""
    return zlib.crc32(incarnation.encode())


@message
@dataclass(frozen=True, slots=True)
class Hello:
    """Opens a session: who speaks, and the revision in force there.

    ``takes_renewals`` is False in releases that know whole records alone.
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
    """Records that are new or changed, those ``renewed``, and ``ended``
    incarnations."""

    records: tuple[UpstreamRecord, ...]
    sent_at: float = 0.0
    echo_at: float | None = None
    ended: tuple[EndedIncarnation, ...] = ()
    renewed: tuple[Renewal, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class RecordsWanted:
    """Asks for all records whole, since one that was renewed is not known."""


@message
@dataclass(frozen=True, slots=True)
class ConfigWanted:
    """Asks for the configuration, since the other side told a higher revision."""

    above_revision: int


@message
@dataclass(frozen=True, slots=True)
class ConfigOffer:
    """A configuration that the other side may lack."""

    config: Config


@message
@dataclass(frozen=True, slots=True)
class RevisionAck:
    """The revision in force at the sender; also the session's heartbeat."""

    name: str
    revision: int
    sent_at: float = 0.0
    echo_at: float | None = None


MeshMessage = (
    Hello | Announce | RecordsWanted | ConfigWanted | ConfigOffer | RevisionAck
)
