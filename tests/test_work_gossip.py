"""Work reports between gateways over real datagrams: their content and their rate."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from gooseberrydale.connection.gateway_datagrams import GatewayDatagrams
from gooseberrydale.connection.work_gossip import (
    GATHER_S,
    MAX_DATAGRAMS_PER_S,
    WorkGossip,
)
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.peer_loads import (
    PeerLoads,
    UpstreamWork,
    WorkReport,
)
from tests.free_ports import free_port
from tests.sidecar_harness import run

PLAY_S = 0.8


@dataclass
class View:
    """One gateway's own work, set by the test."""

    now: dict[str, UpstreamWork] = field(default_factory=dict)
    refused: tuple[str, ...] = ()
    reported_refusing: list[str] = field(default_factory=list)
    dead: tuple[str, ...] = ()
    reported_dead: set[str] = field(default_factory=set)

    def works(self) -> tuple[UpstreamWork, ...]:
        return tuple(self.now.values())

    def refusing(self, now: float) -> tuple[str, ...]:
        return self.refused

    def peer_refused(self, names: Collection[str], now: float) -> None:
        self.reported_refusing += names

    def silent(self, now: float) -> tuple[str, ...]:
        return self.dead

    def peer_silent(self, names: Collection[str], now: float) -> None:
        self.reported_dead |= set(names)


class CountedLoads(PeerLoads):
    """Peer loads that also store each received report."""

    def __init__(self) -> None:
        super().__init__()
        self.reports: list[WorkReport] = []

    def merge(self, report: WorkReport, now: float) -> bool:
        self.reports.append(report)
        return super().merge(report, now)


@dataclass
class ReportingGateway:
    """A gateway with its socket, in a fleet whose gateways report to each other."""

    fleet: Fleet
    loads: PeerLoads
    view: View = field(default_factory=View)

    def __post_init__(self) -> None:
        own = self.fleet.own
        self.datagrams = GatewayDatagrams(own.address, lambda: self.fleet)
        self.gossip = WorkGossip(
            self.datagrams, own.name, "1", self.loads, self.view, lambda: self.fleet
        )

    async def start(self) -> None:
        await self.datagrams.start()
        await self.gossip.start()

    async def close(self) -> None:
        await self.gossip.close()
        self.datagrams.close()


def peer(name: str) -> GatewayPeer:
    return GatewayPeer(name, f"127.0.0.1:{free_port()}", "z1")


def test_a_change_is_reported_soon_and_without_unchanged_work() -> None:
    async def main() -> None:
        peers = [peer("g0"), peer("g1")]
        loads = [CountedLoads(), CountedLoads()]
        gateways = [
            ReportingGateway(Fleet(peers[0], (peers[1],)), loads[0]),
            ReportingGateway(Fleet(peers[1], (peers[0],)), loads[1]),
        ]
        views = [gateway.view for gateway in gateways]
        gossips = [gateway.gossip for gateway in gateways]
        for gateway in gateways:
            await gateway.start()
        for number in range(3):
            views[0].now[f"u{number}"] = UpstreamWork(f"u{number}", 1, 10, 20)
            gossips[0].changed()
            await asyncio.sleep(10 * GATHER_S)
        views[0].now.pop("u0")
        views[0].refused, views[0].dead = ("u9",), ("u8",)
        gossips[0].changed()
        await asyncio.sleep(10 * GATHER_S)
        for gateway in gateways:
            await gateway.close()
        reported = [report.works for report in loads[1].reports]
        assert [len(works) for works in reported] == [1, 1, 1, 1]
        requests = [loads[1].at(f"u{number}").requests for number in range(3)]
        assert (requests, views[1].reported_refusing) == ([0, 1, 1], ["u9"])
        assert views[1].reported_dead == {"u8"}

    run(main())


def test_with_many_gateways_changes_are_gathered() -> None:
    """A report per change would overload the processors of a large deployment."""

    async def main() -> None:
        target, loads = peer("other"), CountedLoads()
        receiver = ReportingGateway(Fleet(target), loads)
        peers = 40
        # All of them have the address of one receiver, which counts the datagrams.
        others = tuple(replace(target, name=f"g{n}") for n in range(peers))
        sender = ReportingGateway(Fleet(peer("own"), others), PeerLoads())
        view, gossip = sender.view, sender.gossip
        await receiver.start()
        await sender.start()
        loop = asyncio.get_running_loop()
        end, count = loop.time() + PLAY_S, 0
        while loop.time() < end:
            count += 1
            view.now["u1"] = UpstreamWork("u1", count, 0, 0)
            gossip.changed()
            await asyncio.sleep(0.002)
        await asyncio.sleep(2 * peers / MAX_DATAGRAMS_PER_S)
        await sender.close()
        await receiver.close()
        reports = len(loads.reports)
        assert 2 * peers <= reports <= MAX_DATAGRAMS_PER_S * (PLAY_S + 0.3) + peers
        assert loads.at("u1").requests == count

    run(main())
