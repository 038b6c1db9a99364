"""Messages of the gRPC streams between control replicas.

Each connection carries one stream of batches.  The receiver acknowledges a batch with
``want_ack`` immediately; a missing acknowledgement reveals a silent connection.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gooseberrydale.connection.codec import decode, encode, message
from gooseberrydale.version.replication.messages import Envelope, Member


@message
@dataclass(frozen=True, slots=True)
class PeerFrame:
    """One addressed message; ``body`` holds it in encoded form."""

    cluster: str
    source: Member
    target: str
    body: bytes


@message
@dataclass(frozen=True, slots=True)
class PeerBatch:
    """Frames in the order in which they were sent."""

    frames: tuple[PeerFrame, ...]
    want_ack: bool = False


@message
@dataclass(frozen=True, slots=True)
class PeerAck:
    """Acknowledges a batch: the connection works."""


def pack(envelopes: Iterable[Envelope], want_ack: bool) -> PeerBatch:
    """Encode envelopes into a batch."""
    frames = [
        PeerFrame(env.cluster, env.source, env.target, encode(env.body))
        for env in envelopes
    ]
    return PeerBatch(tuple(frames), want_ack)


def unpack(batch: PeerBatch) -> list[Envelope]:
    """Decode the envelopes of a batch; raise CodecError on an invalid message."""
    return [
        Envelope(frame.cluster, frame.source, frame.target, decode(frame.body))
        for frame in batch.frames
    ]
