"""Selects the gateways that keep the origin of a stream for all others.

All gateways select the same ones by rendezvous hashing, so that any of them finds the
origin after the gateway that began the stream was killed.  No I/O.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from enum import StrEnum

from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer

OWNERS = 3
"""How many gateways keep an origin besides the one that began the stream."""

DISK_OWNERS = 2
"""How many of them have a disk, if there are as many: these know the origin even after
all gateways were killed."""

MAX_DISK_LOAD = 8.0
"""How many times the mean of all gateways those with a disk may keep.  Where few have
one, fewer owners of a stream are chosen among them."""

EXTRA_ASKED = 3
"""How many further gateways are asked: the set of owners shifts by one for each gateway
that is announced or expires, and views of the fleet differ for a time."""

_MIX = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


class OriginKeeping(StrEnum):
    """How a gateway keeps origins; those of earlier releases keep none."""

    NONE = ""
    MEMORY = "memory"
    DISK = "disk"


class OriginOwners:
    """The gateways of a fleet in the order of each stream's hash."""

    def __init__(self) -> None:
        self._fleet: Fleet | None = None
        self._digests: dict[str, int] = {}
        self._peers: dict[str, GatewayPeer] = {}
        self._on_disk = 0

    def update(self, fleet: Fleet) -> None:
        """Take the present fleet; returns at once if it is the same object."""
        if fleet is self._fleet:
            return
        self._fleet = fleet
        keeping = [p for p in (fleet.own, *fleet.others) if p.origins]
        self._peers = {peer.name: peer for peer in keeping}
        self._digests = {
            name: self._digests.get(name) or _digest(name.encode())
            for name in self._peers
        }
        disks = sum(peer.origins == OriginKeeping.DISK for peer in keeping)
        bound = int(MAX_DISK_LOAD * OWNERS * disks / max(1, len(keeping)))
        self._on_disk = min(DISK_OWNERS, bound)

    def of(self, key: bytes) -> tuple[GatewayPeer, ...]:
        """Return the owners of a stream's origin."""
        return self._choose(key, self._on_disk, OWNERS)

    def asked(self, key: bytes) -> tuple[GatewayPeer, ...]:
        """Return the gateways to ask for the origin, without the own one."""
        own = None if self._fleet is None else self._fleet.own.name
        chosen = self._choose(key, DISK_OWNERS + 1, OWNERS + EXTRA_ASKED)
        return tuple(peer for peer in chosen if peer.name != own)

    def _choose(self, key: bytes, on_disk: int, count: int) -> tuple[GatewayPeer, ...]:
        ranked = self._rank(key)
        disks = (peer for peer in ranked if peer.origins == OriginKeeping.DISK)
        chosen = _spread(disks, on_disk)
        others = [peer for peer in ranked if peer not in chosen]
        return (*chosen, *_spread(others, count - len(chosen)))

    def _rank(self, key: bytes) -> list[GatewayPeer]:
        number = _digest(key)
        ranked = sorted(
            self._digests,
            key=lambda name: ((self._digests[name] ^ number) * _MIX) & _MASK,
        )
        return [self._peers[name] for name in ranked]


def _spread(ranked: Iterable[GatewayPeer], count: int) -> Sequence[GatewayPeer]:
    """Return the first ``count`` gateways, as far as possible of different zones."""
    first: list[GatewayPeer] = []
    rest: list[GatewayPeer] = []
    zones: set[str] = set()
    for peer in ranked:
        (rest if peer.zone in zones else first).append(peer)
        zones.add(peer.zone)
    return [*first, *rest][:count]


def _digest(data: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")
