"""Gossip between gateways over real datagrams: what goes out, and how often."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from gooseberrydale.connection.gateway_datagrams import GatewayDatagrams
from gooseberrydale.connection.work_gossip import (
    DATAGRAMS_PER_S,
    GATHER_S,
    WorkGossip,
)
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.peer_loads import (
    PeerLoads,
    UpstreamWork,
    WorkReport,
)
from tests.builders_gateway import free_port
from tests.sidecar_bench import run

PLAY_S = 0.8


@dataclass
class View:
    """One gateway's own work, set by the test."""

    now: dict[str, UpstreamWork] = field(default_factory=dict)
    refused: tuple[str, ...] = ()
    heard: list[str] = field(default_factory=list)
    dead: tuple[str, ...] = ()
    heard_dead: set[str] = field(default_factory=set)

    def works(self) -> tuple[UpstreamWork, ...]:
        return tuple(self.now.values())

    def refusing(self, now: float) -> tuple[str, ...]:
        return self.refused

    def peer_refused(self, names: Collection[str], now: float) -> None:
        self.heard += names

    def silent(self, now: float) -> tuple[str, ...]:
        return self.dead

    def peer_silent(self, names: Collection[str], now: float) -> None:
        self.heard_dead |= set(names)


class CountedLoads(PeerLoads):
    """Peer loads that keep what came."""

    def __init__(self) -> None:
        super().__init__()
        self.reports: list[WorkReport] = []

    def take(self, report: WorkReport, now: float) -> bool:
        self.reports.append(report)
        return super().take(report, now)


@dataclass
class Teller:
    """A gateway with its socket, one of a fleet that tells itself everything."""

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


def test_a_change_is_told_at_once_and_alone() -> None:
    async def main() -> None:
        peers = [peer("g0"), peer("g1")]
        loads = [CountedLoads(), CountedLoads()]
        tellers = [
            Teller(Fleet(peers[0], (peers[1],)), loads[0]),
            Teller(Fleet(peers[1], (peers[0],)), loads[1]),
        ]
        views = [teller.view for teller in tellers]
        gossips = [teller.gossip for teller in tellers]
        for teller in tellers:
            await teller.start()
        for number in range(3):
            views[0].now[f"u{number}"] = UpstreamWork(f"u{number}", 1, 10, 20)
            gossips[0].changed()
            await asyncio.sleep(10 * GATHER_S)
        views[0].now.pop("u0")
        views[0].refused, views[0].dead = ("u9",), ("u8",)
        gossips[0].changed()
        await asyncio.sleep(10 * GATHER_S)
        for teller in tellers:
            await teller.close()
        told = [report.works for report in loads[1].reports]
        assert [len(works) for works in told] == [1, 1, 1, 1]
        held = [loads[1].at(f"u{number}").requests for number in range(3)]
        assert (held, views[1].heard) == ([0, 1, 1], ["u9"])
        assert views[1].heard_dead == {"u8"}

    run(main())


def test_with_many_gateways_changes_are_gathered() -> None:
    """Each change told at once would take the processors of a large deployment."""

    async def main() -> None:
        target, loads = peer("other"), CountedLoads()
        receiver = Teller(Fleet(target), loads)
        peers = 40
        # All of them listen at the address of one, which counts what comes.
        others = tuple(replace(target, name=f"g{n}") for n in range(peers))
        sender = Teller(Fleet(peer("own"), others), PeerLoads())
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
        await asyncio.sleep(2 * peers / DATAGRAMS_PER_S)
        await sender.close()
        await receiver.close()
        reports = len(loads.reports)
        assert 2 * peers <= reports <= DATAGRAMS_PER_S * (PLAY_S + 0.3) + peers
        assert loads.at("u1").requests == count

    run(main())
