"""What is logged about pools that share capacity and about learned speeds."""

from __future__ import annotations

import pytest

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.capacity_log import CapacityLog
from gooseberrydale.process.gateway.capacity_sharing import PARTS, CapacitySharing
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from tests.builders_logs import logged


class KnownSpeeds(UpstreamSpeeds):
    """Speeds with the weights that a test sets."""

    known: dict[str, float] = {}

    def weights(self, pool: str) -> dict[str, float]:
        return self.known


@pytest.mark.parametrize("shares", [True, False])
def test_pools_are_logged_once_when_sharing_begins_to_apply(shares: bool) -> None:
    speeds = KnownSpeeds(all_pools=shares)
    cfg = GatewayCfg(share_capacity=shares, reserve_capacity=False)
    log = CapacityLog(CapacitySharing(cfg, speeds), speeds, lambda: ["p", "q"])
    with logged("capacity_sharing") as lines:
        log.check()
        speeds.stated("p", "u", 2.5, 0.0)
        log.check()
        log.check()
    expected = ["p", "q"] if shares else ["p"]
    assert [line["pool"] for line in lines] == expected
    assert {line["reason"] for line in lines} == {"settings" if shares else "slowness"}
    assert {*PARTS} - {*lines[0]["parts"]} == {"reserve_capacity"}


def test_learned_speeds_are_logged_only_when_they_cross_a_step() -> None:
    speeds = KnownSpeeds(all_pools=True)
    sharing = CapacitySharing(GatewayCfg(share_capacity=True), speeds)
    log = CapacityLog(sharing, speeds, lambda: ["p"])
    with logged("upstream_speed") as lines:
        for weights in ({}, {"u": 0.64}, {"u": 0.64}, {}):
            speeds.known = weights
            log.check()
    assert [(line["before"], line["factor"]) for line in lines] == [
        (1.0, 0.64),
        (0.64, 1.0),
    ]
