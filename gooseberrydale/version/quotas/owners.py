"""Which gateways own the count of a workspace.  Pure.

Every gateway finds the same two by rendezvous hashing: one decides, the other takes its
place while it doesn't answer.  A gateway that is no longer announced stays an owner for
some time: no third one may take over that has counted nothing, as long as others may
still reach the first two.
"""

from __future__ import annotations

from collections.abc import Iterable

from gooseberrydale.version.gateway_peers import GatewayPeer, wide_links
from gooseberrydale.version.stores import first_by_hash

KEPT_S = 30.0
"""Longer than a lease and the quota's window together."""

OWNERS = 2


class Owners:
    """The gateways seen of late, and those of them that own a workspace's count."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[GatewayPeer, float]] = {}
        self._owners: dict[str, tuple[GatewayPeer, ...]] = {}
        self._names: list[str] = []

    def __len__(self) -> int:
        return len(self._seen)

    def peer(self, name: str) -> GatewayPeer | None:
        """The gateway of that name, if it was seen of late."""
        found = self._seen.get(name)
        return None if found is None else found[0]

    def update(self, fleet: Iterable[GatewayPeer], now: float) -> None:
        """These gateways are announced now."""
        known = {name: peer for name, (peer, _) in self._seen.items()}
        for peer in fleet:
            self._seen[peer.name] = peer, now
        for name, (_, at) in list(self._seen.items()):
            if at < now - KEPT_S:
                del self._seen[name]
        if known != {name: peer for name, (peer, _) in self._seen.items()}:
            links = {name: peer.link_mbps for name, (peer, _) in self._seen.items()}
            self._names = wide_links(links)
            self._owners.clear()

    def of(self, workspace: str) -> tuple[GatewayPeer, ...]:
        """The owners of one workspace, the one that decides first."""
        found = self._owners.get(workspace)
        if found is None:
            order = first_by_hash(self._names, workspace)[:OWNERS]
            found = self._owners[workspace] = tuple(self._seen[one][0] for one in order)
        return found
