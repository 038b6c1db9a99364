"""Frames of the stream that one control replica sends to another.

A stream lives as long as its connection.  The receiver answers a batch with
``want_ack`` at once, so that a silent connection shows.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gooseberrydale.connection.codec import decode, encode, message
from gooseberrydale.version.replication.messages import Envelope, Member


@message
@dataclass(frozen=True, slots=True)
class PeerFrame:
    """One addressed message; ``body`` is its wire form."""

    cluster: str
    source: Member
    target: str
    body: bytes


@message
@dataclass(frozen=True, slots=True)
class PeerBatch:
    """Frames in the order of sending."""

    frames: tuple[PeerFrame, ...]
    want_ack: bool = False


@message
@dataclass(frozen=True, slots=True)
class PeerAck:
    """The connection works."""


def pack(envelopes: Iterable[Envelope], want_ack: bool) -> PeerBatch:
    """Return the batch that carries these envelopes."""
    frames = [
        PeerFrame(env.cluster, env.source, env.target, encode(env.body))
        for env in envelopes
    ]
    return PeerBatch(tuple(frames), want_ack)


def unpack(batch: PeerBatch) -> list[Envelope]:
    """Return the envelopes of a batch; raises CodecError on an unknown message."""
    return [
        Envelope(frame.cluster, frame.source, frame.target, decode(frame.body))
        for frame in batch.frames
    ]
