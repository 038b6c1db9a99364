"""Which gateways follow a store of KV cache themselves, and what they tell the others.

A store lets a few callers wait for its events.  A small deployment's gateways all do;
in a larger one two of them follow each store and pass its events on.  Pure.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

from gooseberrydale.connection.codec import message
from gooseberrydale.version.gateway_peers import wide_links
from gooseberrydale.version.store_view import StoreEvent
from gooseberrydale.version.stores import first_by_hash

ALL_FOLLOW = 8
"""Up to this many gateways each follow every store.  Stores take twelve calls; four
are left to gateways whose view of the others lags."""

RELAYS = 2
"""Gateways that follow a store for all others in a larger deployment; one may die."""

RELAY_SILENT_S = 3.0
"""Relays tell each second at least; after this without a word they are gone."""

EVENTS_A_DATAGRAM = 30
"""Events of some 35 bytes each, so that a datagram stays below 1,400 bytes."""


class Part(Enum):
    """What a gateway does about one store."""

    FOLLOW = auto()
    """Follows it for itself."""
    RELAY = auto()
    """Follows it and passes its events on."""
    LISTEN = auto()
    """Hears of it from the gateways that follow."""


@message
@dataclass(frozen=True, slots=True)
class StoreTidings:
    """What a gateway that follows a store passes on; ``up`` is whether it answers."""

    address: str
    incarnation: str
    events: tuple[StoreEvent, ...]
    up: bool


def part_of(own: str, links: Mapping[str, float], address: str) -> Part:
    """The part of gateway ``own`` among all for the store at ``address``.

    ``links`` has each gateway's link in Mbit/s, 0 if not known.
    """
    if len(links) <= ALL_FOLLOW:
        return Part.FOLLOW
    return Part.LISTEN if lane_of(own, links, address) is None else Part.RELAY


def lane_of(own: str, links: Mapping[str, float], address: str) -> int | None:
    """Which of the relays of the store gateway ``own`` is; None if it is none."""
    wide = wide_links(links)
    first = first_by_hash(wide if len(wide) >= RELAYS else links, address)[:RELAYS]
    return first.index(own) if own in first else None


def tidings(
    address: str, incarnation: str, events: tuple[StoreEvent, ...], *, up: bool
) -> list[StoreTidings]:
    """What to pass on, in messages that fit a datagram; one at least."""
    starts = range(0, max(1, len(events)), EVENTS_A_DATAGRAM)
    return [
        StoreTidings(
            address, incarnation, events[start : start + EVENTS_A_DATAGRAM], up
        )
        for start in starts
    ]
