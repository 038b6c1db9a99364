"""What a gateway passes on about the capacity of its upstreams."""

from __future__ import annotations

import asyncio
import random

import pytest

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.capacity_sharing import CapacitySharing
from gooseberrydale.process.gateway.pool_rooms import PoolRooms
from gooseberrydale.process.gateway.send_measurement import SendMeasurement
from gooseberrydale.process.gateway.upstream_query import UpstreamQuery
from gooseberrydale.process.gateway.upstreams import Upstreams
from gooseberrydale.request.gateway_call import ReportedLoad
from gooseberrydale.version.declared import EngineSize, Pool
from gooseberrydale.version.directory import Directory
from gooseberrydale.version.ended_incarnations import EndedIncarnations
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.named_weights import NamedWeights
from gooseberrydale.version.peer_loads import PeerLoads, UpstreamWork, WorkReport
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from gooseberrydale.version.stores import Stores
from gooseberrydale.version.upstream_load import Work
from tests.builders_gateway import POOL, no_limits, prompt, record
from tests.clock import run_paused

ENGINE = Pool(POOL, 100, EngineSize(slots=64, kv_tokens=100_000))
NOW = 1.0


def upstreams(*, shares: bool, reports: tuple[UpstreamWork, ...] = ()) -> Upstreams:
    directory, peers, speeds = Directory(), PeerLoads(), UpstreamSpeeds()
    directory.offer(record("u1", model="m", slots=64), 0.0)
    peers.merge(WorkReport("g2", "1", 1, reports), NOW)
    cfg = GatewayCfg(share_capacity=shares)
    return Upstreams(
        *(directory, "local", random.Random(1), peers, NamedWeights(), 8.0, Stores()),
        *(EndedIncarnations(), no_limits(), None),
        CapacitySharing(cfg, speeds),
        speeds,
    )


async def learn(view: Upstreams) -> SendMeasurement:
    """Report an engine that holds four fifths of its memory with nothing waiting."""
    view.load_of("u1").began(Work(0, 80_000, 0, 20_000))
    sent = SendMeasurement(view, ENGINE, record("u1"), Work(100, 100), None)
    for _ in range(10):
        sent.load_reported(ReportedLoad(9, 0, 64), is_own=True)
        await asyncio.sleep(0.1)
    return sent


@pytest.mark.parametrize("shares", [False, True])
def test_candidates_have_the_learned_limit_only_where_capacity_is_shared(
    shares: bool,
) -> None:
    """Guards against a changed limit in deployments that did not ask for it."""
    view = upstreams(shares=shares)
    sent: list[SendMeasurement] = []

    async def main() -> None:
        sent.append(await learn(view))

    run_paused(main())
    query = UpstreamQuery(ENGINE, prompt(("guide", 100), own=100), "")
    ((_, candidate),) = view.candidates(query, NOW)
    assert (candidate.memory_fraction > 0.75) is shares
    assert (sent[0]._expected is not None) is shares
    assert view.works()[0].unshared_tokens == (20_000 if shares else 0)


def test_rooms_leave_less_urgent_work_out_but_not_its_unshared_memory() -> None:
    work = UpstreamWork("u1", 5, 0, 5_000, ((0, 2, 0, 3_000), (2, 3, 0, 2_000)), 1_500)
    view = upstreams(shares=True, reports=(work,))
    view.load_of("u1").began(Work(10, 1_000, 2, 700))
    fleet = Fleet(
        GatewayPeer("g1", "h:1", "local"), (GatewayPeer("g2", "h:2", "local"),)
    )
    rooms = PoolRooms(view, lambda: {POOL: ENGINE}, lambda: fleet)
    urgent, other = (rooms.room(POOL, "u1", rank, NOW) for rank in (0, 2))
    assert urgent is not None and other is not None
    assert urgent.used == (2, 3_000, 2_200) and other.used == (6, 6_000, 2_200)
    assert urgent.own == (0, 0, 700) and other.own == (1, 1_000, 700)
    assert urgent.limit == (64, 75_000, 100_000)
    assert other.limit.unshared_tokens < urgent.limit.unshared_tokens
    assert rooms.rooms(POOL, 0, 24, NOW) == ([urgent], 1.0)
    assert rooms.heard_fraction(NOW) == 1.0
    assert rooms.room("other", "u1", 0, NOW) is None
