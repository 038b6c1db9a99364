"""When a process knows that the configuration in force is the newest."""

from __future__ import annotations

import asyncio
import math
import pathlib
import random

import pytest

from gooseberrydale.version.confirmed_revision import ConfirmedRevision
from tests.builders_open_group import Observer, OpenGroup, until
from tests.free_ports import free_address

FRESH_S = 2.0


def test_a_revision_is_current_as_of_the_last_confirmation() -> None:
    confirmed = ConfirmedRevision()
    assert confirmed.age_s(0, 50.0) == math.inf
    confirmed.confirm(4, 10.0)
    assert confirmed.age_s(4, 12.5) == 2.5
    assert confirmed.age_s(3, 12.5) == math.inf
    # A newer revision in force here was committed after the confirmation.
    assert confirmed.age_s(5, 12.5) == 2.5
    confirmed.report(6)
    assert confirmed.age_s(5, 12.5) == math.inf


@pytest.mark.parametrize("seed", range(30))
def test_confirmations_in_any_order_never_make_an_old_revision_current(
    seed: int,
) -> None:
    """Guards against a late confirmation that hides that a newer revision exists."""
    rng = random.Random(seed)
    committed_at = sorted(rng.uniform(0.0, 100.0) for _ in range(10))
    confirmed = ConfirmedRevision()
    for _ in range(40):
        at, delay_s = rng.uniform(0.0, 100.0), rng.expovariate(0.2)
        now = at + delay_s
        revision = sum(moment <= at for moment in committed_at)
        confirmed.confirm(revision, at)
        in_force = rng.randrange(11)
        age_s = confirmed.age_s(in_force, now)
        if math.isfinite(age_s):
            # Nothing above the revision in force was committed at that moment.
            newest = sum(moment <= now - age_s for moment in committed_at)
            assert in_force >= newest


def test_a_gateway_learns_that_its_configuration_is_the_newest(
    tmp_path: pathlib.Path,
) -> None:
    """Every replica passes on what the leader has confirmed, with its age."""

    async def main() -> None:
        group = await OpenGroup.start(tmp_path, 3)
        gateway = await Observer("g1", group.seeds).start()
        await until(lambda: group.newest.declare_document(1))
        await until(lambda: gateway.number == 1 and gateway.confirmed_age_s() < FRESH_S)
        for _ in range(3):
            await group.replace_oldest(free_address())
        await until(lambda: group.newest.declare_document(2))
        await until(lambda: gateway.number == 2 and gateway.confirmed_age_s() < FRESH_S)
        await group.close()
        await asyncio.sleep(FRESH_S)
        assert gateway.confirmed_age_s() >= FRESH_S
        await gateway.close()

    asyncio.run(main())
