"""Datagrams between gateways: to those nearby, and to all by way of relays.

Lives as long as the process.  Datagrams stay within this system's own hosts; whoever
can send one could only spoil the order in which upstreams are chosen.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from gooseberrydale.connection.codec import CodecError, decode, encode, message
from gooseberrydale.log_events import DatagramFailed, DatagramUnreadable, emit
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer

T = TypeVar("T")
FleetView = Callable[[], Fleet]


@message
@dataclass(frozen=True, slots=True)
class HandOn:
    """Another message, for all gateways of the availability zone that gets it."""

    body: bytes


class GatewayDatagrams(asyncio.DatagramProtocol):
    """One socket; ``fleet`` is asked whenever something is sent."""

    def __init__(self, address: str, fleet: FleetView) -> None:
        self._address = address
        self._fleet = fleet
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._turn = 0

    async def start(self) -> None:
        """Bind; raises OSError if the address is taken."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=_host_port(self._address)
        )

    def close(self) -> None:
        """Send and hear nothing any more."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    @property
    def is_open(self) -> bool:
        """Whether anything can be sent."""
        return self._transport is not None

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Hand messages of ``kind`` to ``handler``."""
        self._handlers[kind] = handler

    def send(self, told: object, peers: Iterable[GatewayPeer]) -> None:
        """Send a registered message once, come what may."""
        self._send(encode(told), peers)

    def spread(self, told: object, lane: int = 0) -> None:
        """Send a registered message to all gateways once, by relays if there are many.

        Senders that repeat each other use different lanes, so that no single gateway
        that is gone keeps a message from its zone: by lane 0 it goes to the first relay
        of each other zone, by others to the rest in turn.
        """
        fleet, body = self._fleet(), encode(told)
        self._send(body, fleet.near)
        if not fleet.far:
            return
        self._turn += 1
        carriers = [_carrier(order, lane, self._turn) for order in fleet.far.values()]
        self._send(encode(HandOn(body)), carriers)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take a message of another gateway in."""
        try:
            told = decode(data)
            if isinstance(told, HandOn):
                self._send(told.body, self._fleet().near)
                told = decode(told.body)
        except CodecError as exc:
            emit(DatagramUnreadable(str(addr), str(exc)))
            return
        handler = self._handlers.get(type(told))
        if handler is not None:
            handler(told)

    def error_received(self, exc: Exception) -> None:
        """A peer that is down answers with an error; its lease will end."""
        emit(DatagramFailed(str(exc)))

    def _send(self, data: bytes, peers: Iterable[GatewayPeer]) -> None:
        if self._transport is None:
            return
        for one in peers:
            self._transport.sendto(data, _host_port(one.address))


def _carrier(order: Sequence[GatewayPeer], lane: int, turn: int) -> GatewayPeer:
    """Who hands a message on in a zone whose gateways relay in this ``order``."""
    if lane == 0 or len(order) == 1:
        return order[0]
    return order[1 + turn % (len(order) - 1)]


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
