"""Tests get ports that no other listener of the same test has."""

from __future__ import annotations

import itertools

import pytest

from tests.free_ports import PORTS_PER_WORKER, port_offsets


@pytest.mark.parametrize("pid", [0, 1, 5_500, 6_991, 7_999])
def test_no_port_is_offered_twice_while_others_are_left(pid: int) -> None:
    """Guards against processes of one test that get the same port."""
    offered = list(itertools.islice(port_offsets(pid), PORTS_PER_WORKER))
    assert sorted(offered) == list(range(PORTS_PER_WORKER))
