"""Selects the gateways that own the reservations of an upstream.

All gateways select the same two by rendezvous hashing, those with wide links first: the
first decides, the second does so while the first does not answer.  An owner's state is
of a quarter of a second, so a new owner needs nothing of the earlier one.  No I/O.
"""

from __future__ import annotations

from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer, wide_links
from gooseberrydale.version.stores import first_by_hash

OWNERS = 2


class CapacityOwners:
    """The gateways of a fleet in the rendezvous order of each upstream."""

    def __init__(self) -> None:
        self._fleet: Fleet | None = None
        self._peers: dict[str, GatewayPeer] = {}
        self._wide: list[str] = []
        self._narrow: list[str] = []
        self._owners: dict[str, tuple[GatewayPeer, ...]] = {}
        self._positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def update(self, fleet: Fleet) -> None:
        """Take the present fleet; returns at once if it is the same object."""
        if fleet is self._fleet:
            return
        self._fleet = fleet
        peers = {peer.name: peer for peer in (fleet.own, *fleet.others)}
        if peers != self._peers:
            self._peers = peers
            links = {p.name: p.link_mbps for p in peers.values() if p.address}
            self._wide = wide_links(links)
            self._narrow = [name for name in links if name not in self._wide]
            self._owners.clear()
            self._positions.clear()

    def peer(self, name: str) -> GatewayPeer | None:
        """Return the gateway of that name, None if it is not announced."""
        return self._peers.get(name)

    def of(self, upstream: str) -> tuple[GatewayPeer, ...]:
        """Return the owners of an upstream: the one that decides, then the other."""
        owners = self._owners.get(upstream)
        if owners is None:
            names = first_by_hash(self._wide, upstream)[:OWNERS]
            if len(names) < OWNERS:
                names += first_by_hash(self._narrow, upstream)[: OWNERS - len(names)]
            owners = self._owners[upstream] = tuple(self._peers[n] for n in names)
        return owners

    def is_owner(self, name: str, upstream: str) -> bool:
        """Return whether a gateway is an owner of an upstream."""
        return any(owner.name == name for owner in self.of(upstream))

    def position(self, upstream: str) -> int:
        """Return the position of the own gateway in the order of all gateways."""
        position = self._positions.get(upstream)
        if position is None:
            assert self._fleet is not None
            order = first_by_hash(self._peers.keys(), upstream)
            position = self._positions[upstream] = order.index(self._fleet.own.name)
        return position
