"""Carries quota messages between entries, as calls to their gRPC listeners.

As with datagrams, a message may be lost, delayed or reordered; senders repeat those
that must arrive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import grpc.aio

from gooseberrydale.connection.rpc import QUOTA, RpcChannel, RpcServer
from gooseberrydale.process.cfg import EntryCfg, FleetCfg, NodeCfg
from gooseberrydale.request.background import Background
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.quotas.messages import QuotaTaken

T = TypeVar("T")

CALL_TIMEOUT_S = 0.5
"""Longer than the quota client waits for a verdict: a message that is not delivered
within this time is of no use.
"""


class QuotaLink:
    """The transport of a quota client; ``dial`` opens a channel to an address."""

    def __init__(
        self, dial: Callable[[str], RpcChannel], background: Background
    ) -> None:
        self._dial = dial
        self._background = background
        self._channels: dict[str, RpcChannel] = {}
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}

    def register(self, server: RpcServer) -> None:
        """Receive messages on ``server``; call before its ``start``."""
        server.unary(QUOTA, self._receive)

    async def close(self) -> None:
        """Close the channels to other entries."""
        channels, self._channels = self._channels, {}
        await asyncio.gather(*(channel.close() for channel in channels.values()))

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Call ``handler`` for each received message of type ``kind``."""
        self._handlers[kind] = handler

    def send(self, message: object, peers: Iterable[GatewayPeer]) -> None:
        """Send a message to ``peers`` once, in the background; failures are ignored."""
        for peer in peers:
            self._background.spawn(self._call(peer.address, message))

    async def _call(self, address: str, message: object) -> None:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._dial(address)
        try:
            await channel.call(QUOTA, message, timeout_s=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError:
            # The sender retries, or asks another owner of the quota.
            return

    async def _receive(self, message: Any) -> QuotaTaken:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
        return QuotaTaken()


def entry_fleet(cfg: EntryCfg, fleet: FleetCfg, node: NodeCfg) -> Fleet:
    """The entries that share quotas: those listed in the settings, by address.

    An entry whose own address is not listed owns no quota counts.
    """
    listed = fleet.entries or (cfg.rpc,)
    own = cfg.rpc if cfg.rpc in listed else ""
    others = tuple(
        GatewayPeer(address, address, "") for address in listed if address != own
    )
    return Fleet(GatewayPeer(own or node.name, own, node.zone), others)
