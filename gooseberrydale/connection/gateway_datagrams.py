"""Sends datagrams between gateways: directly to nearby ones, to all others by relays.

There is one socket per process.  Datagrams stay within the hosts of this system and are
not authenticated: a forged one could worsen the order in which upstreams are chosen, or
have a stream go on at the wrong software version.
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
    """Asks the receiving gateway to forward ``body`` to all others of its zone.

    ``body`` is another encoded message.
    """

    body: bytes


class GatewayDatagrams(asyncio.DatagramProtocol):
    """The socket of a gateway and the handlers of the messages that it receives.

    ``fleet`` returns the current gateways; it is called for each broadcast and each
    forwarded message.
    """

    def __init__(self, address: str, fleet: FleetView) -> None:
        self._address = address
        self._fleet = fleet
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}
        self._rotation = 0
        self.last_sender = ""
        """Address from which the last datagram came; empty before the first."""

    async def start(self) -> None:
        """Bind the socket; raise OSError if the address is in use."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=_host_port(self._address)
        )

    def close(self) -> None:
        """Close the socket; later sends do nothing."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    @property
    def is_open(self) -> bool:
        """Whether the socket is open."""
        return self._transport is not None

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Call ``handler`` with each received message of type ``kind``."""
        self._handlers[kind] = handler

    def send(self, msg: object, peers: Iterable[GatewayPeer]) -> None:
        """Send a registered message once to each peer, without a retry."""
        self._send(encode(msg), peers)

    def send_to(self, msg: object, addresses: Iterable[str]) -> None:
        """Send a registered message once to each address, without a retry."""
        data = encode(msg)
        if self._transport is not None:
            for address in addresses:
                self._transport.sendto(data, _host_port(address))

    def broadcast(self, msg: object, relay_index: int = 0) -> None:
        """Send a registered message to all gateways once, by relays if there are many.

        With ``relay_index`` 0 the first relay of each other zone forwards the message,
        with any other value the remaining gateways of the zone do so in rotation.
        Senders of the same message use different values: one gateway that has failed
        then can't withhold the message from its whole zone.
        """
        fleet, body = self._fleet(), encode(msg)
        self._send(body, fleet.near)
        if not fleet.far:
            return
        self._rotation += 1
        relays = [
            _choose_relay(order, relay_index, self._rotation)
            for order in fleet.far.values()
        ]
        self._send(encode(HandOn(body)), relays)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Decode a message of another gateway and call its handler."""
        if isinstance(addr, tuple):
            self.last_sender = f"{addr[0]}:{addr[1]}"
        try:
            msg = decode(data)
            if isinstance(msg, HandOn):
                self._send(msg.body, self._fleet().near)
                msg = decode(msg.body)
        except CodecError as exc:
            emit(DatagramUnreadable(str(addr), str(exc)))
            return
        handler = self._handlers.get(type(msg))
        if handler is not None:
            handler(msg)

    def error_received(self, exc: Exception) -> None:
        """Log the error that the host of a stopped peer returns.

        Nothing else is needed: the peer is removed once its lease ends.
        """
        emit(DatagramFailed(str(exc)))

    def _send(self, data: bytes, peers: Iterable[GatewayPeer]) -> None:
        if self._transport is None:
            return
        for peer in peers:
            self._transport.sendto(data, _host_port(peer.address))


def _choose_relay(
    order: Sequence[GatewayPeer], relay_index: int, rotation: int
) -> GatewayPeer:
    """Return which gateway of a zone forwards a message; ``order`` ranks its relays."""
    if relay_index == 0 or len(order) == 1:
        return order[0]
    return order[1 + rotation % (len(order) - 1)]


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
