"""Gateways that report their work to each other over an in-memory network."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

from gooseberrydale.connection.area_gossip import AreaGossip
from gooseberrydale.connection.gateway_datagrams import GatewayDatagrams
from gooseberrydale.connection.work_gossip import WorkGossip
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.peer_loads import PeerLoads, UpstreamWork

DATAGRAM_DELAY_S = 0.001


class Net:
    """Delivers datagrams; counts those of each sender and the bytes between zones."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.sent: Counter[str] = Counter()
        self.bytes_between_zones = 0

    def carry(self, source: Node, data: bytes, address: str) -> None:
        """Deliver a datagram after a delay; nodes that are down send and get none."""
        target = self.nodes[address]
        if not source.up:
            return
        self.sent[source.peer.name] += 1
        if target.peer.zone != source.peer.zone:
            self.bytes_between_zones += len(data)
        if target.up:
            loop = asyncio.get_running_loop()
            loop.call_later(
                DATAGRAM_DELAY_S, target.datagrams.datagram_received, data, None
            )


@dataclass
class FakeTransport:
    """Replaces a node's datagram transport; sends over a :class:`Net`."""

    net: Net
    node: Node

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.net.carry(self.node, data, f"{address[0]}:{address[1]}")

    def close(self) -> None:
        """Do nothing: there is no socket to close."""


class MemoryDatagrams(GatewayDatagrams):
    """Gateway datagrams that are sent over a :class:`Net`."""

    def join(self, transport: Any) -> None:
        self._transport = transport


@dataclass
class View:
    """A gateway's own work, and what other gateways reported of upstreams."""

    work: dict[str, UpstreamWork] = field(default_factory=dict)
    silent_upstreams: tuple[str, ...] = ()
    refusing_upstreams: tuple[str, ...] = ()
    reported_silent: set[str] = field(default_factory=set)
    reported_refused: set[str] = field(default_factory=set)

    def works(self) -> tuple[UpstreamWork, ...]:
        return tuple(self.work.values())

    def refusing(self, now: float) -> tuple[str, ...]:
        return self.refusing_upstreams

    def peer_refused(self, names: Collection[str], now: float) -> None:
        self.reported_refused |= set(names)

    def silent(self, now: float) -> tuple[str, ...]:
        return self.silent_upstreams

    def peer_silent(self, names: Collection[str], now: float) -> None:
        self.reported_silent |= set(names)


class Node:
    """A gateway that sends and receives reports of work."""

    def __init__(
        self, net: Net, peer: GatewayPeer, others: tuple[GatewayPeer, ...]
    ) -> None:
        self.peer, self.up = peer, True
        fleet = Fleet(peer, others)
        self.view, self.loads = View(), PeerLoads()
        self.datagrams = MemoryDatagrams(peer.address, lambda: fleet)
        self.datagrams.join(FakeTransport(net, self))
        self.gossip = WorkGossip(
            self.datagrams, peer.name, "1", self.loads, self.view, lambda: fleet
        )
        self.areas = AreaGossip(
            self.datagrams, "1", self.loads, self.view, lambda: fleet
        )
        net.nodes[peer.address] = self

    async def start(self) -> None:
        await self.gossip.start()
        await self.areas.start()

    async def close(self) -> None:
        await self.areas.close()
        await self.gossip.close()


def make_peers(gateways: int, zones: int) -> tuple[GatewayPeer, ...]:
    """Return gateways in zones; the first of each zone has ten times the bandwidth."""
    return tuple(
        GatewayPeer(
            name=f"g{n:03}",
            address=f"10.0.0.{n}:1",
            zone=f"z{n % zones}",
            link_mbps=100.0 if n < zones else 10.0,
        )
        for n in range(gateways)
    )


def make_nodes(net: Net, gateways: int, zones: int) -> list[Node]:
    """Return nodes, each of which has all others as peers."""
    peers = make_peers(gateways, zones)
    return [
        Node(net, peer, tuple(other for other in peers if other is not peer))
        for peer in peers
    ]


async def change_work(nodes: list[Node], seconds: float, *, per_s: float) -> None:
    """Change each gateway's work ``per_s`` times a second; end with 1 request."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    for number in itertools.count():
        if loop.time() >= end:
            break
        for index, node in enumerate(nodes):
            node.view.work["u"] = UpstreamWork("u", 1 + number % 2, number, number)
            upstream = f"u{(number + index) % 40}"
            node.view.work[upstream] = UpstreamWork(upstream, 1, number, number)
            node.gossip.changed()
        await asyncio.sleep(1.0 / per_s)
    for node in nodes:
        node.view.work = {"u": UpstreamWork("u", 1, 10, 100)}
        node.gossip.changed()
