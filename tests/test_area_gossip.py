"""Which work of other gateways each one has recorded if relays exchange sums."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest

from gooseberrydale.connection.area_gossip import RELAY_CHECK_INTERVAL_S
from gooseberrydale.connection.codec import message
from gooseberrydale.connection.work_gossip import (
    FULL_REPORT_INTERVAL_S,
    MAX_DATAGRAMS_PER_S,
)
from gooseberrydale.version import gateway_peers
from gooseberrydale.version.gateway_peers import MAX_FLAT_GATEWAYS
from gooseberrydale.version.peer_loads import REPORT_RETENTION_S, UpstreamWork
from tests.builders_fleet import Net, Node, change_work, make_nodes
from tests.clock import run_paused

ZONES = 6
LARGE = 70
SETTLE_S = 0.4


@message
@dataclass(frozen=True, slots=True)
class TextMessage:
    """A message that these tests broadcast."""

    text: str


async def started(net: Net, gateways: int) -> list[Node]:
    nodes = make_nodes(net, gateways, ZONES)
    for node in nodes:
        await node.start()
    return nodes


async def closed(nodes: list[Node]) -> None:
    for node in nodes:
        await node.close()


def recorded_requests(nodes: list[Node]) -> set[int]:
    """Return the counts of other gateways' requests at upstream ``u``, as recorded."""
    return {node.loads.at("u").requests for node in nodes if node.up}


@pytest.mark.parametrize(
    "gateways", [2, MAX_FLAT_GATEWAYS, MAX_FLAT_GATEWAYS + 1, LARGE]
)
def test_each_gateway_records_the_work_of_all_others(gateways: int) -> None:
    async def main() -> None:
        nodes = await started(Net(), gateways)
        await change_work(nodes, 2.0, per_s=10.0)
        await asyncio.sleep(SETTLE_S)
        assert recorded_requests(nodes) == {gateways - 1}
        assert {node.loads.at("u").kv_tokens for node in nodes} == {
            100 * (gateways - 1)
        }
        await closed(nodes)

    run_paused(main())


def test_the_datagrams_of_a_gateway_do_not_grow_with_the_fleet() -> None:
    """A gateway that is not a relay reports only to its zone, whose size bounds it."""

    async def sent_per_s(gateways: int) -> tuple[float, float]:
        net = Net()
        nodes = await started(net, gateways)
        await change_work(nodes, 3.0, per_s=50.0)
        await closed(nodes)
        relays = {node.peer.name for node in nodes[:ZONES]}
        others = [n / 3.0 for name, n in net.sent.items() if name not in relays]
        return max(others), max(net.sent[name] / 3.0 for name in relays)

    for gateways in (30, 70, 140):
        most, relay = run_paused(sent_per_s(gateways))
        near = gateways / ZONES
        assert most <= MAX_DATAGRAMS_PER_S + near * (1 / FULL_REPORT_INTERVAL_S + 1)
        # A relay also sends twenty sums a second to its zone and to five others.
        assert relay <= MAX_DATAGRAMS_PER_S + 22 * (near + 2 * ZONES) + near


def test_few_bytes_cross_between_zones(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without relays, 70 gateways send more than ten times the bytes between zones."""

    async def crossing() -> int:
        net = Net()
        nodes = await started(net, LARGE)
        await change_work(nodes, 3.0, per_s=20.0)
        await closed(nodes)
        return net.bytes_between_zones

    by_relays = run_paused(crossing())
    monkeypatch.setattr(gateway_peers, "MAX_FLAT_GATEWAYS", LARGE)
    assert by_relays * 10 < run_paused(crossing())


def test_another_gateway_relays_after_the_relay_stopped() -> None:
    async def main() -> None:
        nodes = await started(Net(), LARGE)
        await change_work(nodes, 1.0, per_s=10.0)
        nodes[0].up = False
        await asyncio.sleep(
            REPORT_RETENTION_S + FULL_REPORT_INTERVAL_S + RELAY_CHECK_INTERVAL_S
        )
        zone = [node for node in nodes if node.peer.zone == "z0"]
        zone[1].view.work["u"] = UpstreamWork("u", 5, 10, 100)
        zone[1].gossip.changed()
        await asyncio.sleep(FULL_REPORT_INTERVAL_S + SETTLE_S)
        # 68 other gateways have work, one of them four more requests than the rest.
        assert recorded_requests([node for node in nodes if node is not zone[1]]) == {
            72
        }
        assert recorded_requests([zone[1]]) == {68}
        await closed(nodes)

    run_paused(main())


def test_names_of_silent_and_refusing_upstreams_reach_all() -> None:
    async def main() -> None:
        nodes = await started(Net(), LARGE)
        await asyncio.sleep(REPORT_RETENTION_S + SETTLE_S)
        nodes[40].view.silent_upstreams, nodes[40].view.refusing_upstreams = ("u8",), (
            "u9",
        )
        nodes[40].gossip.changed()
        await asyncio.sleep(FULL_REPORT_INTERVAL_S + SETTLE_S)
        others = [node.view for node in nodes if node is not nodes[40]]
        assert all(view.reported_silent == {"u8"} for view in others)
        assert all(view.reported_refused == {"u9"} for view in others)
        await closed(nodes)

    run_paused(main())


@pytest.mark.parametrize("stopped", [None, 1, 20])
def test_a_message_by_two_relays_reaches_all_though_any_one_gateway_stopped(
    stopped: int | None,
) -> None:
    async def main() -> None:
        nodes = make_nodes(Net(), LARGE, ZONES)
        received: list[list[str]] = [[] for _ in nodes]
        for node, texts in zip(nodes, received, strict=True):
            node.datagrams.on(
                TextMessage, lambda msg, texts=texts: texts.append(msg.text)
            )
        if stopped is not None:
            nodes[stopped].up = False
        for relay_index, sender in enumerate((nodes[0], nodes[6])):
            sender.datagrams.broadcast(TextMessage("hello"), relay_index)
        await asyncio.sleep(SETTLE_S)
        delivered = [
            texts for n, texts in enumerate(received) if n not in (0, 6, stopped)
        ]
        assert all(texts and len(texts) <= 2 for texts in delivered)

    run_paused(main())


def test_gateways_of_zones_without_reports_are_counted() -> None:
    async def main() -> None:
        nodes = await started(Net(), LARGE)
        for relay in nodes[:ZONES]:
            relay.up = False
        await asyncio.sleep(SETTLE_S)
        for node in nodes[ZONES:]:
            near = sum(other.peer.zone == node.peer.zone for other in nodes) - 1
            assert node.loads.unreported_ratio == pytest.approx(
                (LARGE - 1 - near) / near
            )
        await closed(nodes)

    run_paused(main())


def test_no_gateway_counts_as_unreported_once_all_zones_have_reported() -> None:
    async def main() -> None:
        nodes = await started(Net(), LARGE)
        await asyncio.sleep(REPORT_RETENTION_S + FULL_REPORT_INTERVAL_S)
        assert {node.loads.unreported_ratio for node in nodes} == {0.0}
        await closed(nodes)

    run_paused(main())
