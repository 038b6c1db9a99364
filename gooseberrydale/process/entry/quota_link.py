"""Carries messages about quotas between entries, as calls of their gRPC listeners.

Lives as long as the process.  A message may be lost, come late or out of order, as with
datagrams: senders repeat what matters.
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

CALL_S = 0.5
"""Longer than a verdict is waited for; a call that takes longer carries nothing."""


class QuotaLink:
    """``send`` and ``on`` of a quota client; ``dial`` opens a channel to an address."""

    def __init__(
        self, dial: Callable[[str], RpcChannel], background: Background
    ) -> None:
        self._dial = dial
        self._background = background
        self._channels: dict[str, RpcChannel] = {}
        self._handlers: dict[type[Any], Callable[[Any], None]] = {}

    def register(self, server: RpcServer) -> None:
        """Take messages on ``server``; call before its ``start``."""
        server.unary(QUOTA, self._take)

    async def close(self) -> None:
        """Close the channels to other entries."""
        channels, self._channels = self._channels, {}
        await asyncio.gather(*(channel.close() for channel in channels.values()))

    def on(self, kind: type[T], handler: Callable[[T], None]) -> None:
        """Hand messages of ``kind`` to ``handler``."""
        self._handlers[kind] = handler

    def send(self, message: object, peers: Iterable[GatewayPeer]) -> None:
        """Send a message once, come what may."""
        for peer in peers:
            self._background.spawn(self._call(peer.address, message))

    async def _call(self, address: str, message: object) -> None:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._dial(address)
        try:
            await channel.call(QUOTA, message, timeout_s=CALL_S)
        except grpc.aio.AioRpcError:
            # Whoever waits for an answer asks again, or asks another owner.
            return

    async def _take(self, message: Any) -> QuotaTaken:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
        return QuotaTaken()


def entry_fleet(cfg: EntryCfg, fleet: FleetCfg, node: NodeCfg) -> Fleet:
    """The entries that share quotas: those listed, by their addresses.

    One that is not listed under its own address owns no counts.
    """
    listed = fleet.entries or (cfg.rpc,)
    own = cfg.rpc if cfg.rpc in listed else ""
    others = tuple(GatewayPeer(one, one, "") for one in listed if one != own)
    return Fleet(GatewayPeer(own or node.name, own, node.zone), others)
