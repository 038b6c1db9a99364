"""Selects the gateways that follow a KV cache store and relay its events to the others.

A store serves its events to a limited number of callers by long polling.  In a small
deployment all gateways follow every store.  In a larger one two gateways follow each
store and relay its events to the others.  This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

from gooseberrydale.connection.codec import message
from gooseberrydale.version.gateway_peers import wide_links
from gooseberrydale.version.store_view import StoreEvent
from gooseberrydale.version.stores import first_by_hash

MAX_ALL_FOLLOWING = 8
"""Number of gateways up to which each follows every store.  Stores accept twelve calls
at a time; four are left for gateways with an outdated view of the fleet."""

RELAYS = 2
"""Gateways that follow a store for all others in a larger deployment; one of them may
fail."""

RELAY_TIMEOUT_S = 3.0
"""Time without a message after which relays count as failed; they send one at least
every second."""

MAX_EVENTS_PER_DATAGRAM = 30
"""Events of some 35 bytes each that fit in a datagram of less than 1,400 bytes."""


class Role(Enum):
    """How a gateway gets the events of one store."""

    FOLLOW = auto()
    """Follows the store for itself only."""
    RELAY = auto()
    """Follows the store and relays its events."""
    LISTEN = auto()
    """Receives the store's events from the relays."""


@message
@dataclass(frozen=True, slots=True)
class StoreTidings:
    """Events of a store that a relay sends; ``up`` is whether the store answers."""

    address: str
    incarnation: str
    events: tuple[StoreEvent, ...]
    up: bool


def role_of(own: str, links: Mapping[str, float], address: str) -> Role:
    """Return the role of the gateway ``own`` for the store at ``address``.

    ``links`` has the width of each gateway's network link in Mbit/s, 0 if not known.
    """
    if len(links) <= MAX_ALL_FOLLOWING:
        return Role.FOLLOW
    return Role.LISTEN if relay_index(own, links, address) is None else Role.RELAY


def relay_index(own: str, links: Mapping[str, float], address: str) -> int | None:
    """Return the index of the gateway ``own`` among the store's relays, None if it is
    not one."""
    wide = wide_links(links)
    relays = first_by_hash(wide if len(wide) >= RELAYS else links, address)[:RELAYS]
    return relays.index(own) if own in relays else None


def store_messages(
    address: str, incarnation: str, events: tuple[StoreEvent, ...], *, up: bool
) -> list[StoreTidings]:
    """Split events into messages that fit a datagram each; at least one message."""
    starts = range(0, max(1, len(events)), MAX_EVENTS_PER_DATAGRAM)
    return [
        StoreTidings(
            address, incarnation, events[start : start + MAX_EVENTS_PER_DATAGRAM], up
        )
        for start in starts
    ]
