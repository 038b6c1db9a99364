"""What is logged about pools that share capacity and about learned speeds."""

from __future__ import annotations

import pytest

from gooseberrydale.process.cfg import GatewayCfg
from gooseberrydale.process.gateway.capacity_log import CapacityLog
from gooseberrydale.process.gateway.capacity_sharing import PARTS, CapacitySharing
from gooseberrydale.request.waiting.shares import WorkspaceShares
from gooseberrydale.version.speeds.speeds import UpstreamSpeeds
from tests.builders_logs import logged


class KnownSpeeds(UpstreamSpeeds):
    """Speeds with the weights that a test sets."""

    known: dict[str, float] = {}

    def weights(self, pool: str) -> dict[str, float]:
        return self.known


def log_of(
    sharing: CapacitySharing,
    speeds: UpstreamSpeeds,
    *pools: str,
    shares: WorkspaceShares | None = None,
) -> CapacityLog:
    return CapacityLog(
        sharing, speeds, shares or WorkspaceShares(Waiting(), lambda: 8), lambda: pools
    )


class Waiting:
    """Tokens that wait here, as a test sets them."""

    def __init__(self) -> None:
        self.known: dict[str, int] = {}

    def tokens(self, pool: str) -> dict[str, int]:
        return self.known

    def any_waits(self, pool: str, now: float) -> bool:
        return bool(self.known)


@pytest.mark.parametrize("shares", [True, False])
def test_pools_are_logged_once_when_sharing_begins_to_apply(shares: bool) -> None:
    speeds = KnownSpeeds(all_pools=shares)
    cfg = GatewayCfg(share_capacity=shares, reserve_capacity=False)
    log = log_of(CapacitySharing(cfg, speeds), speeds, "p", "q")
    with logged("capacity_sharing") as lines:
        log.check(0.0)
        speeds.stated("p", "u", 2.5, 0.0)
        log.check(0.0)
        log.check(0.0)
    expected = ["p", "q"] if shares else ["p"]
    assert [line["pool"] for line in lines] == expected
    assert {line["reason"] for line in lines} == {"settings" if shares else "slowness"}
    assert {*PARTS} - {*lines[0]["parts"]} == {"reserve_capacity"}


def test_learned_speeds_are_logged_only_when_they_cross_a_step() -> None:
    speeds = KnownSpeeds(all_pools=True)
    sharing = CapacitySharing(GatewayCfg(share_capacity=True), speeds)
    log = log_of(sharing, speeds, "p")
    with logged("upstream_speed") as lines:
        for weights in ({}, {"u": 0.64}, {"u": 0.64}, {}):
            speeds.known = weights
            log.check(0.0)
    assert [(line["before"], line["factor"]) for line in lines] == [
        (1.0, 0.64),
        (0.64, 1.0),
    ]


def test_workspaces_are_logged_when_they_cross_their_share() -> None:
    """Guards against a refusal for a share that no line of the log explains."""
    waiting, speeds = Waiting(), KnownSpeeds(all_pools=True)
    shares = WorkspaceShares(waiting, lambda: 8)
    sharing = CapacitySharing(GatewayCfg(share_capacity=True), speeds)
    log = log_of(sharing, speeds, "p", shares=shares)
    with logged("workspace_share") as lines:
        shares.sent("p", "crowd", 60_000, 1, 1.0)
        shares.sent("p", "other", 4_000, 1, 1.0)
        log.check(1.0)
        waiting.known = {"crowd": 20_000, "other": 30_000}
        log.check(1.1)
        log.check(1.2)
        waiting.known = {}
        log.check(1.3)
    assert [(line["workspace"], line["over"]) for line in lines] == [
        ("crowd", True),
        ("crowd", False),
    ]
    # Each of two equal workspaces has half of 64,000 tokens sent in two seconds.
    assert [line["used_per_s"] for line in lines] == [30_000.0, 30_000.0]
    assert [line["level_per_s"] for line in lines] == [16_000.0, 0.0]
    assert lines[0]["age_ms"] == 0.0


def test_share_of_a_workspace_that_another_gateway_serves_is_logged() -> None:
    """Guards against a level that counts only what this gateway sent."""
    waiting, speeds = Waiting(), KnownSpeeds(all_pools=True)
    far_waiting = Waiting()
    far = WorkspaceShares(far_waiting, lambda: 8)
    far_waiting.known = {"crowd": 640}
    far.sent("p", "crowd", 64_000, 1, 1.0)
    shares = WorkspaceShares(waiting, lambda: 8)
    shares.merge_own("g2", far.own(1.0), 1.0)
    waiting.known = {"other": 64_000, "crowd": 640}
    sharing = CapacitySharing(GatewayCfg(share_capacity=True), speeds)
    with logged("workspace_share") as lines:
        log_of(sharing, speeds, "p", shares=shares).check(1.2)
    assert [(line["workspace"], line["used_per_s"]) for line in lines] == [
        ("crowd", 32_000.0)
    ]
    assert lines[0]["age_ms"] == pytest.approx(200.0)
