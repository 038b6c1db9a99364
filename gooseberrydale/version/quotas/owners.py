"""Selects the gateways that own the count of a workspace's quota.

All gateways select the same two by rendezvous hashing: the first decides, the second is
the fallback while the first does not answer.  A gateway that is no longer announced
stays an owner for some time.  Otherwise a third gateway, which has counted nothing,
could take over while other gateways still reach the first two.  This module does no
I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

from gooseberrydale.version.gateway_peers import GatewayPeer, wide_links
from gooseberrydale.version.stores import first_by_hash

RETENTION_S = 30.0
"""Time for which a gateway is kept after its last announcement; longer than a lease and
the quota's window together."""

OWNERS = 2


class Owners:
    """The recently announced gateways, and which of them own a workspace's count."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[GatewayPeer, float]] = {}
        self._owners: dict[str, tuple[GatewayPeer, ...]] = {}
        self._names: list[str] = []

    def __len__(self) -> int:
        return len(self._seen)

    def peer(self, name: str) -> GatewayPeer | None:
        """Return the gateway of that name, None if it was not announced recently."""
        entry = self._seen.get(name)
        return None if entry is None else entry[0]

    def update(self, fleet: Iterable[GatewayPeer], now: float) -> None:
        """Record the gateways that are announced now; drop those that expired."""
        known = {name: peer for name, (peer, _) in self._seen.items()}
        for peer in fleet:
            self._seen[peer.name] = peer, now
        for name, (_, at) in list(self._seen.items()):
            if at < now - RETENTION_S:
                del self._seen[name]
        if known != {name: peer for name, (peer, _) in self._seen.items()}:
            links = {name: peer.link_mbps for name, (peer, _) in self._seen.items()}
            self._names = wide_links(links)
            self._owners.clear()

    def of(self, workspace: str) -> tuple[GatewayPeer, ...]:
        """Return the owners of a workspace: the one that decides, then the fallback."""
        owners = self._owners.get(workspace)
        if owners is None:
            names = first_by_hash(self._names, workspace)[:OWNERS]
            owners = self._owners[workspace] = tuple(
                self._seen[name][0] for name in names
            )
        return owners
