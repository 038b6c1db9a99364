"""A gateway's share of the connections that an upstream accepts."""

from __future__ import annotations

import pytest

from gooseberrydale.request.connection_share import connection_share
from gooseberrydale.version.gateway_peers import FLEET_RETENTION_S, SharingGateways


@pytest.mark.parametrize(
    "declared, gateways, expected",
    [(0, 8, None), (320, 8, 36), (250, 32, 7), (110, 350, 1), (10, 0, 9)],
)
def test_connection_share(declared: int, gateways: int, expected: int | None) -> None:
    assert connection_share(declared, gateways) == expected


@pytest.mark.parametrize("gateways", [1, 2, 7, 32, 100])
def test_all_shares_together_stay_below_the_declared_number(gateways: int) -> None:
    share = connection_share(130, gateways)
    assert share is not None and share * gateways < 130


def test_gateways_whose_announcements_lapsed_still_use_their_shares() -> None:
    """Control is unreachable, so each gateway sees itself alone after a while."""
    sharing = SharingGateways(least=8)
    assert sharing.count(1, 0.0) == 8
    assert sharing.count(26, 1.0) == 26
    assert sharing.count(13, 2.0) == 26
    assert sharing.count(1, FLEET_RETENTION_S) == 26
    assert sharing.count(20, FLEET_RETENTION_S + 1.0) == 20
    assert sharing.count(30, FLEET_RETENTION_S + 1.5) == 30
