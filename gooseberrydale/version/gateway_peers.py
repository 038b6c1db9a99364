"""Selects the gateways that report to each other directly, and the relays of zones.

In a small deployment every gateway reports to every other one.  In a larger one each
reports to the gateways of its availability zone, and one relay in each zone exchanges
sums and messages with the relays of the other zones.  The traffic of a gateway then
depends on the size of its zone and the number of zones, and little traffic crosses
between zones, where it is billed.  This module does no I/O.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from gooseberrydale.version.stores import first_by_hash

MAX_FLAT_GATEWAYS = 16
"""Number of gateways up to which all report to each other directly.  At 400 datagrams a
second a change is reported within 40 ms, sooner than by way of two relays."""

WIDE_LINK_RATIO = 0.5
"""Minimum ratio of a link's width to the widest one for it to count as wide.  A relay
sends each message to many gateways, which would fill a narrow link and delay the
prompts of its own callers."""

FLEET_RETENTION_S = 60.0
"""Time for which gateways that are no longer announced still count when a limit is
divided: while control is unreachable, all announcements lapse."""


@dataclass(frozen=True, slots=True)
class GatewayPeer:
    """One gateway of the fleet.

    ``address`` is where it listens for datagrams, ``link_mbps`` the width of its node's
    network link, 0 if not known.  ``origins`` is how it keeps the origins of streams,
    one of ``OriginKeeping``.
    """

    name: str
    address: str
    zone: str
    link_mbps: float = 0.0
    origins: str = ""


@dataclass(frozen=True)
class Fleet:
    """All gateways, as seen by the gateway ``own``."""

    own: GatewayPeer
    others: tuple[GatewayPeer, ...] = field(default=())

    @cached_property
    def is_flat(self) -> bool:
        """Whether every gateway reports to every other one."""
        zones = {peer.zone for peer in (self.own, *self.others)}
        return len(self.others) < MAX_FLAT_GATEWAYS or len(zones) == 1

    @cached_property
    def near(self) -> tuple[GatewayPeer, ...]:
        """Gateways that this one reports to directly."""
        if self.is_flat:
            return self.others
        return tuple(peer for peer in self.others if peer.zone == self.own.zone)

    @cached_property
    def far(self) -> Mapping[str, Sequence[GatewayPeer]]:
        """Gateways of each other zone, in the order in which they become its relay."""
        zones: dict[str, list[GatewayPeer]] = defaultdict(list)
        if not self.is_flat:
            for peer in self.others:
                if peer.zone != self.own.zone:
                    zones[peer.zone].append(peer)
        return {zone: relay_order(peers) for zone, peers in zones.items()}

    def relay(self, alive: Collection[str]) -> str | None:
        """Return the relay of the own zone: its first gateway that is ``alive``.

        None in a flat fleet.  The own gateway counts as alive.
        """
        if self.is_flat:
            return None
        order = relay_order((self.own, *self.near))
        own = self.own.name
        return next((peer.name for peer in order if peer.name in (own, *alive)), own)


class SharingGateways:
    """Counts the gateways among which a limit is divided; at least ``least``.

    The largest number of the last ``FLEET_RETENTION_S`` counts: gateways that no longer
    see each other still use their shares.
    """

    def __init__(self, least: int) -> None:
        self._least = least
        self._largest = 0
        self._seen_at = 0.0

    def count(self, announced: int, now: float) -> int:
        """Return the count, given how many gateways are announced now."""
        if announced >= self._largest or now >= self._seen_at + FLEET_RETENTION_S:
            self._largest, self._seen_at = announced, now
        return max(self._least, self._largest)


def relay_order(peers: Collection[GatewayPeer]) -> list[GatewayPeer]:
    """Return the gateways of a zone in the order in which they become its relay.

    All gateways compute the same order.
    """
    by_name = {peer.name: peer for peer in peers}
    wide = wide_links({peer.name: peer.link_mbps for peer in peers})
    order = first_by_hash(wide, "") + first_by_hash(by_name.keys() - set(wide), "")
    return [by_name[name] for name in order]


def wide_links(links: Mapping[str, float]) -> list[str]:
    """Return the names of gateways with a wide link, all if no width is known."""
    least_mbps = WIDE_LINK_RATIO * max(links.values(), default=0.0)
    return [name for name, mbps in links.items() if mbps >= least_mbps]
