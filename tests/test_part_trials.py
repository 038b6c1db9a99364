"""One gateway tries quarantined parts from time to time."""

from __future__ import annotations

import asyncio

import pytest

from gooseberrydale.version import part_trials
from gooseberrydale.version.ended_incarnations import QUARANTINE_AFTER
from gooseberrydale.version.ended_parts import HarmfulParts
from gooseberrydale.version.gateway_peers import Fleet, GatewayPeer
from gooseberrydale.version.part_trials import FIRST_TRIAL_S, PartTrials
from tests.builders_ending import EXCHANGE_S, HARMFUL, deployment
from tests.builders_gateway import declared, route
from tests.builders_mesh import until
from tests.builders_part_pool import part
from tests.sidecar_harness import run

STEP_S = 0.5


def group(ends: int = QUARANTINE_AFTER) -> HarmfulParts:
    ended = tuple(f"u{number}" for number in range(ends))
    return HarmfulParts(frozenset({part("bad")}), ended)


def fleet_of(size: int) -> list[PartTrials]:
    """Return the trials of all gateways of a fleet."""
    peers = [GatewayPeer(f"g{n}", f"g{n}:1", "z") for n in range(size)]
    fleets = [Fleet(own, tuple(p for p in peers if p is not own)) for own in peers]
    return [PartTrials(lambda f=f: f, QUARANTINE_AFTER) for f in fleets]  # type: ignore


def granted(gateways: list[PartTrials], harmful: HarmfulParts, until_s: float) -> int:
    """Count the grants until a time after the last end; all get such requests."""
    return sum(
        gateway.grant(harmful, 0.0, step * STEP_S)
        for step in range(int(until_s / STEP_S))
        for gateway in gateways
    )


@pytest.mark.parametrize("size", [1, 8, 70])
def test_one_gateway_tries_once_in_each_interval(size: int) -> None:
    gateways = fleet_of(size)
    assert granted(gateways, group(), FIRST_TRIAL_S) == 0
    gateways = fleet_of(size)
    assert granted(gateways, group(), 5 * FIRST_TRIAL_S) == 4


def test_each_trial_that_ends_its_upstream_doubles_the_interval() -> None:
    for failed in range(4):
        harmful, interval_s = (
            group(QUARANTINE_AFTER + failed),
            2**failed * FIRST_TRIAL_S,
        )
        assert granted(fleet_of(8), harmful, interval_s) == 0
        assert granted(fleet_of(8), harmful, 2 * interval_s) == 1


def test_parts_that_left_the_quarantine_start_over() -> None:
    [gateway] = fleet_of(1)
    assert gateway.grant(group(), 0.0, FIRST_TRIAL_S)
    assert not gateway.grant(group(), 0.0, FIRST_TRIAL_S + 1.0)
    gateway.retain(())
    assert gateway.grant(group(), 0.0, FIRST_TRIAL_S + 2.0)


def test_a_trial_that_is_answered_ends_the_quarantine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(part_trials, "FIRST_TRIAL_S", 3 * EXCHANGE_S)

    async def main() -> None:
        async with deployment(declared(route())) as fleet:
            for number in range(QUARANTINE_AFTER):
                extra = f"Parts: a,bad,own{number}"
                body = HARMFUL + str(number).encode()
                await fleet.send(fleet.gateways[0], body, extra=extra)
                await asyncio.sleep(EXCHANGE_S)
            tables = [gateway.ended_incarnations for gateway in fleet.gateways]
            await until(lambda: all(table.harmful_parts for table in tables))
            extra = "Parts: a,bad,own"
            assert await fleet.send(fleet.gateways[0], b"sound", extra=extra) == 503
            await asyncio.sleep(3 * EXCHANGE_S)
            statuses = []
            for _ in range(4):
                for gateway in fleet.gateways:
                    got = await fleet.send(gateway, b"sound", extra=extra)
                    statuses.append(got)
                    await asyncio.sleep(0.1)
            assert 200 in statuses
            await until(lambda: not any(table.harmful_parts for table in tables))
            assert await fleet.send(fleet.gateways[2], b"sound", extra=extra) == 200

    run(main())
