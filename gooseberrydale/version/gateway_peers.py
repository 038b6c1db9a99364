"""Which gateways report to each other directly, and which relay to the rest.  Pure.

In a small deployment every gateway reports to every other one.  In a larger one each
reports to those of its availability zone, and one relay in each zone exchanges sums and
messages with the relays of the other zones.  What a gateway sends then follows from the
size of its zone and the number of zones, and few bytes cross between zones, which cost.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from functools import cached_property

from gooseberrydale.version.stores import first_by_hash

FLAT_UP_TO = 16
"""Up to this many gateways report to each other directly: at 400 datagrams a second a
change is reported within 40 ms, sooner than by way of two relays."""

WIDE_PART = 0.5
"""A link of this part of the widest one is wide.  Relays send each message to many,
beside the prompts of their callers, which fills a thin link and delays these."""


@dataclass(frozen=True, slots=True)
class GatewayPeer:
    """One gateway; ``address`` is where it listens for datagrams, ``link_mbps`` the
    width of its node's link, 0 if that is not known.
    """

    name: str
    address: str
    zone: str
    link_mbps: float = 0.0


@dataclass(frozen=True)
class Fleet:
    """All gateways as one of them, ``own``, knows them."""

    own: GatewayPeer
    others: tuple[GatewayPeer, ...] = field(default=())

    @cached_property
    def is_flat(self) -> bool:
        """Whether every gateway reports to every other one."""
        zones = {one.zone for one in (self.own, *self.others)}
        return len(self.others) < FLAT_UP_TO or len(zones) == 1

    @cached_property
    def near(self) -> tuple[GatewayPeer, ...]:
        """Those that this gateway reports to directly."""
        if self.is_flat:
            return self.others
        return tuple(one for one in self.others if one.zone == self.own.zone)

    @cached_property
    def far(self) -> Mapping[str, Sequence[GatewayPeer]]:
        """The gateways of each other zone, those first that relay there."""
        zones: dict[str, list[GatewayPeer]] = defaultdict(list)
        if not self.is_flat:
            for one in self.others:
                if one.zone != self.own.zone:
                    zones[one.zone].append(one)
        return {zone: relay_order(found) for zone, found in zones.items()}

    def relay(self, alive: Collection[str]) -> str | None:
        """Who relays for the own zone: its first gateway that is ``alive``.

        None in a flat fleet.  The own gateway counts as alive.
        """
        if self.is_flat:
            return None
        order = relay_order((self.own, *self.near))
        own = self.own.name
        return next((one.name for one in order if one.name in (own, *alive)), own)


def relay_order(peers: Collection[GatewayPeer]) -> list[GatewayPeer]:
    """The gateways of a zone in the order in which they relay, the same for all."""
    by_name = {one.name: one for one in peers}
    wide = wide_links({one.name: one.link_mbps for one in peers})
    order = first_by_hash(wide, "") + first_by_hash(by_name.keys() - set(wide), "")
    return [by_name[name] for name in order]


def wide_links(links: Mapping[str, float]) -> list[str]:
    """The names of those with a wide link; all, if no link is known."""
    least_mbps = WIDE_PART * max(links.values(), default=0.0)
    return [name for name, mbps in links.items() if mbps >= least_mbps]
