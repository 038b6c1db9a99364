"""A request that ends its upstreams, by way of entries and sidecars.

What users would see, the order of events and the cause are those of gateways, which
forward without sidecars: each entry knows of the attempts of one request id, and a
repeat with another id begins anew.  Here the sidecar is the one that sees which
attempts its upstream had when it ended, and it tells the entries.

The evidence: before entries and sidecars told each other, ten bids of one content, sent
one after the other by way of two entries, ended ten upstreams.
"""

from __future__ import annotations

import asyncio
import pathlib
import tempfile
from collections.abc import Awaitable, Callable

import pytest

from tests.builders_ending import HARMFUL
from tests.builders_ending_sidecars import Deployment, deployment
from tests.builders_entry import run

BIDS = 10
LEARNED_S = 1.0
"""In this time a sidecar finds that its upstream has ended, and entries hear of it."""


def play(
    scenario: Callable[[Deployment], Awaitable[None]],
    *,
    tells_incarnations: bool = True,
) -> None:
    async def main() -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder)
            async with deployment(path, tells_incarnations=tells_incarnations) as fleet:
                await scenario(fleet)

    run(main())


@pytest.mark.parametrize("tells_incarnations", [True, False])
def test_repeats_of_what_ends_upstreams_are_refused_by_entries(
    tells_incarnations: bool,
) -> None:
    async def scenario(fleet: Deployment) -> None:
        answers = []
        for number in range(BIDS):
            entry = fleet.entries[number % len(fleet.entries)]
            answers.append(await fleet.bid(entry, HARMFUL))
            await asyncio.sleep(LEARNED_S)
        assert fleet.harmful == 3
        assert [one.status_code for one in answers] == [502] * 3 + [503] * 7
        error = answers[-1].json()["error"]
        assert (error["code"], error["not_run"]) == ("ends_upstreams", True)
        assert "retry-after" not in answers[-1].headers
        assert (await fleet.bid(fleet.entries[0], b"harmless")).status_code == 200

    play(scenario, tells_incarnations=tells_incarnations)
