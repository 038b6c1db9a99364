"""A gateway's share of the connections that an upstream accepts."""

from __future__ import annotations

import pytest

from gooseberrydale.request.connection_share import connection_share


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
